/** Division of a team's unspent tokens among the hosts. Pure functions over one ledger. */
import type { HostShare, Ledger, TeamLedger } from "./ledger.js";
import { unheldTokens } from "./ledger.js";

/**
 * Part of the unspent tokens that the hosts hold together. The rest can be drawn by any host within one store call and is
 * never at risk, but out of use while the store is lost.
 */
const HeldPart = 0.85;

/**
 * How much of a host's weight follows its traffic in all, the rest its traffic for the team. A large team's callers often
 * reach one host only, and what other hosts hold of its tokens is out of use.
 */
const OverallPart = 0.1;

/**
 * Demand assumed for every host in addition: one summary of 10,000 tokens within the window of the demand average. With
 * less, a host that a small team's callers have not reached yet gives everything back and refuses the first of them.
 */
const BaseDemandTokensPerS = 500;

/** A share is changed when it is off its target by more than this part. */
const Tolerance = 0.3;

/** What a plan depends on. */
export interface SharePlanInput {
    readonly ledger: Ledger;
    readonly team: TeamLedger;
    readonly hostId: string;
    readonly prepaidTokens: number;
    /** Hosts to assume as long as the ledger shows fewer. */
    readonly expectedHostCount: number;
    /** Granted so far, spent or reserved, and wanted by requests that wait; of this host. */
    readonly grantedTokens: number;
    readonly usedTokens: number;
    readonly neededTokens: number;
    readonly demandTokensPerS: number;
    /** Demand of this host for all teams. */
    readonly totalDemandTokensPerS: number;
}

/**
 * Decides how many tokens this host should be granted in all. Every host aims at the part of the unspent tokens that
 * matches its part of the demand. That leaves next to nothing unheld: in a cut from the store a host can spend only
 * what it holds.
 */
export function planGrant(input: SharePlanInput): number {
    const unheld = Math.max(0, unheldTokens(input.team, input.prepaidTokens));
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

function unspentTokens({ team, hostId }: SharePlanInput, unheld: number, unused: number): number {
    const others = Object.entries(team.shares).filter(([id]) => id !== hostId);
    const held = others.reduce((sum, [, share]) => sum + Math.max(0, share.grantedTokens - share.settledTokens), 0);
    return unheld + held + Math.max(0, unused);
}

/** @returns Part of the unspent tokens that is this host's, 0 to 1. */
function weightOf(input: SharePlanInput): number {
    const { ledger, team, hostId, expectedHostCount } = input;
    const others = Object.keys(ledger.hosts).filter(id => id !== hostId);
    const hostCount = Math.max(expectedHostCount, others.length + 1);
    const overall = part(input.totalDemandTokensPerS, others.map(id => demandOf(ledger, id)), hostCount);
    const own = part(input.demandTokensPerS, others.map(id => team.shares[id]?.demandTokensPerS ?? 0), hostCount);
    return OverallPart * overall + (1 - OverallPart) * own;
}

function part(own: number, others: readonly number[], hostCount: number): number {
    const sum = others.reduce((total, demand) => total + demand, own);
    return (own + BaseDemandTokensPerS) / (sum + BaseDemandTokensPerS * hostCount);
}

function demandOf(ledger: Ledger, hostId: string): number {
    return Object.values(ledger.teams).reduce((sum, team) => sum + shareDemand(team.shares[hostId]), 0);
}

function shareDemand(share: HostShare | undefined): number {
    return share?.demandTokensPerS ?? 0;
}
