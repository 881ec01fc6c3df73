/** The attempts that run for one request at the same time: one, or two when it is hedged. */
import type { Attempt, AttemptListener, AttemptResult } from "./attempt.js";

/** How a group ended. */
export interface AttemptGroupOutcome {
    /** `cut`: bytes were delivered but the answer is not whole. */
    readonly status: "whole" | "cut" | "failed" | "cancelled";
    /** The attempt that won, otherwise the one that ended last. */
    readonly attempt: Attempt | undefined;
    readonly result: AttemptResult | undefined;
    /** Whether no upstream can have run the request. */
    readonly definitelyNotRun: boolean;
}

/** What a group needs from its owner. */
export interface AttemptGroupDelegate {
    /** Starts a dispatch. */
    startAttempt(upstream: string, listener: AttemptListener): Attempt;
    /** @returns Another upstream for a hedge, if one is allowed. */
    admitHedge(excluded: readonly string[]): Promise<string | undefined>;
    /** The first bytes of the winning answer arrived, or it is whole without a body. */
    onWinningAttempt(attempt: Attempt): void;
    onResponseBytes(attempt: Attempt, bytes: Buffer): void;
}

/** Runs attempts until one has won and ended, or all have failed. */
export class AttemptGroup implements AttemptListener {
    readonly #owner: AttemptGroupDelegate;
    readonly #live = new Set<Attempt>();
    readonly #tried: string[] = [];
    #winner: Attempt | undefined;
    #hedgeTimer: NodeJS.Timeout | undefined;
    #hedgePending = false;
    #notRun = true;
    #lastFailure: { attempt: Attempt; result: AttemptResult; } | undefined;
    #resolve: ((end: AttemptGroupOutcome) => void) | undefined;

    constructor(owner: AttemptGroupDelegate) {
        this.#owner = owner;
    }

    /** @returns Names of the upstreams that were tried. */
    get triedUpstreams(): readonly string[] {
        return this.#tried;
    }

    /**
     * Starts the first attempt.
     * @param hedgeAfterMs Time without a first byte after which a hedge is asked for; 0 never asks.
     */
    run(upstream: string, hedgeAfterMs: number): Promise<AttemptGroupOutcome> {
        return new Promise(resolve => {
            this.#resolve = resolve;
            if (hedgeAfterMs > 0) {
                this.#hedgeTimer = setTimeout(() => void this.#hedge(), hedgeAfterMs);
            }
            this.#start(upstream);
        });
    }

    /** Cancels all attempts. */
    cancel(): void {
        for (const attempt of this.#live) {
            this.#notRun &&= !attempt.sent;
            attempt.cancel();
        }
        this.#live.clear();
        this.#end({ status: "cancelled", attempt: this.#winner, result: undefined, definitelyNotRun: this.#notRun });
    }

    onResponseBytes(attempt: Attempt, bytes: Buffer | undefined): void {
        if (this.#winner === undefined) {
            this.#win(attempt);
        }
        if (attempt === this.#winner && bytes !== undefined) {
            this.#owner.onResponseBytes(attempt, bytes);
        }
    }

    onEnd(attempt: Attempt, result: AttemptResult): void {
        this.#live.delete(attempt);
        this.#notRun &&= result.definitelyNotRun;
        if (attempt === this.#winner) {
            const status = result.code === undefined ? "whole" : "cut";
            this.#end({ status, attempt, result, definitelyNotRun: false });
            return;
        }
        this.#lastFailure = { attempt, result };
        this.#endIfExhausted();
    }

    #start(upstream: string): void {
        this.#tried.push(upstream);
        this.#live.add(this.#owner.startAttempt(upstream, this));
    }

    #win(attempt: Attempt): void {
        this.#winner = attempt;
        clearTimeout(this.#hedgeTimer);
        for (const other of this.#live) {
            if (other !== attempt) {
                other.cancel();
                this.#live.delete(other);
            }
        }
        this.#owner.onWinningAttempt(attempt);
    }

    async #hedge(): Promise<void> {
        this.#hedgePending = true;
        const upstream = await this.#owner.admitHedge(this.#tried);
        this.#hedgePending = false;
        if (upstream === undefined) {
            this.#endIfExhausted();
            return;
        }
        this.#start(upstream);
        // The first answer may have arrived while the hedge was decided. The dispatch is reported all the same,
        // because the admission counted it.
        if (this.#winner !== undefined || this.#resolve === undefined) {
            for (const attempt of this.#live) {
                if (attempt !== this.#winner) {
                    attempt.cancel();
                    this.#live.delete(attempt);
                }
            }
        }
    }

    #endIfExhausted(): void {
        if (this.#live.size === 0 && !this.#hedgePending && this.#winner === undefined) {
            const { attempt, result } = this.#lastFailure ?? { attempt: undefined, result: undefined };
            this.#end({ status: "failed", attempt, result, definitelyNotRun: this.#notRun });
        }
    }

    #end(end: AttemptGroupOutcome): void {
        clearTimeout(this.#hedgeTimer);
        const resolve = this.#resolve;
        this.#resolve = undefined;
        resolve?.(end);
    }
}
