/** Adaptive concurrency limit of one upstream: additive increase, multiplicative decrease. */

/** Time within which several refusals count as one; they concern requests that were sent under the same limit. */
const DecreaseIntervalMs = 200;

/** Limit on this host's requests in flight at one upstream. */
export class ConcurrencyLimit {
    readonly #decreaseFactor: number;
    #slots: number;
    #limit: number;
    #decreasedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param slots Requests that the upstream runs at the same time; the largest limit.
     * @param decreaseFactor Factor after a refusal.
     */
    constructor(slots: number, decreaseFactor: number) {
        this.#slots = slots;
        this.#limit = slots;
        this.#decreaseFactor = decreaseFactor;
    }

    /** @returns The limit, at least 1. */
    get value(): number {
        return this.#limit;
    }

    /** Follows a changed number of slots. */
    setSlots(slots: number): void {
        if (slots !== this.#slots) {
            this.#limit = Math.max(1, this.#limit * slots / this.#slots);
            this.#slots = slots;
        }
    }

    /** A request completed. */
    recordSuccess(): void {
        this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
    }

    /** The upstream refused a request or did not answer in time. */
    recordOverload(nowMs: number): void {
        if (nowMs - this.#decreasedAtMs >= DecreaseIntervalMs) {
            this.#limit = Math.max(1, this.#limit * this.#decreaseFactor);
            this.#decreasedAtMs = nowMs;
        }
    }
}
