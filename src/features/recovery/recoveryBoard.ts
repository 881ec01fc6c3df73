/** Board section of recovery. Written by the recovery controller only. */

/** Progress of returning shares. */
export interface RecoveryBoard {
    /** Whether every share of this host is folded into its budget after the closing record. */
    ownSharesReturned: boolean;
}

/** @returns The section of a host that has not closed. */
export function createRecoveryBoard(): RecoveryBoard {
    return { ownSharesReturned: false };
}
