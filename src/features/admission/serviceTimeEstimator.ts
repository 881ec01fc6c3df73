/** Estimates how long requests hold a slot and how long a waiting request waits for one. */

/** Weight of a new sample in the moving mean. */
const SampleWeight = 0.1;
/** Durations assumed before the first measurement. */
const InitialDurationMs = { short: 300, long: 3_000 } as const;

/** Moving means of the durations of short and long requests in one pool. */
export class ServiceTimeEstimator {
    #shortMs: number = InitialDurationMs.short;
    #longMs: number = InitialDurationMs.long;

    /** Adds the duration of a completed request, in milliseconds. */
    recordDuration(long: boolean, durationMs: number): void {
        if (long) {
            this.#longMs += (durationMs - this.#longMs) * SampleWeight;
        }
        else {
            this.#shortMs += (durationMs - this.#shortMs) * SampleWeight;
        }
    }

    /** @returns Mean duration in milliseconds. */
    meanMs(long: boolean): number {
        return long ? this.#longMs : this.#shortMs;
    }

    /**
     * Estimates the wait of a request. On average, half a service time passes until a running request frees its slot.
     * @param requestsAhead Number of requests that are served before.
     * @param slots Slots that serve these requests; may be a fraction.
     * @returns Expected wait in milliseconds; infinite without slots.
     */
    estimateWaitMs(long: boolean, requestsAhead: number, slots: number): number {
        return slots <= 0 ? Number.POSITIVE_INFINITY : (requestsAhead + 0.5) * this.meanMs(long) / slots;
    }
}
