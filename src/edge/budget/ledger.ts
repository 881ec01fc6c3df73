/** The stored ledgers of prepaid tokens, one object a team: what each host may spend of the team's budget. */
import { z } from "zod";
import { allowedTokens } from "./spendingBound.js";
import {
    RecordedBoundSchema,
    type SpendingRecord,
    type WriteTimestamp,
    WriteTimestampSchema,
} from "./spendingRecord.js";

const TokensSchema = z.number().int().nonnegative();

/** Part of a team's budget that one host incarnation holds. All token numbers are cumulative for the incarnation. */
export const HostShareSchema = RecordedBoundSchema.extend({
    /** Tokens that the host holds in all. */
    grantedTokens: TokensSchema,
    /** Tokens per second that requests at the host ask for. */
    demandTokensPerS: TokensSchema,
});
export type HostShare = z.infer<typeof HostShareSchema>;

/** One team's budget. */
export const TeamLedgerSchema = z.object({
    /** Tokens that closed incarnations are known to have spent. */
    closedTokens: TokensSchema,
    /** Tokens that closed incarnations held and may have spent. */
    atRiskTokens: TokensSchema,
    shares: z.record(z.string(), HostShareSchema),
});
export type TeamLedger = z.infer<typeof TeamLedgerSchema>;

/** A host that writes to the ledger, with the date of its last write. */
export const LedgerHostSchema = WriteTimestampSchema.extend({
    /** `IP:port` at which the host takes messages of other hosts. */
    peerAddress: z.string(),
});
export type LedgerHost = z.infer<typeof LedgerHostSchema>;

/** The stored object. */
export const LedgerSchema = z.object({
    hosts: z.record(z.string(), LedgerHostSchema),
    teams: z.record(z.string(), TeamLedgerSchema),
});
export type Ledger = z.infer<typeof LedgerSchema>;

export const EmptyLedger: Ledger = { hosts: {}, teams: {} };
export const EmptyTeamLedger: TeamLedger = { closedTokens: 0, atRiskTokens: 0, shares: {} };

/** @returns Tokens that no host holds and nothing has consumed; negative after the prepaid amount was lowered. */
export function unallocatedTokens(team: TeamLedger, prepaidTokens: number): number {
    const granted = Object.values(team.shares).reduce((sum, share) => sum + share.grantedTokens, 0);
    return prepaidTokens - team.closedTokens - team.atRiskTokens - granted;
}

/** @returns Tokens that are known to be spent, by all hosts but one. */
export function settledTokensOfOthers(team: TeamLedger, hostId: string): number {
    const others = Object.entries(team.shares).filter(([id]) => id !== hostId);
    return team.closedTokens + others.reduce((sum, [, share]) => sum + share.settledTokens, 0);
}

/** @returns Unspent tokens of the host that holds the most, other than one. */
export function maxUnspentTokensOfOthers(team: TeamLedger, hostId: string): number {
    const held = Object.entries(team.shares)
        .filter(([id]) => id !== hostId)
        .map(([, share]) => share.grantedTokens - share.settledTokens);
    return Math.max(0, ...held);
}

/** When a process started, by its machine's clocks. */
export interface ProcessStart {
    readonly wallMs: number;
    readonly steadyMs: number;
}

/** Allowance for a wall clock that was set by a small step, in milliseconds. */
const WallClockSlackMs = 500;

/** Largest difference between both clocks that a clock step or a suspension explains, in milliseconds. */
const MaxClockDifferenceMs = 60_000;

/**
 * Greatest age that the previous process's last record can have had when that process ended. Both clocks are of the same
 * machine; the larger answer counts: the wall clock may have been set back, the steady clock stops while the machine is
 * suspended. A steady clock that is far off has started anew with the machine and says nothing.
 * @returns Age in milliseconds.
 */
export function maxRecordAgeMs(record: WriteTimestamp, start: ProcessStart): number {
    const wallAgeMs = start.wallMs - record.writtenAtMs;
    const steadyAgeMs = start.steadyMs - record.writtenSteadyMs;
    if (Math.abs(steadyAgeMs - wallAgeMs) <= MaxClockDifferenceMs && steadyAgeMs >= 0) {
        return Math.max(wallAgeMs, steadyAgeMs);
    }
    return wallAgeMs < 0 ? Number.POSITIVE_INFINITY : wallAgeMs + WallClockSlackMs;
}

/**
 * Closes the shares of a host's earlier incarnation. A process starts under a host's id only after the one before it has
 * ended. What that one may have spent without reporting it counts as at risk; the rest is free at once.
 * @param record The host's own record, which the caller has taken over. The newer of it and the ledger's entry counts.
 * @returns The ledger with the shares closed; the same one when there is nothing to close.
 */
export function closePredecessorShares(
    ledger: Ledger,
    hostId: string,
    incarnation: string,
    start: ProcessStart,
    record: SpendingRecord | undefined,
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
        const spentAtMost = Math.max(settledTokens, allowedTokens(bound, share.grantedTokens, ageMs));
        return [name, {
            closedTokens: team.closedTokens + settledTokens,
            atRiskTokens: team.atRiskTokens + spentAtMost - settledTokens,
            shares,
        }];
    });
    const hosts = Object.fromEntries(Object.entries(ledger.hosts).filter(([id]) => id !== hostId));
    return { hosts, teams: Object.fromEntries(teams) };
}

/** @returns The record if it is newer than the ledger's entry of the same process. */
export function recordIfNewer(host: LedgerHost, record: SpendingRecord | undefined): SpendingRecord | undefined {
    return record?.incarnation === host.incarnation && record.sequence > host.sequence ? record : undefined;
}
