/** Health of one upstream, judged by this host's own requests. */

/** How a request to an upstream ended, as far as it concerns the upstream's health. */
export type DispatchOutcome = "answered" | "failed" | "refused" | "unreachable" | "silent" | "abandoned";

/** Weight of the newest result in the moving average of failures, which thus covers about eight results. */
const FailureWeight = 1 / 8;

/** Pause after a failed connection or a silence, doubled with each further one up to the maximum, in milliseconds. */
const MinPauseMs = 250;
const MaxPauseMs = 2_000;

/** Pause after a refusal by a full upstream, in milliseconds: about the time in which an engine completes a few requests. */
const RefusalPauseMs = 100;

/** Half-life of the failure average without new results, in milliseconds, so that an avoided upstream is tried again. */
const RecoveryHalfLifeMs = 1_500;

/** Failure average above which other upstreams are preferred. */
const UnhealthyAverage = 0.3;

/** Determines from the outcomes of requests whether an upstream should be avoided. */
export class UpstreamHealth {
    #failureAverage = 0;
    #averagedAtMs = 0;
    #pausedUntilMs = Number.NEGATIVE_INFINITY;
    #pauseMs = MinPauseMs;
    /** As the two above, for silence, which the next bytes end. */
    #silencePausedUntilMs = Number.NEGATIVE_INFINITY;
    #silencePauseMs = MinPauseMs;

    /** Records the outcome of a request; an abandoned one says nothing about the upstream and is ignored. */
    record(outcome: DispatchOutcome, nowMs: number): void {
        if (outcome === "abandoned") {
            return;
        }
        if (outcome === "answered") {
            this.#pauseMs = MinPauseMs;
            this.#pausedUntilMs = Number.NEGATIVE_INFINITY;
            this.#addSample(0, nowMs);
        }
        else if (outcome === "refused") {
            this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + RefusalPauseMs);
        }
        else if (outcome === "failed") {
            this.#addSample(1, nowMs);
        }
        else if (outcome === "silent") {
            this.#recordSilence(nowMs);
        }
        else {
            this.#addSample(1, nowMs);
            this.#pausedUntilMs = nowMs + this.#pauseMs;
            this.#pauseMs = Math.min(MaxPauseMs, this.#pauseMs * 2);
        }
    }

    /** Records that bytes arrived: the upstream is no longer silent. */
    recordBytes(): void {
        this.#silencePausedUntilMs = Number.NEGATIVE_INFINITY;
        this.#silencePauseMs = MinPauseMs;
    }

    /**
     * Requests that wait during the same silence end at about the same time, so only the first one counts. Silence is no
     * failed request: a sound upstream may pause and go on.
     */
    #recordSilence(nowMs: number): void {
        if (nowMs >= this.#silencePausedUntilMs) {
            this.#silencePausedUntilMs = nowMs + this.#silencePauseMs;
            this.#silencePauseMs = Math.min(MaxPauseMs, this.#silencePauseMs * 2);
        }
    }

    /** @returns Fraction of recent requests that failed, 0 to 1. */
    failureRatio(nowMs: number): number {
        return this.#failureAverage * 0.5 ** (Math.max(0, nowMs - this.#averagedAtMs) / RecoveryHalfLifeMs);
    }

    /** @returns Whether the upstream should get requests only if no other one is available. */
    isAvoided(nowMs: number): boolean {
        const pausedUntilMs = Math.max(this.#pausedUntilMs, this.#silencePausedUntilMs);
        return nowMs < pausedUntilMs || this.failureRatio(nowMs) > UnhealthyAverage;
    }

    #addSample(sample: number, nowMs: number): void {
        this.#failureAverage = this.failureRatio(nowMs) * (1 - FailureWeight) + sample * FailureWeight;
        this.#averagedAtMs = nowMs;
    }
}
