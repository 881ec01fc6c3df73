/** Board section of the host record. Written by the journal controller only. */

/** State of this host's record. */
export interface JournalBoard {
    hostId: string;
    incarnation: string;
    /** `hostId~incarnation`. Changes when a sealed host opens a new incarnation. */
    hostKey: string;
    /** Whether the first record of this incarnation is acknowledged. Nothing is drawn before. */
    established: boolean;
    /** L by budget: the limit that may be spent, the lowest of the acknowledged one and any that is being written. */
    limits: Map<string, number>;
    /** Highest ticket that may be dispatched. */
    ticketLimit: number;
    /** Monotonic time of the last acknowledged record. */
    lastAcknowledgedMs: number;
    /** Number of times this process was sealed. */
    sealedCount: number;
}

/** @returns The section of a host that has not written a record. */
export function createJournalBoard(hostId: string, incarnation: string): JournalBoard {
    return {
        hostId,
        incarnation,
        hostKey: `${hostId}~${incarnation}`,
        established: false,
        limits: new Map(),
        ticketLimit: 0,
        lastAcknowledgedMs: 0,
        sealedCount: 0,
    };
}
