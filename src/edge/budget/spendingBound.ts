/** How much a host may spend of a team's budget under one stored record, depending on the age of the record. */

/** The fields of a record that limit spending. */
export interface SpendingBound {
    /** Tokens that the host may spend at once after the record; cumulative for the incarnation. */
    readonly limitTokens: number;
    /** Tokens per second by which the limit rises, up to the grant, after {@link ReleaseAfterMs}. */
    readonly releaseTokensPerS: number;
    /** Tokens by which the limit rises in addition after {@link BurstAfterMs}: one request of a team that sends few. */
    readonly burstTokens: number;
}

/**
 * Age of a record from which more than its limit may be spent, in milliseconds. Hosts with traffic write more often, so an
 * older record means that the store cannot be reached. A killed process is replaced after about two seconds; a release
 * that began earlier would put tokens at risk with every kill.
 */
export const ReleaseAfterMs = 2_200;

/** Age of a record from which the burst may be spent, in milliseconds; nearly every successor has started by then. */
const BurstAfterMs = 2_700;

/** Maximum age of the copy from which the store comes back, in milliseconds: the time whose grants and spending it lacks. */
export const MaxCopyAgeMs = 20_000;

/**
 * Computes how many tokens may have been spent when a record has a certain age. A running process stays within it, and its
 * successor on the same machine derives from it the maximum that the process can have spent. If the full grant were at
 * risk, nothing would be left to spend after all processes were killed; with the limit alone, an outage of the store would
 * stop the teams.
 * @param grantedTokens Total tokens granted to the host; cumulative for the incarnation.
 * @param ageMs Age of the record in milliseconds.
 * @returns Tokens, cumulative for the incarnation like the grant.
 */
export function allowedTokens(bound: SpendingBound, grantedTokens: number, ageMs: number): number {
    const released = bound.releaseTokensPerS * Math.max(0, ageMs - ReleaseAfterMs) / 1_000;
    const burst = ageMs >= BurstAfterMs ? bound.burstTokens : 0;
    return Math.floor(Math.min(grantedTokens, bound.limitTokens + released + burst));
}
