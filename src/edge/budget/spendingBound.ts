/** What a host may spend of a team's budget by one stored record, as time passes without a newer one. */

/** Part of a record that bounds spending. */
export interface SpendingBound {
    /** Tokens that the host may spend at once after the record; cumulative for the incarnation. */
    readonly limitTokens: number;
    /** Tokens per second by which the limit rises, up to the grant, once the record is old. */
    readonly releaseTokensPerS: number;
    /** Tokens by which the limit rises in addition after {@link BurstAfterMs}: a request of a team that sends now and then. */
    readonly burstTokens: number;
}

/**
 * Age of a record from which more than its limit may be spent, in milliseconds. Hosts with traffic write more often, so an
 * older record means that the store cannot be reached. A killed process is replaced after about two seconds; a release
 * that begins earlier puts tokens at risk with every kill.
 */
export const ReleaseAfterMs = 2_200;

/** Age of a record from which the burst may be spent, in milliseconds; after the start of nearly every successor. */
const BurstAfterMs = 2_700;

/**
 * Tokens that may have been spent when a record has a certain age. A process keeps to it while it runs, and its successor
 * on the same machine derives from it what the process can have spent at most. With the full grant at risk, nothing would
 * be left to spend after all processes were killed; with the limit alone, an outage of the store would stop the teams.
 * @param grantedTokens Tokens that the host holds in all; cumulative for the incarnation.
 * @param ageMs Age of the record in milliseconds.
 */
export function allowedTokens(bound: SpendingBound, grantedTokens: number, ageMs: number): number {
    const released = bound.releaseTokensPerS * Math.max(0, ageMs - ReleaseAfterMs) / 1_000;
    const burst = ageMs >= BurstAfterMs ? bound.burstTokens : 0;
    return Math.floor(Math.min(grantedTokens, bound.limitTokens + released + burst));
}
