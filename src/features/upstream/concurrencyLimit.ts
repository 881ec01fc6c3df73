/** Adaptive concurrency limit of one upstream, with additive increase and multiplicative decrease. */

/** Time within which several overload signals count as one, because their requests were sent under the same limit. */
const DecreaseIntervalMs = 200;

/** Limits the requests that this host has in flight at one upstream; between 1 and the slots of the upstream. */
export class ConcurrencyLimit {
    readonly #decreaseFactor: number;
    #slots: number;
    #limit: number;
    #decreasedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param slots Number of requests that the upstream can run at the same time; initial and maximum limit.
     * @param decreaseFactor Factor on the limit after an overload signal; between 0 and 1.
     */
    constructor(slots: number, decreaseFactor: number) {
        this.#slots = slots;
        this.#limit = slots;
        this.#decreaseFactor = decreaseFactor;
    }

    /** @returns The limit, at least 1; may be fractional. */
    get value(): number {
        return this.#limit;
    }

    /** Sets the number of slots and scales the limit in proportion. */
    setSlots(slots: number): void {
        if (slots !== this.#slots) {
            this.#limit = Math.max(1, this.#limit * slots / this.#slots);
            this.#slots = slots;
        }
    }

    /** Records a completed request; raises the limit by 1 / limit, up to the slots. */
    recordSuccess(): void {
        this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
    }

    /** Records that the upstream refused a request or did not respond in time; lowers the limit. */
    recordOverload(nowMs: number): void {
        if (nowMs - this.#decreasedAtMs >= DecreaseIntervalMs) {
            this.#limit = Math.max(1, this.#limit * this.#decreaseFactor);
            this.#decreasedAtMs = nowMs;
        }
    }
}
