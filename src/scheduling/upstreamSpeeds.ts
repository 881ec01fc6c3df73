/** Estimates how fast upstreams produce output, relative to the others of their service. */

/** Shorter intervals, in milliseconds, are pieces of the same event. */
const MinIntervalMs = 1;

/** Number of intervals before which an estimate is not used. */
const MinSamples = 30;

/** Smallest relative change of the estimate by one interval. */
const MinStep = 0.02;

/** Upstreams with known times that a service needs at least; the median of fewer says little about the usual speed. */
const MinKnownUpstreams = 5;

/** Bounds of a relative time; a faulty upstream is avoided by its health, not by its speed. */
const MinRelativeTime = 0.5;
const MaxRelativeTime = 3;

/**
 * Running median of the intervals between the output events of one upstream. A median, unlike a mean, does not depend on the few long
 * intervals during which a prompt was read.
 */
export class EventTimeEstimate {
    #medianMs = 0;
    #sampleCount = 0;

    /** Records the time between two pieces of a stream, in milliseconds. */
    record(intervalMs: number): void {
        if (intervalMs < MinIntervalMs) {
            return;
        }
        this.#sampleCount++;
        if (this.#sampleCount === 1) {
            this.#medianMs = intervalMs;
            return;
        }
        const factor = 1 + Math.max(MinStep, 1 / this.#sampleCount);
        if (intervalMs > this.#medianMs) {
            this.#medianMs *= factor;
        }
        else if (intervalMs < this.#medianMs) {
            this.#medianMs /= factor;
        }
    }

    /** @returns Median interval in milliseconds; `undefined` with too few samples. */
    get medianMs(): number | undefined {
        return this.#sampleCount < MinSamples ? undefined : this.#medianMs;
    }
}

/**
 * @param eventTimesMs Event times of the upstreams of a service, `undefined` where unknown.
 * @returns Function from an event time to its ratio to the median; 1 for an unknown time, or while few times are known.
 */
export function relativeTimes(
    eventTimesMs: readonly (number | undefined)[],
): (eventTimeMs: number | undefined) => number {
    const known = eventTimesMs.filter(timeMs => timeMs !== undefined).sort((left, right) => left - right);
    if (known.length < MinKnownUpstreams) {
        return () => 1;
    }
    const medianMs = known[Math.floor(known.length / 2)]!;
    return eventTimeMs =>
        eventTimeMs === undefined ? 1 : Math.min(MaxRelativeTime, Math.max(MinRelativeTime, eventTimeMs / medianMs));
}
