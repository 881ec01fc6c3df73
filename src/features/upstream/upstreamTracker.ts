/** Observations of one upstream by this host: dispatches, latencies, load reports and signs of leaving. */
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { FailureEjection } from "./failureEjection.js";
import { LatencyWindow } from "./latencyWindow.js";
import type { LatencyEstimates } from "./slownessRatios.js";
import type { UpstreamSettings } from "./upstreamSettings.js";
import type { DispatchResult, LoadReport } from "./upstreamTypes.js";

/** A dispatch that has not ended. */
interface OpenDispatch {
    readonly startedAtMs: number;
    readonly long: boolean;
    readonly streaming: boolean;
    firstTokenMs: number | undefined;
}

/** A response whose first token took at least this fraction of its duration counts as not streamed token by token. */
const MinUnstreamedFraction = 0.9;
/** Minimum number of output tokens of a sample; fewer say little about the time per token. */
const MinTokensPerSample = 4;
/** Minimum time for which this host's in-flight counts are kept, to subtract its own requests from late load reports. */
const InFlightHistoryMs = 6_000;

/** Collects the observations of one upstream. All times are monotonic, in milliseconds. */
export class UpstreamTracker {
    /** Concurrency limit, adapted to completions, refusals and timeouts. */
    readonly limit: ConcurrencyLimit;
    /** Ejection after successive failures. */
    readonly ejection: FailureEjection;
    readonly #settings: UpstreamSettings;
    readonly #openDispatches = new Map<string, OpenDispatch>();
    readonly #firstTokenWindow: LatencyWindow;
    readonly #interTokenWindow: LatencyWindow;
    readonly #wholePerTokenWindow: LatencyWindow;
    readonly #inFlightHistory: { readonly atMs: number; readonly inFlight: number; }[] = [];
    #report: { readonly load: number; readonly takenAtMs: number; readonly leaving: boolean; } | undefined;
    #leavingSignMs: number | undefined;

    constructor(settings: UpstreamSettings, slots: number) {
        this.#settings = settings;
        this.limit = new ConcurrencyLimit(slots, settings.limitDecrease);
        this.ejection = new FailureEjection(settings);
        const createWindow = () => new LatencyWindow(settings.sampleDecayMs, settings.sampleMaxAgeMs);
        this.#firstTokenWindow = createWindow();
        this.#interTokenWindow = createWindow();
        this.#wholePerTokenWindow = createWindow();
    }

    /** @returns Number of dispatches of this host that have not ended. */
    get inFlight(): number {
        return this.#openDispatches.size;
    }

    /** @returns Number of long dispatches of this host that have not ended. */
    get longInFlight(): number {
        let count = 0;
        for (const dispatch of this.#openDispatches.values()) {
            count += dispatch.long ? 1 : 0;
        }
        return count;
    }

    /** @returns Time of the newest latency sample; negative infinity without samples. */
    get newestSampleMs(): number {
        return Math.max(
            this.#firstTokenWindow.newestSampleMs,
            this.#interTokenWindow.newestSampleMs,
            this.#wholePerTokenWindow.newestSampleMs,
        );
    }

    /** @returns Requests running and waiting by the newest report, and the time at which they were counted. */
    get report(): { readonly load: number; readonly takenAtMs: number; } | undefined {
        return this.#report;
    }

    /** Records the start of a dispatch. */
    recordDispatchStart(requestId: string, long: boolean, streaming: boolean, nowMs: number): void {
        this.#openDispatches.set(requestId, { startedAtMs: nowMs, long, streaming, firstTokenMs: undefined });
        this.#recordInFlight(nowMs);
    }

    /** Records the first token of a dispatch. */
    recordFirstToken(requestId: string, latencyMs: number, nowMs: number): void {
        const dispatch = this.#openDispatches.get(requestId);
        if (dispatch === undefined || dispatch.firstTokenMs !== undefined) {
            return;
        }
        dispatch.firstTokenMs = latencyMs;
        // Long prompts always take longer and would make their upstream appear slow.
        if (!dispatch.long && dispatch.streaming) {
            this.#firstTokenWindow.add(latencyMs, nowMs);
        }
    }

    /** Records the end of a dispatch; has no effect if the dispatch is not open. */
    recordDispatchEnd(
        requestId: string,
        result: DispatchResult,
        durationMs: number,
        outputTokens: number,
        nowMs: number,
    ): void {
        const dispatch = this.#openDispatches.get(requestId);
        if (!this.#openDispatches.delete(requestId)) {
            return;
        }
        this.#recordInFlight(nowMs);
        this.#recordResult(result, nowMs);
        // Engines pause long work for short work, so that its duration does not reflect their speed.
        if (result === "complete" && !dispatch!.long && (outputTokens >= MinTokensPerSample || outputTokens === 0)) {
            this.#recordTimePerToken(dispatch!.firstTokenMs, durationMs, outputTokens, nowMs);
        }
    }

