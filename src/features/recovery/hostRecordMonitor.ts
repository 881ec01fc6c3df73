/** Watches the record of a suspected incarnation until it is closed or sealed, and seals it when it stops changing. */
import { AbsentVersion, type ReadOutcome, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema, splitHostKey } from "../journal/journalTypes.js";

/** Store calls of a {@link HostRecordMonitor}. */
export interface HostRecordMonitorCalls {
    /** Reads the record; the result goes to {@link HostRecordMonitor.handleReadResult}. */
    readonly readRecord: () => void;
    /** Writes the sealed record at a version; the result goes to {@link HostRecordMonitor.handleSealResult}. */
    readonly writeSealedRecord: (record: HostRecord, expectedVersion: number) => void;
    /** Adds one to a counter. */
    readonly incrementCounter: (name: string) => void;
}

/** Watches one host record and seals it when it has not changed for the suspicion time. */
export class HostRecordMonitor {
    readonly hostKey: string;
    /** Budgets in which a share of the host was seen. */
    readonly budgetsWithShare = new Set<string>();
    readonly #calls: HostRecordMonitorCalls;
    readonly #suspicionMs: number;
    readonly #readIntervalMs: number;
    /** Newest version seen, and the monotonic time in milliseconds at which it was first seen. */
    #observed: { version: number; record: HostRecord | undefined; sinceMs: number; } | undefined;
    #endedRecord: HostRecord | undefined;
    #inFlight = false;
    #nextReadMs: number;

    constructor(
        hostKey: string,
        calls: HostRecordMonitorCalls,
        times: { readonly firstReadMs: number; readonly suspicionMs: number; readonly readIntervalMs: number; },
    ) {
        this.hostKey = hostKey;
        this.#calls = calls;
        this.#nextReadMs = times.firstReadMs;
        this.#suspicionMs = times.suspicionMs;
        this.#readIntervalMs = times.readIntervalMs;
    }

    /** @returns The closed or sealed record; `undefined` until one was read or written. */
    get endedRecord(): HostRecord | undefined {
        return this.#endedRecord;
    }

    /** Reads the record when the next read is due, no call is in flight and the record has not ended. */
    readIfDue(nowMs: number): void {
        if (this.#endedRecord === undefined && !this.#inFlight && nowMs >= this.#nextReadMs) {
            this.#inFlight = true;
            this.#calls.readRecord();
        }
    }

    /** Handles the result of a read. */
    handleReadResult(outcome: ReadOutcome, nowMs: number): void {
        this.#inFlight = false;
        this.#nextReadMs = nowMs + this.#readIntervalMs;
        if (outcome.status !== "unavailable") {
            this.#observe(outcome.status === "found" ? outcome.object : undefined, nowMs);
        }
    }

    /** Handles the result of writing the sealed record. */
    handleSealResult(outcome: WriteOutcome, sealed: HostRecord, nowMs: number): void {
        this.#inFlight = false;
        this.#nextReadMs = nowMs + this.#readIntervalMs;
        if (outcome.status === "applied") {
            this.#calls.incrementCounter("recovery.sealed");
            this.#endedRecord = sealed;
        }
        else if (outcome.status === "conflict") {
            this.#observe(outcome.current, nowMs);
        }
    }

    #observe(stored: StoredObject | undefined, nowMs: number): void {
        const parsed = stored === undefined ? undefined : HostRecordSchema.safeParse(stored.value);
        if (parsed?.success === false) {
            // Written by another release. Sealing it as an empty record would release tokens that its host has spent.
            this.#calls.incrementCounter("recovery.unreadableRecords");
            return;
        }
        const record = parsed?.data;
        if (record?.state === "sealed" || record?.state === "closed") {
            this.#endedRecord = record;
            return;
        }
        const version = stored?.version ?? AbsentVersion;
        if (this.#observed === undefined || this.#observed.version < version) {
            this.#observed = { version, record, sinceMs: nowMs };
        }
        else if (nowMs - this.#observed.sinceMs >= this.#suspicionMs) {
            this.#inFlight = true;
            this.#calls.writeSealedRecord(
                createSealedRecord(this.#observed.record, this.hostKey),
                this.#observed.version,
            );
        }
    }
}

/** @returns The record with the state `sealed`; an empty sealed record when the host has none. */
export function createSealedRecord(record: HostRecord | undefined, hostKey: string): HostRecord {
    return record === undefined ?
        {
            ...splitHostKey(hostKey),
            zone: "",
            state: "sealed",
            sequence: 0,
            configVersion: 0,
            entries: {},
            bills: [],
            billSegments: 0,
            ticketLimit: 0,
        } :
        { ...record, state: "sealed" };
}
