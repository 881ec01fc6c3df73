/** Health of one upstream as this host's own requests show it. */

/** How an attempt at an upstream ended. */
export type DispatchOutcome = "answered" | "failed" | "refused" | "unreachable" | "silent" | "abandoned";

/** Weight of the newest result in the failure average; about eight results are remembered. */
const FailureWeight = 1 / 8;

/** Pause after a failed connection, doubled up to the longest one, in milliseconds. */
const FirstPauseMs = 250;
const LongestPauseMs = 2_000;

/** Pause after a refusal by a full upstream; about the time in which an engine finishes a few requests, in milliseconds. */
const RefusalPauseMs = 100;

/** Half-life of the failure average without new results, so that an avoided upstream is tried again, in milliseconds. */
const RecoveryHalfLifeMs = 1_500;

/** Failure average above which other upstreams are preferred. */
const UnhealthyAverage = 0.3;

/** Turns results of attempts into a preference among upstreams. */
export class UpstreamHealth {
    #failureAverage = 0;
    #averagedAtMs = 0;
    #pausedUntilMs = Number.NEGATIVE_INFINITY;
    #pauseMs = FirstPauseMs;

    /** Records the end of an attempt. */
    record(result: DispatchOutcome, nowMs: number): void {
        if (result === "abandoned") {
            return;
        }
        if (result === "answered") {
            this.#pauseMs = FirstPauseMs;
            this.#pausedUntilMs = Number.NEGATIVE_INFINITY;
            this.#average(0, nowMs);
        }
        else if (result === "refused") {
            this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + RefusalPauseMs);
        }
        else if (result === "failed") {
            this.#average(1, nowMs);
        }
        else {
            this.#average(1, nowMs);
            this.#pausedUntilMs = nowMs + this.#pauseMs;
            this.#pauseMs = Math.min(LongestPauseMs, this.#pauseMs * 2);
        }
    }

    /** @returns Share of recent attempts that failed, 0 to 1. */
    failureRatio(nowMs: number): number {
        return this.#failureAverage * 0.5 ** (Math.max(0, nowMs - this.#averagedAtMs) / RecoveryHalfLifeMs);
    }

    /** @returns Whether the upstream should get requests only if no other one can. */
    isAvoided(nowMs: number): boolean {
        return nowMs < this.#pausedUntilMs || this.failureRatio(nowMs) > UnhealthyAverage;
    }

    #average(sample: number, nowMs: number): void {
        this.#failureAverage = this.failureRatio(nowMs) * (1 - FailureWeight) + sample * FailureWeight;
        this.#averagedAtMs = nowMs;
    }
}
