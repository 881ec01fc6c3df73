/** Decides whether a host that stops begins a request, or sends one to an upstream. */
import type { Clock } from "../../base/clock.js";
import type { ExpectedWork, RequestDurations } from "./requestDurations.js";

/** A request that a host that stops may begin, or send once more. */
export interface StopRequest extends ExpectedWork {
    /** Whether the request may run again elsewhere if this host does not complete it. */
    readonly isRepeatable: boolean;
    /** Time until the deadline or the route's time-out, in milliseconds. */
    readonly timeLimitMs: number;
}

/** Why a host that stops does not begin a request. */
export interface StopRefusal {
    /** Time that the request may need. */
    readonly neededMs: number;
    /** Time until requests must have ended. */
    readonly remainingMs: number;
    /** Whether the time needed is an estimate; otherwise it is the time limit of the request. */
    readonly isEstimated: boolean;
}

/**
 * The rule for all work that a host begins after the signal to stop: a request is begun only if it can end before the host ends its
 * requests. A request that may run only once must fit with its time limit, as its caller could not repeat it; a repeatable one with
 * the estimate of its duration.
 */
export class StopAdmission {
    readonly #clock: Clock;
    readonly #durations: RequestDurations;
    #requestsEndAtMs: number | undefined;

    constructor(clock: Clock, durations: RequestDurations) {
        this.#clock = clock;
        this.#durations = durations;
    }

    /** @returns Monotonic time by which requests must end, in milliseconds; `undefined` while the host does not stop. */
    get requestsEndAtMs(): number | undefined {
        return this.#requestsEndAtMs;
    }

    /**
     * Lets requests begin only if they can end by a monotonic time in milliseconds. A later call can only shorten the time: requests
     * that were refused do not come back, and those begun by a longer time are cut either way.
     */
    limit(requestsEndAtMs: number): void {
        this.#requestsEndAtMs = Math.min(requestsEndAtMs, this.#requestsEndAtMs ?? requestsEndAtMs);
    }

    /** @returns Why the request is not begun; `undefined` if it may begin. */
    findRefusal(request: StopRequest): StopRefusal | undefined {
        if (this.#requestsEndAtMs === undefined) {
            return undefined;
        }
        const remainingMs = this.#requestsEndAtMs - this.#clock.monotonicMs();
        const { timeLimitMs } = request;
        if (timeLimitMs <= remainingMs) {
            return undefined;
        }
        const estimateMs = request.isRepeatable ? this.#durations.estimateMs(request) : undefined;
        const neededMs = Math.min(timeLimitMs, estimateMs ?? timeLimitMs);
        return neededMs <= remainingMs ? undefined : { neededMs, remainingMs, isEstimated: neededMs < timeLimitMs };
    }
}
