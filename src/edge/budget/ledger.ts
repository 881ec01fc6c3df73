/** The stored ledger of prepaid tokens: what each host may spend of each team's budget. */
import { z } from "zod";
import { allowedTokens } from "./spendingRight.js";

const TokensSchema = z.number().int().nonnegative();

/** Part of a team's budget that one host incarnation holds. Both numbers are cumulative for the incarnation. */
export const HostShareSchema = z.object({
    /** Tokens that the host holds in all. */
    grantedTokens: TokensSchema,
    /** Tokens that the host may spend while the record is new; see `spendingRight.ts`. */
    limitTokens: TokensSchema,
    /** Tokens per second by which the limit rises once the record is old. */
    releaseTokensPerS: TokensSchema,
    /** Tokens that finished requests have cost so far; lags behind. */
    settledTokens: TokensSchema,
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

/** A host that writes to the ledger. */
export const LedgerHostSchema = z.object({
    incarnation: z.string(),
    /** `IP:port` at which the host takes load reports. */
    peerAddress: z.string(),
    /** Number of the incarnation's last write; makes each write a change. */
    sequence: z.number().int().nonnegative(),
    /** Wall-clock time of the last write by the host's own clock, in milliseconds. */
    writtenAtMs: z.number(),
    /** The machine's steady clock at the last write, in milliseconds. */
    writtenSteadyMs: z.number(),
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
export function unheldTokens(team: TeamLedger, prepaidTokens: number): number {
    const granted = Object.values(team.shares).reduce((sum, share) => sum + share.grantedTokens, 0);
    return prepaidTokens - team.closedTokens - team.atRiskTokens - granted;
}

/** @returns Tokens that are known to be spent, by all hosts but one. */
export function settledByOthers(team: TeamLedger, hostId: string): number {
    const others = Object.entries(team.shares).filter(([id]) => id !== hostId);
    return team.closedTokens + others.reduce((sum, [, share]) => sum + share.settledTokens, 0);
}

/** @returns Unspent tokens of the host that holds the most, other than one. */
export function mostHeldByOthers(team: TeamLedger, hostId: string): number {
    const held = Object.entries(team.shares)
        .filter(([id]) => id !== hostId)
        .map(([, share]) => share.grantedTokens - share.settledTokens);
    return Math.max(0, ...held);
}

/**
 * Other hosts by the tokens that they may spend of a team's budget as far as their records tell, the most first.
 * @param wallMs Wall-clock time by this host's clock, in milliseconds.
 * @returns Addresses for peer messages.
 */
export function lendersOf(ledger: Ledger | undefined, team: string, hostId: string, wallMs: number): string[] {
    const shares = ledger?.teams[team]?.shares ?? {};
    return Object.entries(ledger?.hosts ?? {})
        .filter(([id]) => id !== hostId)
        .map(([id, host]) => {
            const share = shares[id];
            const spareTokens = share === undefined ?
                0 :
                allowedTokens(share, wallMs - host.writtenAtMs) - share.settledTokens;
            return { address: host.peerAddress, spareTokens };
        })
        .sort((left, right) => right.spareTokens - left.spareTokens)
        .map(({ address }) => address);
}

/** @returns Hosts that wrote within a time. */
export function countRecentHosts(ledger: Ledger, wallMs: number, withinMs: number): number {
    return Object.values(ledger.hosts).filter(host => Math.abs(wallMs - host.writtenAtMs) <= withinMs).length;
}

/** When a process started, by its machine's clocks. */
export interface ProcessStart {
    readonly wallMs: number;
    readonly steadyMs: number;
}

/** Allowance for clocks that are read one after the other and set by small steps, in milliseconds. */
const ClockSlackMs = 500;

/** Largest difference between both clocks that a clock step or a suspension explains, in milliseconds. */
const MaxClockDifferenceMs = 60_000;

/**
 * Greatest age that the previous process's last record can have had when that process ended. Both clocks are of the same
 * machine; the larger answer counts: the wall clock may have been set back, the steady clock stops while the machine is
 * suspended. A steady clock that is far off has started anew with the machine and says nothing.
 * @returns Age in milliseconds.
 */
export function recordAgeMs(host: LedgerHost, start: ProcessStart): number {
    const wallAgeMs = start.wallMs - host.writtenAtMs;
    const steadyAgeMs = start.steadyMs - host.writtenSteadyMs;
    const isSameBoot = Math.abs(steadyAgeMs - wallAgeMs) <= MaxClockDifferenceMs;
    const ageMs = isSameBoot ? Math.max(wallAgeMs, steadyAgeMs) : wallAgeMs;
    return ageMs < 0 ? Number.POSITIVE_INFINITY : ageMs + ClockSlackMs;
}

/**
 * Closes the shares of a host's earlier incarnation. A process starts under a host's id only after the one before it has
 * ended. What that one may have spent without reporting it counts as at risk; the rest is free at once.
 * @returns The ledger with the shares closed; the same one when there is nothing to close.
 */
export function closePredecessor(ledger: Ledger, hostId: string, incarnation: string, start: ProcessStart): Ledger {
    const host = ledger.hosts[hostId];
    if (host === undefined || host.incarnation === incarnation) {
        return ledger;
    }
    const ageMs = recordAgeMs(host, start);
    const teams = Object.entries(ledger.teams).map(([name, team]): [string, TeamLedger] => {
        const { [hostId]: share, ...shares } = team.shares;
        if (share === undefined) {
            return [name, team];
        }
        const spentAtMost = Math.max(share.settledTokens, allowedTokens(share, ageMs));
        return [name, {
            closedTokens: team.closedTokens + share.settledTokens,
            atRiskTokens: team.atRiskTokens + spentAtMost - share.settledTokens,
            shares,
        }];
    });
    const hosts = Object.fromEntries(Object.entries(ledger.hosts).filter(([id]) => id !== hostId));
    return { hosts, teams: Object.fromEntries(teams) };
}
