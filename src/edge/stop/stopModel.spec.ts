import { afterAll, describe, expect, it } from "vitest";
import { StopModel } from "../../standins/stopModel.js";
import {
    AcceptRepeatableRule,
    EstimateAfterNoticeRule,
    EstimateRule,
    type StopFigures,
    type StopRule,
    TimeLimitRule,
    type UpstreamPlan,
} from "../../standins/stopModelPlan.js";

/** Plays of each case; more are played by hand, with a table of all rules. */
const PlayCount = Number(process.env["STOP_PLAYS"] ?? 1);
const Seed = Number(process.env["STOP_SEED"] ?? 1);
const isTablePrinted = process.env["STOP_TABLE"] !== undefined;

const GraceMs = [4_000, 8_000, 12_000];

const Steady: UpstreamPlan = { upstreamCount: 24, slowShare: 0, slowFactor: 1, pauseShare: 0.02, laterFactor: 1 };
const Slow: UpstreamPlan = { ...Steady, slowShare: 0.1, slowFactor: 2, pauseShare: 0.05 };
const Conditions = {
    "steady upstreams": Steady,
    "two slow upstreams of 24": Slow,
    "upstreams that become slower by a quarter": { ...Steady, pauseShare: 0.05, laterFactor: 1.25 },
    // One upstream of 24 is less than an estimate covers, and twice the time is more than its margin.
    "one slow upstream of 24": { ...Slow, slowShare: 0.04 },
    "upstreams that become half as fast": { ...Slow, laterFactor: 2 },
};
type Condition = keyof typeof Conditions;
const AllConditions = Object.keys(Conditions) as Condition[];

/** Conditions within the margins of the estimates. */
const CoveredConditions: readonly Condition[] = AllConditions.slice(0, 3);

/** Rolling restarts. Of the large fleets, which take long to play, only the first hosts are stopped, under one condition in CI. */
interface Fleet {
    readonly hostCount: number;
    readonly callersPerHost: number;
    readonly stopCount: number;
    readonly batchCount: number;
    readonly conditions: readonly Condition[];
}
const LargeConditions: readonly Condition[] = isTablePrinted ? AllConditions : ["two slow upstreams of 24"];
const Fleets: readonly Fleet[] = [
    { hostCount: 8, callersPerHost: 16, stopCount: 4, batchCount: 1, conditions: AllConditions },
    { hostCount: 65, callersPerHost: 8, stopCount: 16, batchCount: 1, conditions: AllConditions },
    { hostCount: 195, callersPerHost: 4, stopCount: 32, batchCount: 4, conditions: LargeConditions },
    { hostCount: 403, callersPerHost: 4, stopCount: 48, batchCount: 8, conditions: LargeConditions },
];

const Before = new AcceptRepeatableRule();
const Estimate = new EstimateRule();
const TimeLimit = new TimeLimitRule();
const AfterNotice = new EstimateAfterNoticeRule();

/** A retry may meet another host that stops and is still listed; these are at most two batches, about 4 % of the fleet. */
const MaxRefusedAgainShare = 0.05;

/** A restart that replaces hosts more slowly than it stops them; it only goes into the table, as with 12 s no host is left. */
const WholeFleet: Fleet = {
    hostCount: 8,
    callersPerHost: 16,
    stopCount: 8,
    batchCount: 1,
    conditions: CoveredConditions,
};

/** Maximum duration of the plays for the table, in milliseconds. */
const TableTimeoutMs = 600_000;

type FigureName = Exclude<keyof StopFigures, "refusalDelaysMs" | "cutAfterMs">;

/** Figures of several plays together. */
class FigureSums {
    readonly #figures: readonly StopFigures[];

    constructor(figures: readonly StopFigures[]) {
        this.#figures = figures;
    }

    sum(...names: readonly FigureName[]): number {
        return this.#figures.reduce((sum, figures) => names.reduce((part, name) => part + figures[name], sum), 0);
    }

    /** @returns Number of answers that were cut although the host began them after the signal. */
    get cutAfterSignalCount(): number {
        return this.sum("cutInNoticeCount", "cutAfterNoticeCount");
    }

    get cutCount(): number {
        return this.cutAfterSignalCount + this.sum("cutBeforeSignalCount");
    }

    get refusedCount(): number {
        return this.sum("refusedOnceCount", "refusedAgainCount");
    }

    /** @returns Time that callers lost by refusals and cut answers, in milliseconds. */
    get lostMs(): number {
        return this.#figures.flatMap(({ refusalDelaysMs, cutAfterMs }) => [...refusalDelaysMs, ...cutAfterMs])
            .reduce((sum, lostMs) => sum + lostMs, 0);
    }

    /** @returns Delays that a refusal cost callers whose request ran in the end, in milliseconds, in ascending order. */
    get refusalDelaysMs(): readonly number[] {
        return this.#figures.flatMap(({ refusalDelaysMs }) => refusalDelaysMs).sort((left, right) => left - right);
    }
}

const played = new Map<string, StopFigures>();

/** @returns The figures of all plays with the given values; each is played only once. */
function play(
    fleets: readonly Fleet[],
    graces: readonly number[],
    conditions: readonly Condition[],
    rule: StopRule,
): FigureSums {
    const figures = fleets.flatMap(fleet =>
        graces.flatMap(graceMs =>
            fleet.conditions.filter(condition => conditions.includes(condition)).flatMap(condition =>
                Array.from({ length: PlayCount }, (_, index) => playOnce(fleet, graceMs, condition, rule, Seed + index))
            )
        )
    );
    return new FigureSums(figures);
}

