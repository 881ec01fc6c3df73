/** Board section of claims and tickets. Written by the idempotency controller only. */

/** Claims and tickets of this host. */
export interface IdempotencyBoard {
    /** Claims whose last write is not acknowledged; a shutdown waits for them. */
    unsettledClaims: number;
    /** Highest ticket that the next host record shall declare. */
    wantedTicketLimit: number;
}

/** @returns The section of a host without claims. */
export function createIdempotencyBoard(): IdempotencyBoard {
    return { unsettledClaims: 0, wantedTicketLimit: 0 };
}
