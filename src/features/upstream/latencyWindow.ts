/** Latency estimate over recent samples. */

/** Number of samples kept. */
const Capacity = 16;

/** Mean of recent samples; each sample's weight decays with its age. */
export class LatencyWindow {
    readonly #samples: { readonly valueMs: number; readonly atMs: number; }[] = [];
    readonly #decayMs: number;
    readonly #maxAgeMs: number;

    /**
     * @param decayMs Time constant of the decay.
     * @param maxAgeMs Age from which a sample is dropped.
     */
    constructor(decayMs: number, maxAgeMs: number) {
        this.#decayMs = decayMs;
        this.#maxAgeMs = maxAgeMs;
    }

    /** @returns Time of the newest sample, or negative infinity. */
    get newestSampleMs(): number {
        return this.#samples.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
    }

    /** Adds a sample. */
    add(valueMs: number, nowMs: number): void {
        this.#samples.push({ valueMs, atMs: nowMs });
        if (this.#samples.length > Capacity) {
            this.#samples.shift();
        }
    }

    /**
     * @param pendingMs Time that unfinished measurements have taken so far; each is a lower bound and counts only when
     * it raises the estimate.
     * @returns The estimate, or `undefined` without samples.
     */
    estimate(nowMs: number, pendingMs: readonly number[] = []): number | undefined {
        while (this.#samples.length > 0 && nowMs - this.#samples[0]!.atMs > this.#maxAgeMs) {
            this.#samples.shift();
        }
        // Ages count from the newest sample, so that the estimate stays usable while nothing new arrives.
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

    /** @returns The samples that are not too old, without their times. */
    getSamples(): number[] {
        return this.#samples.map(sample => sample.valueMs);
    }

    /** Forgets all samples. */
    clear(): void {
        this.#samples.length = 0;
    }
}

/** @returns The smallest value that is at least as large as the given share of the values. */
export function quantile(values: readonly number[], share: number): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
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
