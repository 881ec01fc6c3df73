/** Board section of the host record. Written by the journal controller only. */
import type { HostRecord } from "./journalTypes.js";

/** A sealed incarnation of this process whose requests are all settled and whose bill lines are all stored. */
export interface SettledIncarnation {
    /** The record as it was sealed. */
    readonly sealedRecord: HostRecord;
    /** Exact net consumption (S + O - I) by budget. */
    readonly netTokens: ReadonlyMap<string, number>;
}

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
    /** Highest limit by budget that the stored record may hold. G is never lowered below it. */
    highestLimits: Map<string, number>;
    /** Sequence of the newest record that was sent, and of the newest that was acknowledged. */
    sentSequence: number;
    acknowledgedSequence: number;
    /** Ordinal of the last bill that was taken from the budget section. */
    takenBillOrdinal: number;
    /** Whether the closing record was sent: nothing may change any more. */
    closing: boolean;
    /** Whether the closing record is acknowledged. */
    closed: boolean;
    /** Sealed incarnations of this process that are settled, by host key. */
    settledIncarnations: Map<string, SettledIncarnation>;
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
