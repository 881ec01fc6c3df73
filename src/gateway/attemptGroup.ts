/** The attempts that run for one request at the same time: one, or two when it is hedged. */
import type { Attempt, AttemptListener, AttemptResult } from "./attempt.js";

/** Outcome of an {@link AttemptGroup}. */
export interface AttemptGroupOutcome {
    /** `whole`: a complete response was delivered; `cut`: bytes were delivered, but the response is incomplete. */
    readonly status: "whole" | "cut" | "failed" | "cancelled";
    /** The attempt whose response was delivered, otherwise the one that ended last. */
    readonly attempt: Attempt | undefined;
    readonly result: AttemptResult | undefined;
    /** Whether it is certain that no upstream ran the request. */
    readonly definitelyNotRun: boolean;
}

/** Maximum time for which the first bytes of a hedge are held back; an upstream that breaks off mostly does so at once. */
const HedgeHoldMs = 100;

/** Maximum size of what is held back. */
const MaxHeldBytes = 65_536;

/** Callbacks through which a group starts attempts and delivers the response. */
export interface AttemptGroupDelegate {
    /** Starts an attempt at the given upstream. */
    startAttempt(upstream: string, listener: AttemptListener): Attempt;
    /** @returns Name of another upstream for a hedge; `undefined` if no hedge is admitted. */
    admitHedge(excluded: readonly string[]): Promise<string | undefined>;
    /** Called once, when the first bytes of a response arrive or a response without a body is complete. */
    onWinningAttempt(attempt: Attempt): void;
    /** Called with each chunk of the winning attempt's response. */
    onResponseBytes(attempt: Attempt, bytes: Buffer): void;
}

/**
 * Runs attempts until one has won and ended, or all have failed. The first attempt that delivers bytes wins; the others
 * are cancelled. The first bytes of a hedge are held back for a short time, so that a hedge that breaks off does not end
 * a first attempt that is only late.
 */
export class AttemptGroup implements AttemptListener {
    readonly #delegate: AttemptGroupDelegate;
    readonly #runningAttempts = new Set<Attempt>();
    readonly #triedUpstreams: string[] = [];
    #winner: Attempt | undefined;
    #hedgeTimer: NodeJS.Timeout | undefined;
    #hedgePending = false;
    /** First bytes of a hedge, while the first attempt still runs. */
    #heldHedge: { readonly attempt: Attempt; readonly chunks: Buffer[]; } | undefined;
    #holdTimer: NodeJS.Timeout | undefined;
    #definitelyNotRun = true;
    #lastFailure: { attempt: Attempt; result: AttemptResult; } | undefined;
    #resolve: ((outcome: AttemptGroupOutcome) => void) | undefined;

    constructor(delegate: AttemptGroupDelegate) {
        this.#delegate = delegate;
    }

    /** @returns Names of the upstreams that were tried. */
    get triedUpstreams(): readonly string[] {
        return this.#triedUpstreams;
    }

    /**
     * Starts the first attempt.
     * @param hedgeAfterMs Time without a first byte after which a hedge is requested, in milliseconds; 0 disables it.
     * @returns The outcome, once an attempt has won and ended, all have failed, or the group was cancelled.
     */
    run(upstream: string, hedgeAfterMs: number): Promise<AttemptGroupOutcome> {
        return new Promise(resolve => {
            this.#resolve = resolve;
            if (hedgeAfterMs > 0) {
                this.#hedgeTimer = setTimeout(() => void this.#startHedge(), hedgeAfterMs);
            }
            this.#start(upstream);
        });
    }

