/** Divides a team's unspent tokens among the hosts. Pure functions over one ledger. */
import type { TeamLedger } from "./ledger.js";
import { unallocatedTokens } from "./ledger.js";

/**
 * Fraction of the unspent tokens that the hosts hold together. The remainder can be drawn by any host with one store call and
 * is never at risk, but cannot be used while the store is unreachable.
 */
const HeldFraction = 0.85;

/**
 * Demand that is added for every home host, in tokens per second: one summary of 10,000 tokens within the window of the
 * demand average. With less, a home host that the borrowers of a small team have not asked yet returns all its tokens.
 */
const BaseDemandTokensPerS = 500;

/** A share is changed when it differs from its target by more than this fraction of the target. */
const ToleranceFraction = 0.3;

/** Data from which a host plans its grant; all token counts are of the same team. */
export interface SharePlanInput {
    readonly ledger: TeamLedger;
    readonly hostId: string;
    readonly prepaidTokens: number;
    /** Ids of the hosts that hold the team's tokens; other hosts return theirs. */
    readonly homeHostIds: readonly string[];
    /** Tokens granted to this host so far. */
    readonly grantedTokens: number;
    /** Tokens of the grant that are spent, lent or reserved. */
    readonly usedTokens: number;
    /** Tokens for which requests wait at this host. */
    readonly neededTokens: number;
    /** Whether unallocated tokens may be granted. */
    readonly canGrow: boolean;
    /** Demand at this host in tokens per second, including that of hosts that borrow from it. */
    readonly demandTokensPerS: number;
}

/**
 * Decides how many tokens this host should be granted in total. Every home host aims at the fraction of the unspent tokens
 * that equals its fraction of the demand. Few tokens stay unallocated, because a host that is cut off from the store can
 * spend only what it holds.
 * @returns The total grant in tokens, cumulative for the incarnation.
 */
export function planGrant(input: SharePlanInput): number {
    const unallocated = input.canGrow ? Math.max(0, unallocatedTokens(input.ledger, input.prepaidTokens)) : 0;
    const unused = input.grantedTokens - input.usedTokens;
    const target = Math.floor(HeldFraction * unspentTokens(input, unallocated, unused) * shareOfDemand(input));
    const desired = Math.max(target, input.neededTokens);
    if (unused < desired * (1 - ToleranceFraction) || unused < input.neededTokens) {
        return input.grantedTokens + Math.floor(Math.min(unallocated, desired - unused));
    }
    if (unused > desired * (1 + ToleranceFraction)) {
        return input.usedTokens + Math.ceil(desired);
    }
    return Math.max(input.grantedTokens, input.usedTokens);
}

function unspentTokens({ ledger, hostId }: SharePlanInput, unallocated: number, unused: number): number {
    const others = Object.entries(ledger.shares).filter(([id]) => id !== hostId);
    const held = others.reduce((sum, [, share]) => sum + Math.max(0, share.grantedTokens - share.settledTokens), 0);
    return unallocated + held + Math.max(0, unused);
}

/** @returns Fraction of the held tokens that this host should hold, 0 to 1; 0 for a host that is no home of the team. */
function shareOfDemand({ ledger, hostId, homeHostIds, demandTokensPerS }: SharePlanInput): number {
    if (!homeHostIds.includes(hostId)) {
        return 0;
    }
    const others = homeHostIds.filter(id => id !== hostId).map(id => ledger.shares[id]?.demandTokensPerS ?? 0);
    const totalTokensPerS = others.reduce((sum, demand) => sum + demand, demandTokensPerS);
    return (demandTokensPerS + BaseDemandTokensPerS) / (totalTokensPerS + BaseDemandTokensPerS * homeHostIds.length);
}
