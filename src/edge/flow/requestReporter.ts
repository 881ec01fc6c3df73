/** Settles, counts and logs the end of one request. */
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import type { AttemptOutcome } from "./attempt.js";
import type { AttemptHistory } from "./attemptHistory.js";
import { type CallerDisconnect, describeDisconnect, DisconnectCounters } from "./callerDisconnect.js";
import type { EdgeRequest, FlowDependencies, HostLoad } from "./flowTypes.js";
import type { OpenAttempts } from "./openAttempts.js";
import type { RequestBudget } from "./requestBudget.js";
import { describeRequest } from "./requestDescription.js";
import { OutcomeCounters, type RequestOutcome } from "./requestOutcome.js";
import type { ResponseTiming } from "./responseTiming.js";
import { kindOfRequest } from "./stopCheck.js";
import type { StreamRelay } from "./streamRelay.js";

/** State of the request that is reported. */
export interface ReportedState {
    readonly history: AttemptHistory;
    readonly openAttempts: OpenAttempts;
    readonly relay: StreamRelay;
    readonly timing: ResponseTiming;
    readonly budget: RequestBudget;
}

/** Reports on one request, by its state at the time of each call. */
export class RequestReporter {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #state: ReportedState;

    constructor(dependencies: FlowDependencies, request: EdgeRequest, state: ReportedState) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#state = state;
    }

    /** @returns Fields that log entries about the request share. */
    describe(): Record<string, unknown> {
        const { history, timing, relay } = this.#state;
        return {
            request: this.#request.requestId,
            ...describeRequest(
                this.#request,
                history,
                timing,
                relay.eventCount,
                this.#dependencies.clock.monotonicMs(),
            ),
        };
    }

    /** Logs an attempt that has failed. */
    logFailedAttempt(outcome: AttemptOutcome): void {
        log.info("attempt failed", {
            ...this.describe(),
            ...outcome,
            openAttempts: this.#state.openAttempts.count,
        });
    }

    /**
     * Counts the disconnect of the caller.
     * @returns Fields for the log line.
     */
    recordDisconnect(): CallerDisconnect & HostLoad {
        const { metrics, clock, hostLoad } = this.#dependencies;
        const { furthest } = this.#state.openAttempts;
        const hasResponseStarted = this.#state.relay.hasRelayedEvents || furthest?.headAtMs !== undefined;
        const disconnect = describeDisconnect(furthest, hasResponseStarted, clock.monotonicMs());
        metrics.counters.add(DisconnectCounters[disconnect.stage]);
        return { ...disconnect, ...hostLoad() };
    }

    /**
     * Settles the tokens of the request, records its duration, counts its outcome and logs it.
     * @param details Further fields for the log line.
     */
    recordEnd(outcome: RequestOutcome, details: object): void {
        const { counters } = this.#dependencies.metrics;
        const chargedTokens = this.settle(outcome === "complete");
        this.#recordDuration(outcome);
        counters.add(OutcomeCounters[outcome]);
        counters.add(EdgeCounterNames.tokensCharged, chargedTokens);
        log.info(outcome === "failed" ? "request failed" : "request ended", {
            ...this.describe(),
            outcome,
            chargedTokens,
            ...details,
        });
    }

    /** Streams count up to their last event also when they are cut, so that estimates know of those that take long. */
    #recordDuration(outcome: RequestOutcome): void {
        const { clock, durations } = this.#dependencies;
        const { relay, timing } = this.#state;
        const kind = kindOfRequest(this.#request.route, this.#request.service);
        const { firstBodyMs, lastBodyMs } = timing;
        const { eventCount } = relay;
        if (firstBodyMs !== undefined && lastBodyMs !== undefined) {
            durations.recordStream(kind, { firstEventMs: firstBodyMs, eventCount, elapsedMs: lastBodyMs });
        }
        else if (outcome === "complete") {
            durations.recordResponse(kind, clock.monotonicMs() - this.#request.arrivedAtMs);
        }
    }

    /**
     * Settles the reserved tokens.
     * @param isComplete Whether the caller got a complete successful response.
     * @returns Tokens charged.
     */
    settle(isComplete: boolean): number {
        const { relay, openAttempts, budget } = this.#state;
        return budget.settle({
            tokensPerEvent: this.#request.table.findService(this.#request.service)?.engine?.tokensPerEvent,
            eventCount: relay.eventCount,
            isComplete,
            isCancelled: openAttempts.wasRunCancelled,
        });
    }
}