    /** Records a load report; ignores one with older figures than the newest. */
    recordLoadReport(report: LoadReport, nowMs: number): void {
        const takenAtMs = nowMs - report.ageMs;
        if (this.#report !== undefined && takenAtMs < this.#report.takenAtMs) {
            return;
        }
        this.#report = { load: report.running + report.waiting, takenAtMs, leaving: report.leaving };
        if (report.leaving) {
            this.#leavingSignMs = nowMs;
        }
        else if (this.#leavingSignMs !== undefined && takenAtMs > this.#leavingSignMs) {
            this.#leavingSignMs = undefined;
        }
    }

    /** @returns Whether this host observed that the upstream is leaving, not too long ago and not contradicted since. */
    isLeavingSeenHere(nowMs: number): boolean {
        return this.#leavingSignMs !== undefined && nowMs - this.#leavingSignMs < this.#settings.leavingHoldMs;
    }

    /** @returns Whether the newest report was taken after the given time and shows that the upstream is not leaving. */
    isReportedStayingSince(sinceMs: number): boolean {
        return this.#report !== undefined && !this.#report.leaving && this.#report.takenAtMs > sinceMs;
    }

    /** @returns Requests of all other hosts according to the newest report, or 0 without a recent report. */
    computeOtherLoad(nowMs: number): number {
        if (this.#report === undefined || nowMs - this.#report.takenAtMs > this.#settings.reportMaxAgeMs) {
            return 0;
        }
        return Math.max(0, this.#report.load - this.#inFlightAt(this.#report.takenAtMs));
    }

    /** @returns Latency estimates; the waits for first tokens that have not arrived count as lower bounds. */
    computeEstimates(nowMs: number): LatencyEstimates {
        const pending: number[] = [];
        for (const dispatch of this.#openDispatches.values()) {
            if (!dispatch.long && dispatch.streaming && dispatch.firstTokenMs === undefined) {
                pending.push(nowMs - dispatch.startedAtMs);
            }
        }
        return {
            firstTokenMs: this.#firstTokenWindow.estimate(nowMs, pending),
            interTokenMs: this.#interTokenWindow.estimate(nowMs),
            wholeMsPerToken: this.#wholePerTokenWindow.estimate(nowMs),
        };
    }

    /** @returns Recent first-token latencies of short streamed requests, in milliseconds. */
    getFirstTokenSamples(): number[] {
        return this.#firstTokenWindow.getSamples();
    }

    /** Removes all latency samples; needed when the upstream has changed its speed. */
    clearLatencies(): void {
        this.#firstTokenWindow.clear();
        this.#interTokenWindow.clear();
        this.#wholePerTokenWindow.clear();
    }

    #recordResult(result: DispatchResult, nowMs: number): void {
        if (result === "complete") {
            this.ejection.recordSuccess();
            this.limit.recordSuccess();
        }
        else if (result === "leaving") {
            this.#leavingSignMs = nowMs;
        }
        else if (result === "refused") {
            this.limit.recordOverload(nowMs);
        }
        else if (result !== "cancelled") {
            this.ejection.recordFailure(nowMs);
            if (result === "timeout") {
                this.limit.recordOverload(nowMs);
            }
        }
    }

    #recordTimePerToken(firstTokenMs: number | undefined, durationMs: number, tokens: number, nowMs: number): void {
        if (tokens === 0 || firstTokenMs === undefined || firstTokenMs >= MinUnstreamedFraction * durationMs) {
            // Calls to plain services have no tokens, so that their whole duration is compared.
            this.#wholePerTokenWindow.add(durationMs / Math.max(1, tokens), nowMs);
        }
        else {
            this.#interTokenWindow.add((durationMs - firstTokenMs) / (tokens - 1), nowMs);
        }
    }

    #recordInFlight(nowMs: number): void {
        this.#inFlightHistory.push({ atMs: nowMs, inFlight: this.#openDispatches.size });
        if (nowMs - this.#inFlightHistory[0]!.atMs > InFlightHistoryMs * 2) {
            const firstKeptIndex = this.#inFlightHistory.findIndex(entry => nowMs - entry.atMs <= InFlightHistoryMs);
            this.#inFlightHistory.splice(0, Math.max(0, firstKeptIndex - 1));
        }
    }

    #inFlightAt(atMs: number): number {
        for (let index = this.#inFlightHistory.length - 1; index >= 0; index--) {
            if (this.#inFlightHistory[index]!.atMs <= atMs) {
                return this.#inFlightHistory[index]!.inFlight;
            }
        }
        return 0;
    }
}
