/** Estimates how long responses take, from those that this host has relayed lately. */
import { quantile } from "../features/upstream/latencyWindow.js";

/** How long a whole response took. */
export interface ResponseSample {
    /** Time that does not depend on the number of tokens. */
    readonly baseMs: number;
    /** Time for each output token. */
    readonly perTokenMs: number;
}

/** Maximum number of samples of a kind of response; older ones are dropped. */
const MaxSampleCount = 64;

/** Minimum number of samples; a high quantile of fewer is not an upper estimate. */
const MinSampleCount = 5;

const UpperQuantile = 0.9;

/** Factor on the estimate: an engine gets slower with its load, which changes while the response arrives. */
const SlowdownFactor = 1.5;

/** Added to the estimate for the delivery to the caller and a short pause of the upstream. */
const PauseMs = 250;

/** Keeps samples by kind of response, and estimates the duration of the next one. */
export class DurationEstimator {
    readonly #samples = new Map<string, ResponseSample[]>();

    /** Adds a sample. */
    record(kind: string, sample: ResponseSample): void {
        const samples = this.#samples.get(kind) ?? [];
        this.#samples.set(kind, samples);
        samples.push(sample);
        if (samples.length > MaxSampleCount) {
            samples.shift();
        }
    }

    /**
     * @param maxOutputTokens Maximum number of output tokens of the response.
     * @returns Upper estimate of the duration in milliseconds; `undefined` while too few responses are known.
     */
    estimateMs(kind: string, maxOutputTokens: number): number | undefined {
        const samples = this.#samples.get(kind) ?? [];
        if (samples.length < MinSampleCount) {
            return undefined;
        }
        const baseMs = quantile(samples.map(sample => sample.baseMs), UpperQuantile)!;
        const perTokenMs = quantile(samples.map(sample => sample.perTokenMs), UpperQuantile)!;
        return (baseMs + perTokenMs * maxOutputTokens) * SlowdownFactor + PauseMs;
    }
}
