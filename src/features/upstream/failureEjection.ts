/** Ejects an upstream after successive failures, and readmits it after a successful probe. */

/** Settings of {@link FailureEjection}; see the upstream settings. */
export interface EjectionSettings {
    readonly ejectAfterFailures: number;
    readonly ejectionMs: number;
    readonly maxEjectionMs: number;
}

/** State of an upstream: it gets requests normally, gets none, or gets only probes. */
export type EjectionState = "healthy" | "ejected" | "probing";

/** Tracks successive failures of one upstream. The ejection time doubles with each failed probe, up to a maximum. */
export class FailureEjection {
    readonly #settings: EjectionSettings;
    #failureCount = 0;
    #ejectionCount = 0;
    #ejectedUntilMs = Number.NEGATIVE_INFINITY;

    constructor(settings: EjectionSettings) {
        this.#settings = settings;
    }

    /** @returns The state: `ejected` for the ejection time, then `probing` until a request succeeds or fails. */
    getState(nowMs: number): EjectionState {
        if (this.#ejectionCount === 0) {
            return "healthy";
        }
        return nowMs < this.#ejectedUntilMs ? "ejected" : "probing";
    }

    /** Records a successful request; ends an ejection. */
    recordSuccess(): void {
        this.#failureCount = 0;
        this.#ejectionCount = 0;
    }

    /** Records a failed request; ejects the upstream after too many in a row or after a failed probe. */
    recordFailure(nowMs: number): void {
        this.#failureCount++;
        const state = this.getState(nowMs);
        if (state === "ejected" || (state === "healthy" && this.#failureCount < this.#settings.ejectAfterFailures)) {
            return;
        }
        const durationMs = this.#settings.ejectionMs * 2 ** this.#ejectionCount;
        this.#ejectedUntilMs = nowMs + Math.min(durationMs, this.#settings.maxEjectionMs);
        this.#ejectionCount++;
    }
}
