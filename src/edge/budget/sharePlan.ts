/** Division of a team's unspent tokens among the hosts. Pure functions over one ledger. */
import type { TeamLedger } from "./ledger.js";
import { unallocatedTokens } from "./ledger.js";

/**
 * Part of the unspent tokens that the hosts hold together. The rest can be drawn by any host within one store call and is
 * never at risk, but out of use while the store is lost.
 */
const HeldPart = 0.85;

/**
 * Demand assumed for every home in addition: one summary of 10,000 tokens within the window of the demand average. With
 * less, a home that a small team's borrowers have not asked yet gives everything back.
 */
const BaseDemandTokensPerS = 500;

/** A share is changed when it is off its target by more than this part. */
const Tolerance = 0.3;

/** What a plan depends on. */
export interface SharePlanInput {
    readonly ledger: TeamLedger;
    readonly hostId: string;
    readonly prepaidTokens: number;
    /** Hosts that hold the team's tokens; others give back what they have. */
    readonly homeHostIds: readonly string[];
    /** Granted so far, spent or reserved, and wanted by requests that wait; of this host. */
    readonly grantedTokens: number;
    readonly usedTokens: number;
    readonly neededTokens: number;
    /** Demand that reaches this host, also from hosts that borrow from it. */
    readonly demandTokensPerS: number;
}

/**
 * Decides how many tokens this host should be granted in all. Every home aims at the part of the unspent tokens that
 * matches its part of the demand. That leaves next to nothing unheld: in a cut from the store a host can spend only
 * what it holds.
 */
export function planGrant(input: SharePlanInput): number {
    const unheld = Math.max(0, unallocatedTokens(input.ledger, input.prepaidTokens));
    const unused = input.grantedTokens - input.usedTokens;
    const target = Math.floor(HeldPart * unspentTokens(input, unheld, unused) * weightOf(input));
    const wanted = Math.max(target, input.neededTokens);
    if (unused < wanted * (1 - Tolerance) || unused < input.neededTokens) {
        return input.grantedTokens + Math.floor(Math.min(unheld, wanted - unused));
    }
    if (unused > wanted * (1 + Tolerance)) {
        return input.usedTokens + Math.ceil(wanted);
    }
    return input.grantedTokens;
}

function unspentTokens({ ledger, hostId }: SharePlanInput, unheld: number, unused: number): number {
    const others = Object.entries(ledger.shares).filter(([id]) => id !== hostId);
    const held = others.reduce((sum, [, share]) => sum + Math.max(0, share.grantedTokens - share.settledTokens), 0);
    return unheld + held + Math.max(0, unused);
}

/** @returns Part of the unspent tokens that is this host's, 0 to 1. */
function weightOf({ ledger, hostId, homeHostIds, demandTokensPerS }: SharePlanInput): number {
    if (!homeHostIds.includes(hostId)) {
        return 0;
    }
    const others = homeHostIds.filter(id => id !== hostId).map(id => ledger.shares[id]?.demandTokensPerS ?? 0);
    const totalTokensPerS = others.reduce((sum, demand) => sum + demand, demandTokensPerS);
    return (demandTokensPerS + BaseDemandTokensPerS) / (totalTokensPerS + BaseDemandTokensPerS * homeHostIds.length);
}