function playOnce(fleet: Fleet, graceMs: number, condition: Condition, rule: StopRule, seed: number): StopFigures {
    const key = [fleet.hostCount, fleet.stopCount, graceMs, condition, rule.name, seed].join("|");
    let figures = played.get(key);
    if (figures === undefined) {
        figures = new StopModel({ ...fleet, seed, graceMs, upstreams: Conditions[condition], rule }).run();
        played.set(key, figures);
    }
    return figures;
}

/** @returns A row of the table. */
function describeRow(
    name: string,
    fleets: readonly Fleet[],
    graceMs: number,
    conditions: readonly Condition[],
    rule: StopRule,
) {
    const sums = play(fleets, [graceMs], conditions, rule);
    const delays = sums.refusalDelaysMs;
    const meanMs = delays.reduce((sum, delayMs) => sum + delayMs, 0) / Math.max(1, delays.length);
    return [
        name,
        graceMs / 1_000,
        rule.name,
        sums.sum("requestCount"),
        sums.sum("begunAfterSignalCount"),
        sums.sum("cutBeforeSignalCount"),
        sums.sum("cutInNoticeCount"),
        sums.sum("cutAfterNoticeCount"),
        sums.sum("refusedOnceCount"),
        sums.sum("refusedAgainCount"),
        sums.sum("failedCount"),
        Math.round(meanMs),
        Math.round(delays[Math.floor(0.99 * delays.length)] ?? 0),
        Math.round(sums.lostMs / 1_000),
    ].join(" | ");
}

describe("StopAdmission in a fleet", () => {
    afterAll(() => {
        if (!isTablePrinted) {
            return;
        }
        const uncovered = AllConditions.filter(condition => !CoveredConditions.includes(condition));
        const rows = [
            "plays | grace s | rule | requests | begun after the signal | cut, sent before the signal | in the notice | after it" +
            " | refused once | again | failed | mean delay ms | p99 | lost s",
        ];
        const add = (name: string, fleets: readonly Fleet[], conditions: readonly Condition[]): void => {
            for (const graceMs of GraceMs) {
                for (const rule of [Before, TimeLimit, AfterNotice, Estimate]) {
                    rows.push(describeRow(name, fleets, graceMs, conditions, rule));
                }
            }
        };
        Fleets.forEach(fleet => add(`${fleet.hostCount} hosts, covered`, [fleet], CoveredConditions));
        add("8 hosts, all of them stopped, covered", [WholeFleet], CoveredConditions);
        add("all, covered", Fleets, CoveredConditions);
        uncovered.forEach(condition => add(`all, ${condition}`, Fleets, [condition]));
        console.log(rows.join("\n"));
    }, TableTimeoutMs);

    describe.each(Fleets)("given a rolling restart of a fleet of $hostCount hosts", fleet => {
        it("cuts no request begun after the signal within the margins (guards against estimates that are too low)", () => {
            const sums = play([fleet], GraceMs, CoveredConditions, Estimate);
            expect(sums.sum("begunAfterSignalCount")).toBeGreaterThan(0);
            expect(sums.cutAfterSignalCount).toBe(0);
        });

        it.each(fleet.conditions)(
            "cuts no more than without the rule before %s (guards against refusals that only move requests to the next host to be cut)",
            condition => {
                for (const graceMs of GraceMs) {
                    const before = play([fleet], [graceMs], [condition], Before);
                    const after = play([fleet], [graceMs], [condition], Estimate);
                    expect(after.cutAfterSignalCount).toBeLessThanOrEqual(before.cutAfterSignalCount);
                    expect(after.cutCount).toBeLessThanOrEqual(before.cutCount);
                }
            },
        );

        it("costs callers less time than the cuts that it avoids (guards against refusals that are dearer)", () => {
            const before = play([fleet], GraceMs, fleet.conditions, Before);
            expect(play([fleet], GraceMs, fleet.conditions, Estimate).lostMs).toBeLessThan(before.lostMs);
        });

        it("still begins most requests with a grace period of 8 s or more (guards against a host that refuses everything)", () => {
            for (const graceMs of [8_000, 12_000]) {
                const sums = play([fleet], [graceMs], CoveredConditions, Estimate);
                expect(sums.sum("begunAfterSignalCount")).toBeGreaterThan(sums.refusedCount);
            }
        });
    });

    describe.each(Fleets.filter(({ hostCount }) => hostCount >= 65))(
        "given a large fleet of $hostCount hosts",
        fleet => {
            it("refuses few callers twice (guards against retries that meet one host after the other that stops)", () => {
                const sums = play([fleet], GraceMs, fleet.conditions, Estimate);
                expect(sums.sum("refusedAgainCount")).toBeLessThanOrEqual(MaxRefusedAgainShare * sums.refusedCount);
                expect(sums.sum("failedCount")).toBe(0);
            });
        },
    );

    describe("given a short grace period", () => {
        it("cuts less than a rule that holds only after the notice (guards against a rule that begins too late)", () => {
            const late = play(Fleets, [4_000], CoveredConditions, AfterNotice);
            expect(late.cutAfterSignalCount).toBeGreaterThan(0);
            expect(play(Fleets, [4_000], CoveredConditions, Estimate).cutAfterSignalCount).toBe(0);
        });
    });
});
