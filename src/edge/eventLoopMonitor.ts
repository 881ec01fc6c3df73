/** How far the event loop is behind, measured by a periodic timer of the process. */
import { log } from "../base/log.js";

/** Delay from which it is logged, in milliseconds: a third of the time after which impatient callers of plain requests leave. */
const LoggedDelayMs = 60;

/** Shortest time between two log lines, in milliseconds. */
const LogSpacingMs = 1_000;

/** Measures the delay of the event loop. */
export class EventLoopMonitor {
    readonly #intervalMs: number;
    readonly #record: (delayMs: number) => void;
    #lastMs: number | undefined;
    #latestMs = 0;
    #largestMs = 0;
    #loggedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param intervalMs Interval of the timer that calls {@link recordTick}, in milliseconds.
     * @param record Called with each delay, in milliseconds.
     */
    constructor(intervalMs: number, record: (delayMs: number) => void) {
        this.#intervalMs = intervalMs;
        this.#record = record;
    }

    /** @returns The newest delay, in milliseconds. */
    get latestDelayMs(): number {
        return this.#latestMs;
    }

    /** Takes over a turn of the timer. */
    recordTick(nowMs: number): void {
        const delayMs = this.#lastMs === undefined ? 0 : Math.max(0, nowMs - this.#lastMs - this.#intervalMs);
        this.#lastMs = nowMs;
        this.#latestMs = delayMs;
        this.#largestMs = Math.max(this.#largestMs, delayMs);
        this.#record(delayMs);
        if (this.#largestMs >= LoggedDelayMs && nowMs - this.#loggedMs >= LogSpacingMs) {
            log.info("event loop behind", { largestMs: Math.round(this.#largestMs), latestMs: Math.round(delayMs) });
            this.#loggedMs = nowMs;
            this.#largestMs = 0;
        }
    }
}
