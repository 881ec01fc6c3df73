/** What a host may spend of a team's budget by one stored record, as time passes without a newer one. */

/** Part of a record that bounds spending. */
export interface SpendingBound {
    /** Tokens that the host holds in all; cumulative for the incarnation. */
    readonly grantedTokens: number;
    /** Tokens that the host may spend at once after the record; the rest is released as the record ages. */
    readonly limitTokens: number;
}

/**
 * Age of a record from which more than its limit may be spent, in milliseconds. Hosts write every second, so an older
 * record means that the store cannot be reached.
 */
export const ReleaseAfterMs = 1_500;

/** Time over which the rest of the grant is released, in milliseconds; outages of the store last 4 to 9 s. */
export const ReleaseOverMs = 7_000;

/**
 * Tokens that may have been spent when a record has a certain age. A process keeps to it while it runs, and its successor
 * on the same machine derives from it what the process can have spent at most. A full grant at risk would leave nothing
 * to spend after all processes were killed.
 * @param ageMs Age of the record in milliseconds.
 */
export function allowedTokens(bound: SpendingBound, ageMs: number): number {
    const released = Math.min(1, Math.max(0, (ageMs - ReleaseAfterMs) / ReleaseOverMs));
    const limit = Math.min(bound.limitTokens, bound.grantedTokens);
    return limit + Math.floor((bound.grantedTokens - limit) * released);
}
