/** Writes the host record of one incarnation: one write at a time, repeated unchanged until its outcome is certain. */
import { AbsentVersion, type WriteOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema } from "./journalTypes.js";

interface PendingRecord {
    readonly record: HostRecord;
    /** Whether an attempt ended without an answer; it may still be applied. */
    uncertain: boolean;
    inFlight: boolean;
}

/** Meaning of a write's result. */
export type RecordWriteResult =
    | { readonly status: "acknowledged"; readonly record: HostRecord; }
    /** Another host sealed the record; `record` is what it sealed. */
    | { readonly status: "sealed"; readonly record: HostRecord | undefined; }
    | { readonly status: "unresolved"; };

/** State of the record of one incarnation. */
export class RecordWriter {
    readonly #send: (record: HostRecord, expectedVersion: number) => void;
    readonly #retryMs: number;
    #version = AbsentVersion;
    #acknowledged: HostRecord | undefined;
    #pending: PendingRecord | undefined;
    #notBeforeMs = Number.NEGATIVE_INFINITY;

    constructor(send: (record: HostRecord, expectedVersion: number) => void, retryMs: number) {
        this.#send = send;
        this.#retryMs = retryMs;
    }

    /** @returns The newest acknowledged record. */
    get acknowledgedRecord(): HostRecord | undefined {
        return this.#acknowledged;
    }

    /** @returns Whether a write has no certain outcome yet. */
    get hasPendingWrite(): boolean {
        return this.#pending !== undefined;
    }

    /** @returns Whether a new write may start. */
    canWrite(nowMs: number): boolean {
        return this.#pending === undefined && nowMs >= this.#notBeforeMs;
    }

    /** Limits that may be spent: the lowest of the acknowledged and the pending ones. */
    getLowestLimits(): Map<string, number> {
        const limits = limitsOf(this.#acknowledged);
        if (this.#pending !== undefined) {
            const pending = limitsOf(this.#pending.record);
            for (const [budget, tokens] of limits) {
                limits.set(budget, Math.min(tokens, pending.get(budget) ?? 0));
            }
        }
        return limits;
    }

    /** Limits that the store may hold: the highest of the acknowledged and the pending ones. */
    getHighestLimits(): Map<string, number> {
        const limits = limitsOf(this.#acknowledged);
        for (const [budget, tokens] of limitsOf(this.#pending?.record)) {
            limits.set(budget, Math.max(tokens, limits.get(budget) ?? 0));
        }
        return limits;
    }

    /** Starts a write. */
    write(record: HostRecord): void {
        this.#pending = { record, uncertain: false, inFlight: true };
        this.#send(record, this.#version);
    }

    /** Repeats an unresolved write. */
    retry(nowMs: number): void {
        if (this.#pending !== undefined && !this.#pending.inFlight && nowMs >= this.#notBeforeMs) {
            this.#pending.inFlight = true;
            this.#send(this.#pending.record, this.#version);
        }
    }

    /** Handles the result of a write. */
    handleWriteResult(outcome: WriteOutcome, nowMs: number): RecordWriteResult {
        const pending = this.#pending;
        if (pending === undefined) {
            return { status: "unresolved" };
        }
        pending.inFlight = false;
        if (outcome.status === "applied") {
            return this.#acknowledge(pending.record, outcome.version);
        }
        if (outcome.status === "conflict") {
            const stored = HostRecordSchema.safeParse(outcome.current?.value);
            const own = stored.success && stored.data.state !== "sealed" &&
                stored.data.sequence === pending.record.sequence;
            return own ?
                this.#acknowledge(pending.record, outcome.current!.version) :
                { status: "sealed", record: stored.success ? stored.data : undefined };
        }
        this.#notBeforeMs = nowMs + this.#retryMs;
        pending.uncertain ||= outcome.status === "unknown";
        if (!pending.uncertain) {
            this.#pending = undefined;
        }
        return { status: "unresolved" };
    }

    #acknowledge(record: HostRecord, version: number): RecordWriteResult {
        this.#version = version;
        this.#acknowledged = record;
        this.#pending = undefined;
        return { status: "acknowledged", record };
    }
}

function limitsOf(record: HostRecord | undefined): Map<string, number> {
    return new Map(Object.entries(record?.entries ?? {}).map(([budget, entry]) => [budget, entry.limitTokens]));
}
