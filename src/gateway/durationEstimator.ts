/** Estimates how long responses take, from those that this host has relayed lately. */
import { setBounded } from "../base/boundedMap.js";
import type { Clock } from "../base/clock.js";
import { RecentSamples } from "../base/recentSamples.js";

/** How long a whole response took. */
export interface ResponseSample {
    /** Time that does not depend on the number of tokens. */
    readonly baseMs: number;
    /** Time for each output token. */
    readonly perTokenMs: number;
}

/** Maximum number of kinds whose samples are kept; the one that was recorded least recently is dropped. */
const MaxKinds = 256;

/** Minimum number of samples; a high quantile of fewer is not an upper estimate. */
const MinSampleCount = 5;

const UpperQuantile = 0.9;

/** Time for which the quantiles of a kind are reused, in milliseconds: a host that stops asks several times for each request. */
const QuantileReuseMs = 100;

/** Factor on the estimate: an engine gets slower with its load, which changes while the response arrives. */
const SlowdownFactor = 1.5;

/** Added to the estimate for the delivery to the caller and a short pause of the upstream. */
const PauseMs = 250;

/** Samples of one kind of response. */
class KindSamples {
    readonly #base = new RecentSamples(MinSampleCount);
    readonly #perToken = new RecentSamples(MinSampleCount);
    #upper: ResponseSample | undefined;
    #upperAtMs = Number.NEGATIVE_INFINITY;

    record({ baseMs, perTokenMs }: ResponseSample, nowMs: number): void {
        this.#base.record(baseMs, 1, nowMs);
        this.#perToken.record(perTokenMs, 1, nowMs);
    }

    /** @returns High quantiles, at most {@link QuantileReuseMs} old; `undefined` with too few recent samples. */
    getUpper(nowMs: number): ResponseSample | undefined {
        if (nowMs - this.#upperAtMs >= QuantileReuseMs) {
            const baseMs = this.#base.quantileMs(UpperQuantile, nowMs);
            const perTokenMs = this.#perToken.quantileMs(UpperQuantile, nowMs);
            this.#upper = baseMs === undefined || perTokenMs === undefined ? undefined : { baseMs, perTokenMs };
            this.#upperAtMs = nowMs;
        }
        return this.#upper;
    }
}

/** Keeps samples by kind of response, and estimates the duration of the next one. */
export class DurationEstimator {
    readonly #clock: Clock;
    readonly #kinds = new Map<string, KindSamples>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Adds a sample. */
    record(kind: string, sample: ResponseSample): void {
        const samples = this.#kinds.get(kind) ?? new KindSamples();
        samples.record(sample, this.#clock.monotonicMs());
        setBounded(this.#kinds, kind, samples, MaxKinds, () => false);
    }

    /**
     * @param maxOutputTokens Maximum number of output tokens of the response.
     * @returns Upper estimate of the duration in milliseconds; `undefined` with too few recent responses.
     */
    estimateMs(kind: string, maxOutputTokens: number): number | undefined {
        const upper = this.#kinds.get(kind)?.getUpper(this.#clock.monotonicMs());
        return upper === undefined ?
            undefined :
            (upper.baseMs + upper.perTokenMs * maxOutputTokens) * SlowdownFactor + PauseMs;
    }
}
