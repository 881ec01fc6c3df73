/**
 * Compares the refusals of a fleet with a central counter: a refusal for lack of tokens is false if all hosts together had the
 * tokens at that moment. The counter is rebuilt from log lines, so what requests had cost that a kill ended is not in it.
 */
import type { LogLine } from "./requestTrace.js";

/** Refusals with one reason. */
export interface RefusalCount {
    readonly reason: string;
    /** Refusals while the tokens were neither spent nor reserved at any host. */
    readonly falseCount: number;
    /** Refusals while they were. */
    readonly trueCount: number;
}

/** Tokens of one team at the end of the logs. */
export interface TeamTokens {
    readonly team: string;
    readonly prepaidTokens: number;
    /** Sum of what all hosts have charged. */
    readonly chargedTokens: number;
    /** By the newest ledger that a refusal names; `undefined` if none does. */
    readonly atRiskTokens: number | undefined;
    readonly falseCount: number;
    readonly trueCount: number;
}

/** Result of the comparison. */
export interface RefusalAnalysis {
    /** Requests that hosts have read and routed, refused ones included. */
    readonly requestCount: number;
    readonly refusals: readonly RefusalCount[];
    readonly teams: readonly TeamTokens[];
    /** Calls to the store by purpose; empty if the logs contain no such lines. */
    readonly storeCalls: Readonly<Record<string, number>>;
}

const RefusalMessage = "reservation refused";
const StoreCallsMessage = "store calls";
const EndMessages: ReadonlySet<string> = new Set(["request ended", "request failed"]);

/** Tokens of a team over time. */
interface TeamCounter {
    prepaidTokens: number;
    /** Charges of requests that run at some time: tokens are reserved from the start, and charged at the end. */
    readonly charges: { readonly startMs: number; readonly endMs: number; readonly tokens: number; }[];
    atRiskTokens: number | undefined;
    falseCount: number;
    trueCount: number;
}

/** @param logs Parsed lines of all hosts, in any order. */
export function analyseRefusals(logs: readonly LogLine[]): RefusalAnalysis {
    const lines = logs.toSorted((left, right) => left.timeMs - right.timeMs);
    const teams = new Map<string, TeamCounter>();
    const findTeam = (name: string): TeamCounter => {
        const known = teams.get(name) ?? {
            prepaidTokens: 0,
            charges: [],
            atRiskTokens: undefined,
            falseCount: 0,
            trueCount: 0,
        };
        teams.set(name, known);
        return known;
    };
    const ends = lines.filter(({ message }) => EndMessages.has(message));
    for (const { timeMs, fields } of ends) {
        const tokens = numberField(fields, "chargedTokens") ?? 0;
        if (typeof fields["team"] === "string" && tokens > 0) {
            const startMs = timeMs - (numberField(fields, "elapsedMs") ?? 0);
            findTeam(fields["team"]).charges.push({ startMs, endMs: timeMs, tokens });
        }
    }
    const reasons = new Map<string, { falseCount: number; trueCount: number; }>();
    for (const { timeMs, fields } of lines.filter(({ message }) => message === RefusalMessage)) {
        const team = findTeam(String(fields["team"]));
        team.prepaidTokens = numberField(fields, "prepaidTokens") ?? team.prepaidTokens;
        team.atRiskTokens = numberField(fields, "atRiskTokens") ?? team.atRiskTokens;
        const usedTokens = sumOf(team.charges.filter(({ startMs }) => startMs < timeMs));
        const isFalse = team.prepaidTokens - usedTokens >= (numberField(fields, "costTokens") ?? 0);
        const count = reasons.get(String(fields["result"])) ?? { falseCount: 0, trueCount: 0 };
        reasons.set(String(fields["result"]), count);
        for (const counter of [team, count]) {
            counter.falseCount += isFalse ? 1 : 0;
            counter.trueCount += isFalse ? 0 : 1;
        }
    }
    return {
        requestCount: ends.length,
        refusals: [...reasons].map(([reason, count]) => ({ reason, ...count }))
            .toSorted((left, right) => right.falseCount - left.falseCount),
        teams: [...teams].map(([team, counter]) => toTeamTokens(team, counter))
            .toSorted((left, right) => right.prepaidTokens - left.prepaidTokens),
        storeCalls: sumStoreCalls(lines),
    };
}

function toTeamTokens(team: string, { charges, ...counter }: TeamCounter): TeamTokens {
    return { team, ...counter, chargedTokens: sumOf(charges) };
}

/** The lines carry totals of one process, so the last line of each process counts. */
function sumStoreCalls(lines: readonly LogLine[]): Readonly<Record<string, number>> {
    const lastByProcess = new Map<string, LogLine>();
    for (const line of lines.filter(({ message }) => message === StoreCallsMessage)) {
        lastByProcess.set(`${line.host} ${String(line.fields["incarnation"])}`, line);
    }
    const sums: Record<string, number> = {};
    for (const { fields } of lastByProcess.values()) {
        for (const [purpose, count] of Object.entries(fields)) {
            if (typeof count === "number") {
                sums[purpose] = (sums[purpose] ?? 0) + count;
            }
        }
    }
    return sums;
}

function sumOf(charges: readonly { readonly tokens: number; }[]): number {
    return charges.reduce((sum, { tokens }) => sum + tokens, 0);
}

function numberField(fields: Readonly<Record<string, unknown>>, name: string): number | undefined {
    const value = fields[name];
    return typeof value === "number" ? value : undefined;
}
