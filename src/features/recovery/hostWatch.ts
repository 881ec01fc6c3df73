/** Watches the record of one suspected incarnation until it is closed or sealed, and seals it when it does not change. */
import { AbsentVersion, type ReadOutcome, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema, splitHostKey } from "../journal/journalTypes.js";

/** Store calls of a {@link HostWatch}. */
export interface WatchCalls {
    readonly get: () => void;
    readonly put: (record: HostRecord, expectedVersion: number) => void;
    readonly count: (name: string) => void;
}

/** Observation of one host record. */
export class HostWatch {
    readonly hostKey: string;
    /** Budgets in which a share of the host was seen. */
    readonly seenBudgets = new Set<string>();
    readonly #calls: WatchCalls;
    readonly #suspicionMs: number;
    readonly #readIntervalMs: number;
    #observed: { version: number; record: HostRecord | undefined; sinceMs: number; } | undefined;
    #ended: HostRecord | undefined;
    #inFlight = false;
    #nextReadMs: number;

    constructor(
        hostKey: string,
        calls: WatchCalls,
        times: { readonly firstReadMs: number; readonly suspicionMs: number; readonly readIntervalMs: number; },
    ) {
        this.hostKey = hostKey;
        this.#calls = calls;
        this.#nextReadMs = times.firstReadMs;
        this.#suspicionMs = times.suspicionMs;
        this.#readIntervalMs = times.readIntervalMs;
    }

    /** @returns The closed or sealed record. */
    get ended(): HostRecord | undefined {
        return this.#ended;
    }

    /** Reads the record when it is time. */
    step(nowMs: number): void {
        if (this.#ended === undefined && !this.#inFlight && nowMs >= this.#nextReadMs) {
            this.#inFlight = true;
            this.#calls.get();
        }
    }

    /** Handles the result of a read. */
    readDone(outcome: ReadOutcome, nowMs: number): void {
        this.#inFlight = false;
        this.#nextReadMs = nowMs + this.#readIntervalMs;
        if (outcome.status !== "unavailable") {
            this.#observe(outcome.status === "found" ? outcome.object : undefined, nowMs);
        }
    }

    /** Handles the result of the seal. */
    writeDone(outcome: WriteOutcome, sealed: HostRecord, nowMs: number): void {
        this.#inFlight = false;
        this.#nextReadMs = nowMs + this.#readIntervalMs;
        if (outcome.status === "applied") {
            this.#calls.count("recovery.sealed");
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
            this.#calls.count("recovery.unreadableRecords");
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
            this.#calls.put(sealedForm(this.#observed.record, this.hostKey), this.#observed.version);
        }
    }
}

/** @returns The record with the state `sealed`; an empty one when the host has none. */
export function sealedForm(record: HostRecord | undefined, hostKey: string): HostRecord {
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
