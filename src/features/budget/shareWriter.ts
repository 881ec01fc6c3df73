/** Changes this host's share in one budget object: draws and returns, with lost answers and conflicts. */
import { AbsentVersion, type ReadOutcome, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import { type BudgetObject, BudgetObjectSchema, type HostShare } from "./budgetTypes.js";

/** Store calls of a {@link ShareWriter}. */
export interface ShareWriterDependencies {
    readonly readObject: () => void;
    readonly writeObject: (value: BudgetObject, expectedVersion: number) => void;
    readonly addToCounter: (name: string, amount?: number) => void;
}

interface PendingWrite {
    readonly value: BudgetObject;
    readonly expectedVersion: number;
    readonly share: HostShare;
    readonly previousTokens: number;
    /** Whether an attempt ended without an answer; it may still be applied. */
    uncertain: boolean;
    inFlight: boolean;
}

/** Sequences of the newest host record that was sent, and of the newest that was acknowledged. */
export interface RecordSequences {
    readonly sentSequence: number;
    readonly acknowledgedSequence: number;
}

/** Decides the next granted amount from the newest known object; `undefined` leaves the share as it is. */
export type SharePlanner = (object: BudgetObject) => number | undefined;

/** State machine of one budget's share of one host incarnation. */
export class ShareWriter {
    readonly #hostKey: string;
    readonly #calls: ShareWriterDependencies;
    readonly #retryMs: number;
    #share: HostShare = { grantedTokens: 0, sequence: 0 };
    #pending: PendingWrite | undefined;
    #known: { object: BudgetObject; version: number; readMs: number; } | undefined;
    #reading = false;
    #readAskedMs = Number.NEGATIVE_INFINITY;
    #notBeforeMs = Number.NEGATIVE_INFINITY;
    #absentMs: number | undefined;
    /** Record sequence whose acknowledgement shows that this incarnation was not sealed. */
    #verifyAfterSequence: number | undefined;
    #failing = false;

    constructor(hostKey: string, calls: ShareWriterDependencies, retryMs: number) {
        this.#hostKey = hostKey;
        this.#calls = calls;
        this.#retryMs = retryMs;
    }

    /** @returns G: the lowest of the acknowledged amount and one that may be applied later. */
    get grantedTokens(): number {
        return Math.min(this.#share.grantedTokens, this.#pending?.share.grantedTokens ?? Number.POSITIVE_INFINITY);
    }

    /** @returns Whether the object holds an acknowledged share of this host. */
    get hasShare(): boolean {
        return this.#share.sequence > 0;
    }

    /** @returns Whether a write has no certain outcome yet. */
    get hasPendingWrite(): boolean {
        return this.#pending !== undefined;
    }

    /** @returns Tokens of a draw that is being written. */
    get pendingDrawTokens(): number {
        return Math.max(0, (this.#pending?.share.grantedTokens ?? 0) - this.#share.grantedTokens);
    }

    /** @returns Whether the last store call failed. */
    get lastCallFailed(): boolean {
        return this.#failing;
    }

    /** @returns The newest known object, and when the call that showed it was started. */
    get latestObject():
        | { readonly object: BudgetObject; readonly version: number; readonly readMs: number; }
        | undefined {
        return this.#known;
    }

    /** @returns When the object was last seen to be absent. */
    get lastAbsentAtMs(): number | undefined {
        return this.#absentMs;
    }

    /** @returns Whether the next draw waits for proof that this incarnation is not sealed. */
    get needsSealCheck(): boolean {
        return this.#verifyAfterSequence !== undefined;
    }

    /** Reads the object unless it was read after the given time. */
    refresh(sinceMs: number, nowMs: number): void {
        const fresh = this.#known !== undefined && this.#known.readMs >= sinceMs;
        if (fresh || this.#reading || nowMs < this.#notBeforeMs) {
            return;
        }
        this.#reading = true;
        this.#readAskedMs = nowMs;
        this.#calls.readObject();
    }

    /**
     * Repeats an unresolved write, or starts the write that the plan asks for.
     * @param record Sequences of the newest host records.
     */
    writeIfNeeded(plan: SharePlanner, record: RecordSequences, nowMs: number): void {
        if (this.#verifyAfterSequence !== undefined && record.acknowledgedSequence > this.#verifyAfterSequence) {
            this.#verifyAfterSequence = undefined;
        }
        if (nowMs < this.#notBeforeMs) {
            return;
        }
        if (this.#pending !== undefined) {
            this.#send(this.#pending);
            return;
        }
        if (this.#verifyAfterSequence !== undefined || this.#known === undefined) {
            return;
        }
        const { object, version } = this.#known;
        if (this.hasShare && object.shares[this.#hostKey] === undefined) {
            this.#demandProof(record.sentSequence);
            return;
        }
        const granted = plan(object);
        if (granted === undefined || (granted === this.#share.grantedTokens && this.hasShare)) {
            return;
        }
        const share: HostShare = { grantedTokens: granted, sequence: this.#share.sequence + 1 };
        this.#pending = {
            value: { ...object, shares: { ...object.shares, [this.#hostKey]: share } },
            expectedVersion: version,
            share,
            previousTokens: this.#share.grantedTokens,
            uncertain: false,
            inFlight: false,
        };
        this.#send(this.#pending);
    }

    /** Handles the result of a read. */
    handleReadResult(outcome: ReadOutcome, nowMs: number): void {
        this.#reading = false;
        this.#failing = outcome.status === "unavailable";
        if (outcome.status === "found") {
            this.#adopt(outcome.object, this.#readAskedMs);
        }
        else {
            this.#notBeforeMs = nowMs + this.#retryMs;
            this.#absentMs = outcome.status === "absent" ? nowMs : this.#absentMs;
        }
    }

    /**
     * Handles the result of a write.
     * @param recordSequence Sequence of the newest host record that was sent.
     */
    handleWriteResult(outcome: WriteOutcome, recordSequence: number, nowMs: number): void {
        const pending = this.#pending;
        if (pending === undefined) {
            return;
        }
        pending.inFlight = false;
        this.#failing = outcome.status === "refused" || outcome.status === "unknown";
        if (outcome.status === "applied") {
            this.#known = { object: pending.value, version: outcome.version, readMs: nowMs };
            this.#acknowledge(pending);
        }
        else if (outcome.status === "conflict") {
            this.#pending = undefined;
            this.#resolveConflict(pending, outcome.current, recordSequence, nowMs);
        }
        else {
            this.#notBeforeMs = nowMs + this.#retryMs;
            pending.uncertain ||= outcome.status === "unknown";
            if (!pending.uncertain) {
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
        this.#known = undefined;
        if (current !== undefined) {
            this.#adopt(current, nowMs);
        }
        const share = (this.#known as { object: BudgetObject; } | undefined)?.object.shares[this.#hostKey];
        if (share !== undefined && share.sequence >= pending.share.sequence) {
            this.#calls.addToCounter("budget.write.appliedUnseen");
            this.#acknowledge(pending);
        }
        else if (share === undefined && (this.hasShare || pending.uncertain)) {
            this.#demandProof(recordSequence);
        }
        else {
            this.#calls.addToCounter("budget.write.conflict");
        }
    }

    /**
     * Stops draws: someone may have folded this incarnation's share after a seal, and a new share would be folded a
     * second time. An acknowledged record that was sent later proves that there was no seal.
     */
    #demandProof(sentSequence: number): void {
        this.#verifyAfterSequence = sentSequence;
        this.#known = undefined;
        this.#calls.addToCounter("budget.share.missing");
    }

    #acknowledge(pending: PendingWrite): void {
        this.#share = pending.share;
        this.#pending = undefined;
        const change = pending.share.grantedTokens - pending.previousTokens;
        this.#calls.addToCounter(change >= 0 ? "budget.drawn.tokens" : "budget.returned.tokens", Math.abs(change));
        this.#calls.addToCounter(change >= 0 ? "budget.draws" : "budget.returns");
    }

    #adopt(stored: StoredObject, readMs: number): void {
        const parsed = BudgetObjectSchema.safeParse(stored.value);
        if (!parsed.success) {
            this.#calls.addToCounter("budget.object.invalid");
            return;
        }
        if (stored.version > AbsentVersion && stored.version >= (this.#known?.version ?? AbsentVersion)) {
            this.#known = { object: parsed.data, version: stored.version, readMs };
        }
    }

    #send(pending: PendingWrite): void {
        if (!pending.inFlight) {
            pending.inFlight = true;
            this.#calls.writeObject(pending.value, pending.expectedVersion);
        }
    }
}
