/** Board section of claims and tickets. Written by the idempotency controller only. */

/** Claims and tickets of this host. */
export interface IdempotencyBoard {
    /** Number of claims whose final write is not acknowledged; a shutdown waits for them. */
    unsettledClaims: number;
    /** Highest ticket sequence that the next host record should declare. */
    wantedTicketLimit: number;
}

/** @returns The section of a host that has no claims and has issued no tickets. */
export function createIdempotencyBoard(): IdempotencyBoard {
    return { unsettledClaims: 0, wantedTicketLimit: 0 };
}
