/** Everything this host observes of one upstream. */
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

/** Answers whose first token takes this share of the whole duration were not streamed token by token. */
const WholeAnswerShare = 0.9;
/** Answers with fewer tokens say little about the time per token. */
const MinTokensPerSample = 4;
/** Own in-flight figures are kept this long, to separate the own part from late reports. */
const HistoryMs = 6_000;

/** Observations of one upstream. */
export class UpstreamTracker {
    readonly limit: ConcurrencyLimit;
    readonly ejection: FailureEjection;
    readonly #settings: UpstreamSettings;
    readonly #open = new Map<string, OpenDispatch>();
    readonly #firstToken: LatencyWindow;
    readonly #interToken: LatencyWindow;
    readonly #wholePerToken: LatencyWindow;
    readonly #history: { readonly atMs: number; readonly inFlight: number; }[] = [];
    #report: { readonly load: number; readonly takenAtMs: number; readonly leaving: boolean; } | undefined;
    #leavingSignMs: number | undefined;

    constructor(settings: UpstreamSettings, slots: number) {
        this.#settings = settings;
        this.limit = new ConcurrencyLimit(slots, settings.limitDecrease);
        this.ejection = new FailureEjection(settings);
        const create = () => new LatencyWindow(settings.sampleDecayMs, settings.sampleMaxAgeMs);
        this.#firstToken = create();
        this.#interToken = create();
        this.#wholePerToken = create();
    }

    /** @returns Own dispatches that have not ended. */
    get inFlight(): number {
        return this.#open.size;
    }

    /** @returns How many of them are long. */
    get longInFlight(): number {
        let count = 0;
        for (const dispatch of this.#open.values()) {
            count += dispatch.long ? 1 : 0;
        }
        return count;
    }

    /** @returns Time of the newest latency sample. */
    get newestSampleMs(): number {
        return Math.max(
            this.#firstToken.newestSampleMs,
            this.#interToken.newestSampleMs,
            this.#wholePerToken.newestSampleMs,
        );
    }

    /** @returns Load by the newest report and the time it was taken. */
    get report(): { readonly load: number; readonly takenAtMs: number; } | undefined {
        return this.#report;
    }

    /** A dispatch was started. */
    recordDispatchStart(requestId: string, long: boolean, streaming: boolean, nowMs: number): void {
        this.#open.set(requestId, { startedAtMs: nowMs, long, streaming, firstTokenMs: undefined });
        this.#recordInFlight(nowMs);
    }

    /** The first token of a dispatch arrived. */
    recordFirstToken(requestId: string, latencyMs: number, nowMs: number): void {
        const dispatch = this.#open.get(requestId);
        if (dispatch === undefined || dispatch.firstTokenMs !== undefined) {
            return;
        }
        dispatch.firstTokenMs = latencyMs;
        // Long prompts take longer by themselves and would make their upstream look slow.
        if (!dispatch.long && dispatch.streaming) {
            this.#firstToken.add(latencyMs, nowMs);
        }
    }

    /** A dispatch ended. */
    recordDispatchEnd(
        requestId: string,
        result: DispatchResult,
        durationMs: number,
        outputTokens: number,
        nowMs: number,
    ): void {
        const dispatch = this.#open.get(requestId);
        if (!this.#open.delete(requestId)) {
            return;
        }
        this.#recordInFlight(nowMs);
        this.#recordResult(result, nowMs);
        // Engines pause long work for short work, which says nothing about their speed.
        if (result === "complete" && !dispatch!.long && (outputTokens >= MinTokensPerSample || outputTokens === 0)) {
            this.#recordTokenTime(dispatch!.firstTokenMs, durationMs, outputTokens, nowMs);
        }
    }

    /** A load report arrived. */
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

    /** @returns Whether this host saw a sign of leaving that is still in force. */
    isLeavingSeenHere(nowMs: number): boolean {
        return this.#leavingSignMs !== undefined && nowMs - this.#leavingSignMs < this.#settings.leavingHoldMs;
    }

    /** @returns Whether a report taken after the given time says that the upstream stays. */
    isReportedStayingSince(sinceMs: number): boolean {
        return this.#report !== undefined && !this.#report.leaving && this.#report.takenAtMs > sinceMs;
    }

    /** @returns Load of everybody else by the newest report, or 0 when there is no recent one. */
    computeOtherLoad(nowMs: number): number {
        if (this.#report === undefined || nowMs - this.#report.takenAtMs > this.#settings.reportMaxAgeMs) {
            return 0;
        }
        return Math.max(0, this.#report.load - this.#inFlightAt(this.#report.takenAtMs));
    }

    /** @returns Latency estimates; unfinished first tokens count as lower bounds. */
    computeEstimates(nowMs: number): LatencyEstimates {
        const pending: number[] = [];
        for (const dispatch of this.#open.values()) {
            if (!dispatch.long && dispatch.streaming && dispatch.firstTokenMs === undefined) {
                pending.push(nowMs - dispatch.startedAtMs);
            }
        }
        return {
            firstTokenMs: this.#firstToken.estimate(nowMs, pending),
            interTokenMs: this.#interToken.estimate(nowMs),
            wholeMsPerToken: this.#wholePerToken.estimate(nowMs),
        };
    }

    /** @returns Recent first-token latencies of short streams. */
    getFirstTokenSamples(): number[] {
        return this.#firstToken.getSamples();
    }

    /** Forgets latencies that were measured before the upstream changed its speed. */
    clearLatencies(): void {
        this.#firstToken.clear();
        this.#interToken.clear();
        this.#wholePerToken.clear();
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

    #recordTokenTime(firstTokenMs: number | undefined, durationMs: number, tokens: number, nowMs: number): void {
        if (tokens === 0 || firstTokenMs === undefined || firstTokenMs >= WholeAnswerShare * durationMs) {
            // Calls to plain services have no tokens; their whole duration is compared.
            this.#wholePerToken.add(durationMs / Math.max(1, tokens), nowMs);
        }
        else {
            this.#interToken.add((durationMs - firstTokenMs) / (tokens - 1), nowMs);
        }
    }

    #recordInFlight(nowMs: number): void {
        this.#history.push({ atMs: nowMs, inFlight: this.#open.size });
        if (nowMs - this.#history[0]!.atMs > HistoryMs * 2) {
            const keptFrom = this.#history.findIndex(entry => nowMs - entry.atMs <= HistoryMs);
            this.#history.splice(0, Math.max(0, keptFrom - 1));
        }
    }

    #inFlightAt(atMs: number): number {
        for (let index = this.#history.length - 1; index >= 0; index--) {
            if (this.#history[index]!.atMs <= atMs) {
                return this.#history[index]!.inFlight;
            }
        }
        return 0;
    }
}
