/** The stored ledgers of prepaid tokens, one object per team: what each host may spend of the team's budget. */
import { z } from "zod";
import { maxGrantedTokens } from "./ledgerHistory.js";
import { allowedTokens } from "./spendingBound.js";
import {
    RecordedBoundSchema,
    type SpendingRecord,
    type WriteTimestamp,
    WriteTimestampSchema,
} from "./spendingRecord.js";

const TokensSchema = z.number().int().nonnegative();

/** Share of a team's budget that one host incarnation holds. All token counts are cumulative for the incarnation. */
export const HostShareSchema = RecordedBoundSchema.extend({
    /** Total tokens granted to the host, including those that it has spent. */
    grantedTokens: TokensSchema,
    /** Tokens per second that requests at the host need, including loan requests of other hosts. */
    demandTokensPerS: TokensSchema,
});
export type HostShare = z.infer<typeof HostShareSchema>;

/** Division of one team's budget: the shares of running processes, and what ended processes have or may have spent. */
export const TeamLedgerSchema = z.object({
    /** Tokens that closed incarnations are known to have spent. */
    closedTokens: TokensSchema,
    /** Tokens that closed incarnations held and may have spent without recording it. */
    atRiskTokens: TokensSchema,
    /** Shares by host id. */
    shares: z.record(z.string(), HostShareSchema),
});
export type TeamLedger = z.infer<typeof TeamLedgerSchema>;

/** A host that writes to the ledger, with the timestamp of its last write. */
export const LedgerHostSchema = WriteTimestampSchema.extend({
    /** `IP:port` at which the host receives messages of other hosts. */
    peerAddress: z.string(),
    /** History of the store in which the host has written; entries of earlier releases lack it. */
    history: z.number().int().nonnegative().optional(),
});
export type LedgerHost = z.infer<typeof LedgerHostSchema>;

/** The stored object: the hosts that write to it by id, and the division of the budget by team. */
export const LedgerSchema = z.object({
    hosts: z.record(z.string(), LedgerHostSchema),
    teams: z.record(z.string(), TeamLedgerSchema),
});
export type Ledger = z.infer<typeof LedgerSchema>;

/** Ledger before the first write. */
export const EmptyLedger: Ledger = { hosts: {}, teams: {} };
/** Entry of a team before its first share. */
export const EmptyTeamLedger: TeamLedger = { closedTokens: 0, atRiskTokens: 0, shares: {} };

/** @returns Tokens that are neither spent, at risk nor held by a host; negative after the prepaid amount was lowered. */
export function unallocatedTokens(team: TeamLedger, prepaidTokens: number): number {
    const granted = Object.values(team.shares)
        .reduce((sum, share) => sum + Math.max(share.grantedTokens, share.settledTokens), 0);
    return prepaidTokens - team.closedTokens - team.atRiskTokens - granted;
}

/** @returns Tokens known to be spent by closed incarnations and by all hosts other than the given one. */
export function settledTokensOfOthers(team: TeamLedger, hostId: string): number {
    const others = Object.entries(team.shares).filter(([id]) => id !== hostId);
    return team.closedTokens + others.reduce((sum, [, share]) => sum + share.settledTokens, 0);
}

/** @returns Unspent tokens of the host that holds the most of them, other than the given one. */
export function maxUnspentTokensOfOthers(team: TeamLedger, hostId: string): number {
    const held = Object.entries(team.shares)
        .filter(([id]) => id !== hostId)
        .map(([, share]) => share.grantedTokens - share.settledTokens);
    return Math.max(0, ...held);
}

/** Start time of a process in milliseconds, by the wall clock and by the steady clock of its machine. */
export interface ProcessStart {
    readonly wallMs: number;
    readonly steadyMs: number;
}

/** Added to an age by the wall clock alone, in case that clock was adjusted by a small step, in milliseconds. */
const WallClockToleranceMs = 500;

/** Maximum difference between the ages by both clocks that a clock step or a suspension explains, in milliseconds. */
const MaxClockDifferenceMs = 60_000;

/**
 * Computes the maximum age that the previous process's last record can have had when that process ended. Both clocks are of
 * the same machine, and the larger age counts: the wall clock may have been set back, and the steady clock stops while the
 * machine is suspended. A steady clock that is off by more than {@link MaxClockDifferenceMs} has restarted with the machine
 * and is ignored.
 * @returns Age in milliseconds; infinite when neither clock is usable.
 */
export function maxRecordAgeMs(record: WriteTimestamp, start: ProcessStart): number {
    const wallAgeMs = start.wallMs - record.writtenAtMs;
    const steadyAgeMs = start.steadyMs - record.writtenSteadyMs;
    if (Math.abs(steadyAgeMs - wallAgeMs) <= MaxClockDifferenceMs && steadyAgeMs >= 0) {
        return Math.max(wallAgeMs, steadyAgeMs);
    }
    return wallAgeMs < 0 ? Number.POSITIVE_INFINITY : wallAgeMs + WallClockToleranceMs;
}

/**
 * Closes the shares of a host's earlier incarnation. A process starts under a host's id only after its predecessor has
 * ended. Tokens that the predecessor may have spent without recording it count as at risk; the remainder becomes
 * unallocated at once.
 * @param start Start of the process that closes the shares.
 * @param record The host's own record, which the caller has taken over. The newer of it and the ledger's entry is used.
 * @param history Current history of the store. A share of an earlier one may have been larger than its copy shows.
 * @returns The ledger with the shares closed; the same object when there is nothing to close.
 */
export function closePredecessorShares(
    ledger: Ledger,
    hostId: string,
    incarnation: string,
    start: ProcessStart,
    record: SpendingRecord | undefined,
    history = 0,
): Ledger {
    const host = ledger.hosts[hostId];
    if (host === undefined || host.incarnation === incarnation) {
        return ledger;
    }
    const newer = recordIfNewer(host, record);
    const teams = Object.entries(ledger.teams).map(([name, team]): [string, TeamLedger] => {
        const { [hostId]: share, ...shares } = team.shares;
        if (share === undefined) {
            return [name, team];
        }
        const recorded = newer?.teams[name];
        const bound = recorded ?? share;
        const ageMs = maxRecordAgeMs(recorded === undefined ? host : newer!, start);
        const settledTokens = Math.max(share.settledTokens, bound.settledTokens);
        const isOfCopy = (host.history ?? 0) < history;
        const maxTokens = isOfCopy ? maxGrantedTokens(share) : share.grantedTokens;
        const maxSpentTokens = Math.max(settledTokens, allowedTokens(bound, maxTokens, ageMs));
        return [name, {
            closedTokens: team.closedTokens + settledTokens,
            atRiskTokens: team.atRiskTokens + maxSpentTokens - settledTokens,
            shares,
        }];
    });
    const hosts = Object.fromEntries(Object.entries(ledger.hosts).filter(([id]) => id !== hostId));
    return { hosts, teams: Object.fromEntries(teams) };
}

/** @returns The record if it is newer than the ledger's entry of the same process, else `undefined`. */
export function recordIfNewer(host: LedgerHost, record: SpendingRecord | undefined): SpendingRecord | undefined {
    return record?.incarnation === host.incarnation && record.sequence > host.sequence ? record : undefined;
}
