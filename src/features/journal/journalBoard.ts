/** Board section of the host record. Written by the journal controller only. */
import type { HostRecord } from "./journalTypes.js";

/** A sealed incarnation of this process whose requests are all settled and whose bill lines are all stored. */
export interface SettledIncarnation {
    /** The record as it was sealed. */
    readonly sealedRecord: HostRecord;
    /** Exact net consumption by budget in tokens: settled (S) + sent (O) - received (I). */
    readonly netTokens: ReadonlyMap<string, number>;
}

/** State of this host's record. */
export interface JournalBoard {
    hostId: string;
    incarnation: string;
    /** `hostId~incarnation`. Changes when a host that was sealed starts a new incarnation. */
    hostKey: string;
    /** Whether the first record of this incarnation is acknowledged. No tokens are drawn before that. */
    established: boolean;
    /** Tokens that may be spent by budget (L): the lower of the acknowledged limit and one that is being written. */
    limits: Map<string, number>;
    /** Highest limit by budget that the stored record may contain. The granted tokens (G) are never lowered below it. */
    highestLimits: Map<string, number>;
    /** Sequence of the newest record that was sent. */
    sentSequence: number;
    /** Sequence of the newest record that was acknowledged. */
    acknowledgedSequence: number;
    /** Ordinal of the last bill that the journal took from the budget section. */
    takenBillOrdinal: number;
    /** Whether the closing record was sent; the numbers of this incarnation may not change any more. */
    closing: boolean;
    /** Whether the closing record is acknowledged. */
    closed: boolean;
    /** Settled incarnations of this process, by host key. */
    settledIncarnations: Map<string, SettledIncarnation>;
    /** Highest ticket sequence that may be issued, as declared by the newest acknowledged record. */
    ticketLimit: number;
    /** Monotonic time in milliseconds of the last acknowledgement of a record. */
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
        highestLimits: new Map(),
        sentSequence: 0,
        acknowledgedSequence: 0,
        takenBillOrdinal: 0,
        closing: false,
        closed: false,
        settledIncarnations: new Map(),
        ticketLimit: 0,
        lastAcknowledgedMs: 0,
        sealedCount: 0,
    };
}
