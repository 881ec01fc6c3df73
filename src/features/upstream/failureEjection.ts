/** Ejection of upstreams that fail, and the probe that lets them return. */

/** Settings of {@link FailureEjection}. */
export interface EjectionSettings {
    readonly ejectAfterFailures: number;
    readonly ejectionMs: number;
    readonly maxEjectionMs: number;
}

/** States of an upstream with respect to failures. */
export type EjectionState = "healthy" | "ejected" | "probing";

/** Counts successive failures of one upstream. */
export class FailureEjection {
    readonly #settings: EjectionSettings;
    #failures = 0;
    #ejections = 0;
    #untilMs = Number.NEGATIVE_INFINITY;

    constructor(settings: EjectionSettings) {
        this.#settings = settings;
    }

    /** @returns `probing` after an ejection has passed, until a request succeeds. */
    getState(nowMs: number): EjectionState {
        if (this.#ejections === 0) {
            return "healthy";
        }
        return nowMs < this.#untilMs ? "ejected" : "probing";
    }

    /** A request succeeded. */
    recordSuccess(): void {
        this.#failures = 0;
        this.#ejections = 0;
    }

    /** A request failed. */
    recordFailure(nowMs: number): void {
        this.#failures++;
        const state = this.getState(nowMs);
        if (state === "ejected" || (state === "healthy" && this.#failures < this.#settings.ejectAfterFailures)) {
            return;
        }
        const durationMs = this.#settings.ejectionMs * 2 ** this.#ejections;
        this.#untilMs = nowMs + Math.min(durationMs, this.#settings.maxEjectionMs);
        this.#ejections++;
    }
}
