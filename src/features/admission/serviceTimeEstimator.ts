/** Mean time that requests hold a slot, and the waits that follow from it. */

/** Weight of a new sample in the mean. */
const SampleWeight = 0.1;
/** Assumed before anything was measured. */
const InitialDurationMs = { short: 300, long: 3_000 } as const;

/** Mean durations of one pool. */
export class ServiceTimeEstimator {
    #shortMs: number = InitialDurationMs.short;
    #longMs: number = InitialDurationMs.long;

    /** Adds the duration of a completed request. */
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
     * @param ahead Requests that are served before.
     * @param slots Slots that serve them; may be a fraction.
     * @returns Expected wait; half a service time per slot passes before the first slot is free.
     */
    estimateWaitMs(long: boolean, ahead: number, slots: number): number {
        return slots <= 0 ? Number.POSITIVE_INFINITY : (ahead + 0.5) * this.meanMs(long) / slots;
    }
}
