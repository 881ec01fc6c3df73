/** Writes the host record of one incarnation: one write at a time, repeated unchanged until its outcome is certain. */
import { AbsentVersion, type WriteOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema } from "./journalTypes.js";

/** A write whose outcome is not certain yet. */
interface PendingWrite {
    readonly record: HostRecord;
    /** Whether an attempt ended without a result; it may still be applied. */
    isUncertain: boolean;
    inFlight: boolean;
}

/** What the result of a write means for the incarnation. */
export type RecordWriteResult =
    /** The store contains the record. */
    | { readonly status: "acknowledged"; readonly record: HostRecord; }
    /** Another host sealed the record; `record` is the sealed one, `undefined` when it cannot be read. */
    | { readonly status: "sealed"; readonly record: HostRecord | undefined; }
    /** The write failed or its outcome is not known. */
    | { readonly status: "unresolved"; };

/** Writes the record of one incarnation and keeps the limits that its writes declare. */
export class RecordWriter {
    readonly #send: (record: HostRecord, expectedVersion: number) => void;
    readonly #retryMs: number;
    #version = AbsentVersion;
    #acknowledgedRecord: HostRecord | undefined;
    #pendingWrite: PendingWrite | undefined;
    /** Earliest monotonic time of the next write in milliseconds. */
    #notBeforeMs = Number.NEGATIVE_INFINITY;

    constructor(send: (record: HostRecord, expectedVersion: number) => void, retryMs: number) {
        this.#send = send;
        this.#retryMs = retryMs;
    }

    /** @returns The newest acknowledged record. */
    get acknowledgedRecord(): HostRecord | undefined {
        return this.#acknowledgedRecord;
    }

    /** @returns Whether a write has no certain outcome yet. */
    get hasPendingWrite(): boolean {
        return this.#pendingWrite !== undefined;
    }

    /** @returns Whether a new write may start. */
    canWrite(nowMs: number): boolean {
        return this.#pendingWrite === undefined && nowMs >= this.#notBeforeMs;
    }

    /** @returns Limits that may be spent by budget, in tokens: the lower of the acknowledged and the pending one. */
    getLowestLimits(): Map<string, number> {
        const limits = extractLimits(this.#acknowledgedRecord);
        if (this.#pendingWrite !== undefined) {
            const pending = extractLimits(this.#pendingWrite.record);
            for (const [budget, tokens] of limits) {
                limits.set(budget, Math.min(tokens, pending.get(budget) ?? 0));
            }
        }
        return limits;
    }

    /** @returns Limits that the store may contain by budget, in tokens: the higher of the acknowledged and the pending one. */
    getHighestLimits(): Map<string, number> {
        const limits = extractLimits(this.#acknowledgedRecord);
        for (const [budget, tokens] of extractLimits(this.#pendingWrite?.record)) {
            limits.set(budget, Math.max(tokens, limits.get(budget) ?? 0));
        }
        return limits;
    }

    /** Starts a write. Must be called only when {@link canWrite} returns true. */
    write(record: HostRecord): void {
        this.#pendingWrite = { record, isUncertain: false, inFlight: true };
        this.#send(record, this.#version);
    }

    /** Repeats the pending write when its last attempt has ended and the delay has passed. */
    retry(nowMs: number): void {
        if (this.#pendingWrite !== undefined && !this.#pendingWrite.inFlight && nowMs >= this.#notBeforeMs) {
            this.#pendingWrite.inFlight = true;
            this.#send(this.#pendingWrite.record, this.#version);
        }
    }

    /** Handles the result of a write. */
    handleWriteResult(outcome: WriteOutcome, nowMs: number): RecordWriteResult {
        const pending = this.#pendingWrite;
        if (pending === undefined) {
            return { status: "unresolved" };
        }
        pending.inFlight = false;
        if (outcome.status === "applied") {
            return this.#acknowledge(pending.record, outcome.version);
        }
        if (outcome.status === "conflict") {
            const stored = HostRecordSchema.safeParse(outcome.current?.value);
            const isOwnWrite = stored.success && stored.data.state !== "sealed" &&
                stored.data.sequence === pending.record.sequence;
            return isOwnWrite ?
                this.#acknowledge(pending.record, outcome.current!.version) :
                { status: "sealed", record: stored.success ? stored.data : undefined };
        }
        this.#notBeforeMs = nowMs + this.#retryMs;
        pending.isUncertain ||= outcome.status === "unknown";
        if (!pending.isUncertain) {
            this.#pendingWrite = undefined;
        }
        return { status: "unresolved" };
    }

    #acknowledge(record: HostRecord, version: number): RecordWriteResult {
        this.#version = version;
        this.#acknowledgedRecord = record;
        this.#pendingWrite = undefined;
        return { status: "acknowledged", record };
    }
}

function extractLimits(record: HostRecord | undefined): Map<string, number> {
    return new Map(Object.entries(record?.entries ?? {}).map(([budget, entry]) => [budget, entry.limitTokens]));
}
