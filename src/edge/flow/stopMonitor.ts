/** Records what a stop of the process does to requests. */
import type { Counters } from "../../base/counters.js";
import { EdgeCounterNames } from "../metrics.js";

/** A request that a stop affects. */
export interface AffectedRequest {
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    /** Time that the request was expected to need, in milliseconds; `undefined` when unknown. */
    readonly neededMs: number | undefined;
    /** Time that remained for it until requests must have ended, in milliseconds; `undefined` when there was no limit. */
    readonly remainingMs: number | undefined;
}

/** Fields that the log line about an affected request has in addition; times in whole milliseconds. */
export interface StopLogFields {
    /** Time from the earliest moment of the signal to the arrival of the request; negative for an earlier request. */
    readonly arrivedAfterStopMs: number | undefined;
    readonly neededMs: number | undefined;
    readonly remainingMs: number | undefined;
}

/** Counts the requests that the stop refuses and cuts, and describes each for its log line. */
export class StopMonitor {
    readonly #counters: Counters;
    #startedAtMs: number | undefined;
    #refusedCount = 0;
    #cutCount = 0;

    constructor(counters: Counters) {
        this.#counters = counters;
    }

    /** @returns Number of requests that were refused because of the stop. */
    get refusedCount(): number {
        return this.#refusedCount;
    }

    /** @returns Number of requests that were sent to an upstream and had not ended at the end of the stop. */
    get cutCount(): number {
        return this.#cutCount;
    }

    /** @param startedAtMs Earliest monotonic time at which the signal may have been sent, in milliseconds. */
    start(startedAtMs: number): void {
        this.#startedAtMs = startedAtMs;
    }

    /** @returns Fields for the log line about a request that is refused because of the stop and has not run. */
    recordRefused(request: AffectedRequest): StopLogFields {
        this.#refusedCount++;
        this.#counters.add(EdgeCounterNames.requestsRefusedByStop);
        return this.describe(request);
    }

    /** @returns Fields for the log line about a request that is cut at the end of the stop. */
    recordCut(request: AffectedRequest): StopLogFields {
        this.#cutCount++;
        this.#counters.add(EdgeCounterNames.requestsCutByStop);
        return this.describe(request);
    }

    /** @returns Fields for the log line about a request. */
    describe({ arrivedAtMs, neededMs, remainingMs }: AffectedRequest): StopLogFields {
        return {
            arrivedAfterStopMs: roundMs(this.#startedAtMs === undefined ? undefined : arrivedAtMs - this.#startedAtMs),
            neededMs: roundMs(neededMs),
            remainingMs: roundMs(remainingMs),
        };
    }
}

function roundMs(durationMs: number | undefined): number | undefined {
    return durationMs === undefined ? undefined : Math.round(durationMs);
}