    /** Cancels all running attempts and ends the group as `cancelled`. */
    cancel(): void {
        for (const attempt of this.#runningAttempts) {
            this.#definitelyNotRun &&= !attempt.sent;
            attempt.cancel();
        }
        this.#runningAttempts.clear();
        this.#finish({
            status: "cancelled",
            attempt: this.#winner,
            result: undefined,
            definitelyNotRun: this.#definitelyNotRun,
        });
    }

    onResponseBytes(attempt: Attempt, bytes: Buffer | undefined): void {
        if (this.#winner === undefined) {
            if (bytes !== undefined && this.#hold(attempt, bytes)) {
                return;
            }
            // The end of a response comes without bytes, also while its first bytes are held back.
            this.#releaseHedge(attempt);
        }
        if (this.#winner === undefined) {
            this.#selectWinner(attempt);
        }
        if (attempt === this.#winner && bytes !== undefined) {
            this.#delegate.onResponseBytes(attempt, bytes);
        }
    }

    /** @returns Whether the bytes are held back. */
    #hold(attempt: Attempt, bytes: Buffer): boolean {
        const isHedge = attempt.upstream !== this.#triedUpstreams[0];
        if (!isHedge || this.#runningAttempts.size < 2) {
            return false;
        }
        if (this.#heldHedge === undefined) {
            this.#heldHedge = { attempt, chunks: [] };
            this.#holdTimer = setTimeout(() => this.#releaseHedge(), HedgeHoldMs);
        }
        const { chunks } = this.#heldHedge;
        // Copied, because undici passes views of a buffer that it reuses.
        chunks.push(Buffer.from(bytes));
        if (chunks.reduce((sum, chunk) => sum + chunk.length, 0) > MaxHeldBytes) {
            this.#releaseHedge();
        }
        return true;
    }

    /** Delivers the held bytes of a hedge, which wins; of `attempt` only if it is given. */
    #releaseHedge(attempt?: Attempt): void {
        const held = this.#heldHedge;
        if (held !== undefined && (attempt === undefined || attempt === held.attempt)) {
            this.#selectWinner(held.attempt);
            held.chunks.forEach(chunk => this.#delegate.onResponseBytes(held.attempt, chunk));
        }
    }

    onEnd(attempt: Attempt, result: AttemptResult): void {
        this.#runningAttempts.delete(attempt);
        if (attempt === this.#heldHedge?.attempt && result.code !== undefined) {
            this.#dropHeldHedge();
        }
        else {
            // The hedge is complete, or the first attempt has failed.
            this.#releaseHedge();
        }
        this.#definitelyNotRun &&= result.definitelyNotRun;
        if (attempt === this.#winner) {
            const status = result.code === undefined ? "whole" : "cut";
            this.#finish({ status, attempt, result, definitelyNotRun: false });
            return;
        }
        this.#lastFailure = { attempt, result };
        this.#endIfExhausted();
    }

    #start(upstream: string): void {
        this.#triedUpstreams.push(upstream);
        this.#runningAttempts.add(this.#delegate.startAttempt(upstream, this));
    }

    #dropHeldHedge(): void {
        clearTimeout(this.#holdTimer);
        this.#heldHedge = undefined;
    }

    #selectWinner(attempt: Attempt): void {
        this.#winner = attempt;
        clearTimeout(this.#hedgeTimer);
        this.#dropHeldHedge();
        for (const other of this.#runningAttempts) {
            if (other !== attempt) {
                other.cancel();
                this.#runningAttempts.delete(other);
            }
        }
        this.#delegate.onWinningAttempt(attempt);
    }

    async #startHedge(): Promise<void> {
        this.#hedgePending = true;
        const upstream = await this.#delegate.admitHedge(this.#triedUpstreams);
        this.#hedgePending = false;
        if (upstream === undefined) {
            this.#endIfExhausted();
            return;
        }
        this.#start(upstream);
        // The first response may have arrived while the hedge was being admitted. The dispatch is started all the same,
        // so that it is reported, because the admission counted it.
        if (this.#winner !== undefined || this.#resolve === undefined) {
            for (const attempt of this.#runningAttempts) {
                if (attempt !== this.#winner) {
                    attempt.cancel();
                    this.#runningAttempts.delete(attempt);
                }
            }
        }
    }

    #endIfExhausted(): void {
        if (this.#runningAttempts.size === 0 && !this.#hedgePending && this.#winner === undefined) {
            const { attempt, result } = this.#lastFailure ?? { attempt: undefined, result: undefined };
            this.#finish({ status: "failed", attempt, result, definitelyNotRun: this.#definitelyNotRun });
        }
    }

    #finish(outcome: AttemptGroupOutcome): void {
        clearTimeout(this.#hedgeTimer);
        this.#dropHeldHedge();
        const resolve = this.#resolve;
        this.#resolve = undefined;
        resolve?.(outcome);
    }
}
