/** Writes draws and returns of this host's share to one budget object; handles lost results and conflicts. */
import { AbsentVersion, type ReadOutcome, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import { type BudgetObject, BudgetObjectSchema, type HostShare } from "./budgetTypes.js";

/** Store calls and counters that a {@link ShareWriter} uses. */
export interface ShareWriterDependencies {
    readonly readObject: () => void;
    readonly writeObject: (value: BudgetObject, expectedVersion: number) => void;
    readonly addToCounter: (name: string, amount?: number) => void;
}

interface PendingWrite {
    readonly value: BudgetObject;
    readonly expectedVersion: number;
    readonly share: HostShare;
    readonly previousGrantedTokens: number;
    /** Whether an attempt ended without a result; it may still be applied. */
    isUncertain: boolean;
    isInFlight: boolean;
}

/** Sequence numbers of the newest host record that was sent, and of the newest one that was acknowledged. */
export interface RecordSequences {
    readonly sentSequence: number;
    readonly acknowledgedSequence: number;
}

/** Computes the next granted amount from the newest known object; `undefined` leaves the share unchanged. */
export type SharePlanner = (object: BudgetObject) => number | undefined;

/**
 * State machine that changes the share of one host incarnation in one budget object. A write with an unknown result is
 * repeated unchanged until its outcome is known.
 */
export class ShareWriter {
    readonly #hostKey: string;
    readonly #dependencies: ShareWriterDependencies;
    readonly #retryMs: number;
    #share: HostShare = { grantedTokens: 0, sequence: 0 };
    #pending: PendingWrite | undefined;
    #latest: { object: BudgetObject; version: number; readAtMs: number; } | undefined;
    #isReading = false;
    #readStartedAtMs = Number.NEGATIVE_INFINITY;
    #nextCallAtMs = Number.NEGATIVE_INFINITY;
    #lastAbsentAtMs: number | undefined;
    /** The acknowledgement of a record with a higher sequence number proves that this incarnation was not sealed. */
    #verifyAfterSequence: number | undefined;
    #lastCallFailed = false;

    /** @param retryMs Delay before the next call after a failed one, in milliseconds. */
    constructor(hostKey: string, dependencies: ShareWriterDependencies, retryMs: number) {
        this.#hostKey = hostKey;
        this.#dependencies = dependencies;
        this.#retryMs = retryMs;
    }

    /** @returns G: the smaller of the acknowledged amount and the amount of a pending write. */
    get grantedTokens(): number {
        return Math.min(this.#share.grantedTokens, this.#pending?.share.grantedTokens ?? Number.POSITIVE_INFINITY);
    }

    /** @returns Whether the object holds an acknowledged share of this host. */
    get hasShare(): boolean {
        return this.#share.sequence > 0;
    }

    /** @returns Whether a write is pending: its outcome is not certain yet. */
    get hasPendingWrite(): boolean {
        return this.#pending !== undefined;
    }

    /** @returns Tokens of a draw whose write is pending; 0 when there is none. */
    get pendingDrawTokens(): number {
        return Math.max(0, (this.#pending?.share.grantedTokens ?? 0) - this.#share.grantedTokens);
    }

    /** @returns Whether the last store call failed. */
    get lastCallFailed(): boolean {
        return this.#lastCallFailed;
    }

    /** @returns The newest known object, and the start time of the call that read it or the time of the write result. */
    get latestObject():
        | { readonly object: BudgetObject; readonly version: number; readonly readAtMs: number; }
        | undefined {
        return this.#latest;
    }

    /** @returns Monotonic time at which the object was last found to be absent. */
    get lastAbsentAtMs(): number | undefined {
        return this.#lastAbsentAtMs;
    }

    /** @returns Whether new writes wait for proof that this incarnation was not sealed. */
    get needsSealCheck(): boolean {
        return this.#verifyAfterSequence !== undefined;
    }

    /** Reads the object, unless the newest known one was read at or after the given time. */
    refresh(sinceMs: number, nowMs: number): void {
        const isFresh = this.#latest !== undefined && this.#latest.readAtMs >= sinceMs;
        if (isFresh || this.#isReading || nowMs < this.#nextCallAtMs) {
            return;
        }
        this.#isReading = true;
        this.#readStartedAtMs = nowMs;
        this.#dependencies.readObject();
    }

    /**
     * Repeats a pending write, or starts the write that the plan requires.
     * @param record Sequence numbers of the newest host records.
     */
    writeIfNeeded(plan: SharePlanner, record: RecordSequences, nowMs: number): void {
        if (this.#verifyAfterSequence !== undefined && record.acknowledgedSequence > this.#verifyAfterSequence) {
            this.#verifyAfterSequence = undefined;
        }
        if (nowMs < this.#nextCallAtMs) {
            return;
        }
        if (this.#pending !== undefined) {
            this.#send(this.#pending);
            return;
        }
        if (this.#verifyAfterSequence !== undefined || this.#latest === undefined) {
            return;
        }
        const { object, version } = this.#latest;
        if (this.hasShare && object.shares[this.#hostKey] === undefined) {
            this.#requireSealCheck(record.sentSequence);
            return;
        }
        const plannedTokens = plan(object);
        if (plannedTokens === undefined || (plannedTokens === this.#share.grantedTokens && this.hasShare)) {
            return;
        }
        const share: HostShare = { grantedTokens: plannedTokens, sequence: this.#share.sequence + 1 };
        this.#pending = {
            value: { ...object, shares: { ...object.shares, [this.#hostKey]: share } },
            expectedVersion: version,
            share,
            previousGrantedTokens: this.#share.grantedTokens,
            isUncertain: false,
            isInFlight: false,
        };
        this.#send(this.#pending);
    }

    /** Handles the result of a read. */
    handleReadResult(outcome: ReadOutcome, nowMs: number): void {
        this.#isReading = false;
        this.#lastCallFailed = outcome.status === "unavailable";
        if (outcome.status === "found") {
            this.#updateLatest(outcome.object, this.#readStartedAtMs);
        }
        else {
            this.#nextCallAtMs = nowMs + this.#retryMs;
            this.#lastAbsentAtMs = outcome.status === "absent" ? nowMs : this.#lastAbsentAtMs;
        }
    }

    /**
     * Handles the result of a write.
     * @param recordSequence Sequence number of the newest host record that was sent.
     */
    handleWriteResult(outcome: WriteOutcome, recordSequence: number, nowMs: number): void {
        const pending = this.#pending;
        if (pending === undefined) {
            return;
        }
        pending.isInFlight = false;
        this.#lastCallFailed = outcome.status === "refused" || outcome.status === "unknown";
        if (outcome.status === "applied") {
            this.#latest = { object: pending.value, version: outcome.version, readAtMs: nowMs };
            this.#acknowledge(pending);
        }
        else if (outcome.status === "conflict") {
            this.#pending = undefined;
            this.#resolveConflict(pending, outcome.current, recordSequence, nowMs);
        }
        else {
            this.#nextCallAtMs = nowMs + this.#retryMs;
            pending.isUncertain ||= outcome.status === "unknown";
            if (!pending.isUncertain) {
                this.#pending = undefined;
            }
        }
    }

    #resolveConflict(
        pending: PendingWrite,
        current: StoredObject | undefined,
        recordSequence: number,
        nowMs: number,
    ): void {
        this.#latest = undefined;
        if (current !== undefined) {
            this.#updateLatest(current, nowMs);
        }
        const share = (this.#latest as { object: BudgetObject; } | undefined)?.object.shares[this.#hostKey];
        if (share !== undefined && share.sequence >= pending.share.sequence) {
            this.#dependencies.addToCounter("budget.write.appliedUnseen");
            this.#acknowledge(pending);
        }
        else if (share === undefined && (this.hasShare || pending.isUncertain)) {
            this.#requireSealCheck(recordSequence);
        }
        else {
            this.#dependencies.addToCounter("budget.write.conflict");
        }
    }

    /**
     * Stops new writes because the share is missing from the object: another host may have sealed this incarnation and folded
     * its share, and a new share would be folded a second time. The acknowledgement of a record that is sent later proves
     * that the incarnation was not sealed.
     */
    #requireSealCheck(sentSequence: number): void {
        this.#verifyAfterSequence = sentSequence;
        this.#latest = undefined;
        this.#dependencies.addToCounter("budget.share.missing");
    }

    #acknowledge(pending: PendingWrite): void {
        this.#share = pending.share;
        this.#pending = undefined;
        const change = pending.share.grantedTokens - pending.previousGrantedTokens;
        this.#dependencies.addToCounter(
            change >= 0 ? "budget.drawn.tokens" : "budget.returned.tokens",
            Math.abs(change),
        );
        this.#dependencies.addToCounter(change >= 0 ? "budget.draws" : "budget.returns");
    }

    #updateLatest(stored: StoredObject, readAtMs: number): void {
        const parsed = BudgetObjectSchema.safeParse(stored.value);
        if (!parsed.success) {
            this.#dependencies.addToCounter("budget.object.invalid");
            return;
        }
        if (stored.version > AbsentVersion && stored.version >= (this.#latest?.version ?? AbsentVersion)) {
            this.#latest = { object: parsed.data, version: stored.version, readAtMs };
        }
    }

    #send(pending: PendingWrite): void {
        if (!pending.isInFlight) {
            pending.isInFlight = true;
            this.#dependencies.writeObject(pending.value, pending.expectedVersion);
        }
    }
}
