/** What a host may spend of a team's budget by one stored record, as time passes without a newer one. */

/** Part of a record that bounds spending. */
export interface SpendingBound {
    /** Tokens that the host holds in all; cumulative for the incarnation. */
    readonly grantedTokens: number;
    /** Tokens that the host may spend at once after the record. */
    readonly limitTokens: number;
    /** Tokens per second by which the limit rises, up to the grant, once the record is old. */
    readonly releaseTokensPerS: number;
}

/**
 * Age of a record from which more than its limit may be spent, in milliseconds. Hosts write every second, so an older
 * record means that the store cannot be reached.
 */
export const ReleaseAfterMs = 1_700;

/**
 * Tokens that may have been spent when a record has a certain age. A process keeps to it while it runs, and its successor
 * on the same machine derives from it what the process can have spent at most. With the full grant at risk, nothing would
 * be left to spend after all processes were killed; with the limit alone, an outage of the store would stop the teams.
 * @param ageMs Age of the record in milliseconds.
 */
export function allowedTokens(bound: SpendingBound, ageMs: number): number {
    const released = bound.releaseTokensPerS * Math.max(0, ageMs - ReleaseAfterMs) / 1_000;
    return Math.floor(Math.min(bound.grantedTokens, bound.limitTokens + released));
}
