/** Measurement of the event loop's delay with a periodic timer of the process. */
import { log } from "../base/log.js";

/**
 * Minimum delay that is logged, in milliseconds: a third of the time after which impatient callers of plain requests disconnect.
 */
const MinLoggedDelayMs = 60;

/** Minimum time between two log lines, in milliseconds. */
const MinLogIntervalMs = 1_000;

/** Measures by how much a periodic timer fires late, and logs large delays. */
export class EventLoopMonitor {
    readonly #intervalMs: number;
    readonly #onDelay: (delayMs: number) => void;
    #lastTickMs: number | undefined;
    #latestDelayMs = 0;
    #largestDelayMs = 0;
    #lastLogMs = Number.NEGATIVE_INFINITY;

    /**
     * @param intervalMs Interval of the timer that calls {@link recordTick}, in milliseconds.
     * @param onDelay Called with each measured delay, in milliseconds.
     */
    constructor(intervalMs: number, onDelay: (delayMs: number) => void) {
        this.#intervalMs = intervalMs;
        this.#onDelay = onDelay;
    }

    /** @returns The delay at the latest tick, in milliseconds. */
    get latestDelayMs(): number {
        return this.#latestDelayMs;
    }

    /**
     * @param nowMs Monotonic time, in milliseconds.
     * @returns Maximum time for which an event that is handled now may have waited, in milliseconds.
     */
    maxWaitMs(nowMs: number): number {
        return Math.max(this.#latestDelayMs, this.#lastTickMs === undefined ? 0 : nowMs - this.#lastTickMs);
    }

    /**
     * Records that the timer has fired.
     * @param nowMs Monotonic time, in milliseconds.
     */
    recordTick(nowMs: number): void {
        const delayMs = this.#lastTickMs === undefined ? 0 : Math.max(0, nowMs - this.#lastTickMs - this.#intervalMs);
        this.#lastTickMs = nowMs;
        this.#latestDelayMs = delayMs;
        this.#largestDelayMs = Math.max(this.#largestDelayMs, delayMs);
        this.#onDelay(delayMs);
        if (this.#largestDelayMs >= MinLoggedDelayMs && nowMs - this.#lastLogMs >= MinLogIntervalMs) {
            log.info("event loop behind", {
                largestMs: Math.round(this.#largestDelayMs),
                latestMs: Math.round(delayMs),
            });
            this.#lastLogMs = nowMs;
            this.#largestDelayMs = 0;
        }
    }
}
