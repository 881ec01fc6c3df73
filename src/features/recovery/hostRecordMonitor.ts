/** Watches the record of one suspected incarnation until it is closed or sealed, and seals it when it does not change. */
import { AbsentVersion, type ReadOutcome, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema, splitHostKey } from "../journal/journalTypes.js";

/** Store calls of a {@link HostRecordMonitor}. */
export interface HostRecordMonitorCalls {
    readonly readRecord: () => void;
    readonly writeSealedRecord: (record: HostRecord, expectedVersion: number) => void;
    readonly incrementCounter: (name: string) => void;
}

/** Observation of one host record. */
export class HostRecordMonitor {
    readonly hostKey: string;
    /** Budgets in which a share of the host was seen. */
    readonly budgetsWithShare = new Set<string>();
    readonly #calls: HostRecordMonitorCalls;
    readonly #suspicionMs: number;
    readonly #readIntervalMs: number;
    #observed: { version: number; record: HostRecord | undefined; sinceMs: number; } | undefined;
    #ended: HostRecord | undefined;
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

    /** @returns The closed or sealed record. */
    get endedRecord(): HostRecord | undefined {
        return this.#ended;
    }

    /** Reads the record when it is time. */
    readIfDue(nowMs: number): void {
        if (this.#ended === undefined && !this.#inFlight && nowMs >= this.#nextReadMs) {
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

    /** Handles the result of the seal. */
    handleSealResult(outcome: WriteOutcome, sealed: HostRecord, nowMs: number): void {
        this.#inFlight = false;
        this.#nextReadMs = nowMs + this.#readIntervalMs;
        if (outcome.status === "applied") {
            this.#calls.incrementCounter("recovery.sealed");
            this.#ended = sealed;
        }
        else if (outcome.status === "conflict") {
            this.#observe(outcome.current, nowMs);
        }
    }

    #observe(stored: StoredObject | undefined, nowMs: number): void {
        const parsed = stored === undefined ? undefined : HostRecordSchema.safeParse(stored.value);
        if (parsed?.success === false) {
            // Written by another release. Sealing it as an empty record would free tokens that its host has spent.
            this.#calls.incrementCounter("recovery.unreadableRecords");
            return;
        }
        const record = parsed?.data;
        if (record?.state === "sealed" || record?.state === "closed") {
            this.#ended = record;
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

/** @returns The record with the state `sealed`; an empty one when the host has none. */
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
