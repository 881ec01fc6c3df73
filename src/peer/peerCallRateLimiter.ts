/** Token buckets that bound the calls of each peer. */

/** Largest number of senders that are tracked. */
const MaxSenders = 2_048;

interface Bucket {
    tokens: number;
    updatedMs: number;
}

/** Limits the calls of each sender to a rate, with a burst of one second. */
export class PeerCallRateLimiter {
    readonly #maxCallsPerS: number;
    readonly #buckets = new Map<string, Bucket>();

    constructor(maxCallsPerS: number) {
        this.#maxCallsPerS = maxCallsPerS;
    }

    /** @returns Whether the sender may make a call now; counts the call when it may. */
    accept(sender: string, nowMs: number): boolean {
        const known = this.#buckets.get(sender) ?? { tokens: this.#maxCallsPerS, updatedMs: nowMs };
        const refill = (nowMs - known.updatedMs) * this.#maxCallsPerS / 1_000;
        const tokens = Math.min(this.#maxCallsPerS, known.tokens + refill);
        const isAccepted = tokens >= 1;
        // Writing the entry anew keeps the map in the order of use, so that the first entry is the least used one.
        this.#buckets.delete(sender);
        this.#buckets.set(sender, { tokens: isAccepted ? tokens - 1 : tokens, updatedMs: nowMs });
        if (this.#buckets.size > MaxSenders) {
            this.#buckets.delete(this.#buckets.keys().next().value!);
        }
        return isAccepted;
    }
}
