/** Recent durations, bounded in number and age, with a quantile of them. */

/** Maximum number of samples that are kept. */
const MaxSamples = 512;

/** Age from which a sample is ignored, in milliseconds: upstreams and their load change within minutes. */
const MaxAgeMs = 60_000;

/** Samples that are kept in a second on average, so that the samples of a busy service cover the whole of the maximum age. */
const SamplesPerS = MaxSamples / (MaxAgeMs / 1_000);

/** Samples that may be kept at once after a time with few of them. */
const MaxBurstSamples = 32;

/** Default minimum number of samples for a quantile: the maximum of fewer says little about the next request. */
const DefaultMinSamples = 8;

interface Sample {
    readonly valueMs: number;
    readonly weight: number;
    readonly atMs: number;
}

/** Recent durations of one kind. Recording takes constant time; only a quantile sorts them. */
export class RecentSamples {
    /** Ring buffer. */
    readonly #samples: Sample[] = [];
    #nextIndex = 0;
    #burstSamples = MaxBurstSamples;
    #lastRecordedAtMs = 0;
    readonly #minSamples: number;

    /** @param minSamples Minimum number of recent samples for a quantile. */
    constructor(minSamples = DefaultMinSamples) {
        this.#minSamples = minSamples;
    }

    /**
     * Records a duration, unless enough have been recorded lately.
     * @param weight Number of equal durations that the value stands for.
     */
    record(valueMs: number, weight: number, nowMs: number): void {
        const newSamples = (nowMs - this.#lastRecordedAtMs) / 1_000 * SamplesPerS;
        this.#burstSamples = Math.min(MaxBurstSamples, this.#burstSamples + newSamples);
        this.#lastRecordedAtMs = nowMs;
        if (this.#burstSamples < 1) {
            return;
        }
        this.#burstSamples--;
        this.#samples[this.#nextIndex] = { valueMs, weight, atMs: nowMs };
        this.#nextIndex = (this.#nextIndex + 1) % MaxSamples;
    }

    /**
     * @param fraction Fraction of the weight that is at or below the result, 0 to 1.
     * @returns The smallest such value in milliseconds; `undefined` with too few recent samples.
     */
    quantileMs(fraction: number, nowMs: number): number | undefined {
        const recent = this.#samples.filter(({ atMs }) => nowMs - atMs < MaxAgeMs);
        if (recent.length < this.#minSamples) {
            return undefined;
        }
        recent.sort((left, right) => left.valueMs - right.valueMs);
        let remainingWeight = fraction * recent.reduce((sum, { weight }) => sum + weight, 0);
        for (const { valueMs, weight } of recent) {
            remainingWeight -= weight;
            if (remainingWeight <= 0) {
                return valueMs;
            }
        }
        return recent.at(-1)!.valueMs;
    }
}
