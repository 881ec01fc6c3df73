/** Times at which refused requests may come back, spread by the rate at which they can be served. */
import type { Clock } from "../../base/clock.js";

/** Maximum number of queues; far more than there are services with priorities. */
const MaxQueues = 1_000;

const MsPerS = 1_000;

/** One virtual queue for each key. A request whose turn is later than callers wait does not join it. */
export class ReturnSchedule {
    readonly #clock: Clock;
    /** Monotonic time at which the last request of each queue is served, in milliseconds. */
    readonly #lastTurnsMs = new Map<string, number>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a request to a queue.
     * @param requestsPerS Rate at which the queue is served.
     * @returns Time until the request's turn, in milliseconds, at most `maxMs`.
     */
    add(key: string, requestsPerS: number, maxMs: number): number {
        const nowMs = this.#clock.monotonicMs();
        const intervalMs = requestsPerS > 0 ? MsPerS / requestsPerS : Number.POSITIVE_INFINITY;
        const turnMs = Math.max(nowMs, this.#lastTurnsMs.get(key) ?? nowMs) + intervalMs;
        if (turnMs - nowMs > maxMs) {
            return maxMs;
        }
        if (this.#lastTurnsMs.size >= MaxQueues) {
            this.#lastTurnsMs.clear();
        }
        this.#lastTurnsMs.set(key, turnMs);
        return turnMs - nowMs;
    }
}
