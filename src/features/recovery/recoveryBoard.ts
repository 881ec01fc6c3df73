/** Board section of recovery. Written by the recovery controller only. */

/** Progress of returning this host's budget shares at shutdown. */
export interface RecoveryBoard {
    /** Whether the closing record is acknowledged and every share of this host is folded into its budget. */
    ownSharesReturned: boolean;
}

/** @returns The section of a host that is not closed. */
export function createRecoveryBoard(): RecoveryBoard {
    return { ownSharesReturned: false };
}
