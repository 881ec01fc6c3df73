/** Latency estimates from recent samples, and statistics over them. */

/** Maximum number of samples that are kept. */
const MaxSamples = 16;

/** Mean of the recent samples, weighted so that the weight of a sample decays exponentially with its age. */
export class LatencyWindow {
    readonly #samples: { readonly valueMs: number; readonly atMs: number; }[] = [];
    readonly #decayMs: number;
    readonly #maxAgeMs: number;

    /**
     * @param decayMs Time constant of the exponential decay.
     * @param maxAgeMs Age from which a sample is dropped.
     */
    constructor(decayMs: number, maxAgeMs: number) {
        this.#decayMs = decayMs;
        this.#maxAgeMs = maxAgeMs;
    }

    /** @returns Monotonic time of the newest sample; negative infinity without samples. */
    get newestSampleMs(): number {
        return this.#samples.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
    }

    /** Adds a sample; drops the oldest one if there are too many. */
    add(valueMs: number, nowMs: number): void {
        this.#samples.push({ valueMs, atMs: nowMs });
        if (this.#samples.length > MaxSamples) {
            this.#samples.shift();
        }
    }

    /**
     * Drops samples that are too old and estimates the latency.
     * @param pendingMs Time that unfinished measurements have taken so far; each is a lower bound and counts only when
     * it raises the estimate.
     * @returns The estimate in milliseconds, or `undefined` without samples.
     */
    estimate(nowMs: number, pendingMs: readonly number[] = []): number | undefined {
        while (this.#samples.length > 0 && nowMs - this.#samples[0]!.atMs > this.#maxAgeMs) {
            this.#samples.shift();
        }
        // Ages are relative to the newest sample, so that the estimate stays usable while no new sample arrives.
        const newestMs = this.newestSampleMs;
        let weight = 0;
        let sum = 0;
        for (const sample of this.#samples) {
            const sampleWeight = Math.exp((sample.atMs - newestMs) / this.#decayMs);
            weight += sampleWeight;
            sum += sampleWeight * sample.valueMs;
        }
        for (const elapsedMs of pendingMs) {
            if (weight === 0 || elapsedMs > sum / weight) {
                weight++;
                sum += elapsedMs;
            }
        }
        return weight === 0 ? undefined : sum / weight;
    }

    /** @returns The values of the samples that have not been dropped, in milliseconds, oldest first. */
    getSamples(): number[] {
        return this.#samples.map(sample => sample.valueMs);
    }

    /** Removes all samples. */
    clear(): void {
        this.#samples.length = 0;
    }
}

/** @returns The smallest value that is at least as large as the fraction (0 to 1) of the values; `undefined` without values. */
export function quantile(values: readonly number[], fraction: number): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
}

/** @returns The median of the values, or `undefined` without values. */
export function median(values: readonly number[]): number | undefined {
    if (values.length === 0) {
        return undefined;
    }
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
