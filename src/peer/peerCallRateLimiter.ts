/** Token buckets that limit the call rate of each peer. */

/** Maximum number of senders that are tracked. */
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

    /** @returns Whether the sender may make a call now. An accepted call is counted. */
    accept(sender: string, nowMs: number): boolean {
        const known = this.#buckets.get(sender) ?? { tokens: this.#maxCallsPerS, updatedMs: nowMs };
        const refill = (nowMs - known.updatedMs) * this.#maxCallsPerS / 1_000;
        const tokens = Math.min(this.#maxCallsPerS, known.tokens + refill);
        const isAccepted = tokens >= 1;
        // Inserting the entry again keeps the map in order of use, so that its first entry is the least recently used one.
        this.#buckets.delete(sender);
        this.#buckets.set(sender, { tokens: isAccepted ? tokens - 1 : tokens, updatedMs: nowMs });
        if (this.#buckets.size > MaxSenders) {
            this.#buckets.delete(this.#buckets.keys().next().value!);
        }
        return isAccepted;
    }
}
