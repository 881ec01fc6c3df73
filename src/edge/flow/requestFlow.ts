/** Carries one routed request to its end: reserves tokens, sends it, relays the response and settles its cost. */
import { waitForEventLoopPoll } from "../../base/eventLoopPoll.js";
import { log } from "../../base/log.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import { EdgeCounterNames } from "../metrics.js";
import { chooseService } from "../routing/routeTable.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { SerialisedRequest } from "../transport/upstreamConnection.js";
import type { Upstream } from "../upstream/upstream.js";
import { chooseUpstream } from "../upstream/upstreamChoice.js";
import { Attempt, type AttemptListener, type AttemptOutcome } from "./attempt.js";
import { AttemptHistory } from "./attemptHistory.js";
import { describeDisconnect, DisconnectCounters } from "./callerDisconnect.js";
import { type CallerResponse, type EdgeFailure, promisesNotRun } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { RequestBudget } from "./requestBudget.js";
import { serialiseRequest } from "./serialiseRequest.js";
import { StreamRelay } from "./streamRelay.js";

/**
 * Maximum idle time of a pooled connection that is reused, in milliseconds. It is shorter for requests that may not be
 * repeated, as an idle connection may be closed by the upstream while the request is sent.
 */
const NonIdempotentMaxIdleMs = 1_500;
const IdempotentMaxIdleMs = 4_000;

/**
 * Time without a byte after which an attempt that may be repeated is cancelled, as a multiple of the route's latency
 * objective, and its lower bound in milliseconds.
 */
const SilenceObjectives = 3;
const MinSilenceMs = 250;

/** Minimum time before the deadline for a repeated send to be useful, in milliseconds. */
const MinUsefulMs = 30;

/**
 * Retry-After as a fraction of the caller's remaining time, and its maximum in milliseconds. Callers wait up to a
 * third of that time.
 */
const RetryAfterFraction = 1 / 4;
const MaxRetryAfterMs = 1_000;

/** Counter of each outcome of a request; the keys are logged. */
const OutcomeCounters = {
    complete: EdgeCounterNames.requestsComplete,
    upstreamFailure: EdgeCounterNames.requestsUpstreamFailure,
    callerGone: EdgeCounterNames.requestsCallerDisconnected,
    failed: EdgeCounterNames.requestsFailed,
} as const;
type RequestOutcome = keyof typeof OutcomeCounters;

/** Serves one request: from the reservation of its tokens to the end of its response. */
export class RequestFlow implements AttemptListener {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #response: CallerResponse;
    readonly #service: string;
    readonly #relay: StreamRelay;
    readonly #history: AttemptHistory;
    readonly #budget: RequestBudget;
    #attempt: Attempt | undefined;
    #deadlineTimer: ResponseTimeout | undefined;
    /** Whether an attempt was cancelled after its request was written. */
    #wasAttemptCancelled = false;
    /** Time from the arrival of the request to the first byte of the latest attempt that got one, in milliseconds. */
    #firstByteMs: number | undefined;
    /** Monotonic time of the latest bytes of the stream, and the longest pause between bytes, in milliseconds. */
    #lastBodyAtMs: number | undefined;
    #longestPauseMs = 0;
    /** Whether the caller disconnected while a request that may not be repeated continues. */
    #hasCallerDisconnected = false;
    #hasEnded = false;
    /** Aborted at the end of the request, which cancels a wait for tokens. */
    readonly #endController = new AbortController();

    constructor(dependencies: FlowDependencies, request: EdgeRequest, response: CallerResponse) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#response = response;
        this.#service = chooseService(request.route, dependencies.random.next());
        this.#relay = new StreamRelay(
            response,
            request.metadata.lastEventId,
            request.metadata.tokenCounts?.maxOutputTokens,
        );
        this.#history = new AttemptHistory(request.route);
        this.#budget = new RequestBudget(
            dependencies.budgets,
            request.requestId,
            request.team,
            request.metadata.tokenCounts,
        );
    }

    /**
     * Starts the request: reserves its tokens and sends it. Resolves once it is sent or refused; the response follows
     * by events.
     */
    async run(): Promise<void> {
        const remainingMs = this.#remainingMs;
        if (remainingMs <= 0) {
            this.#fail({ code: "Overloaded", ran: "no" }, "the deadline passed before the request was started");
            return;
        }
        this.#deadlineTimer = startResponseTimeout(() => this.#onTimeout(), remainingMs);
        this.#dependencies.retryBudgets.recordRequest(this.#service, this.#nowMs);
        // A request that waited in the socket's buffer is read before a disconnect of its caller, which the next poll reports.
        await waitForEventLoopPoll();
        if (this.#hasEnded) {
            return;
        }
        if (!await this.#reserve() || this.#hasEnded) {
            return;
        }
        this.#sendNext();
    }

    /**
     * Handles the disconnect of the caller. A request that is not written yet is not sent, and a running one is
     * cancelled, unless it may not be repeated and is written already.
     */
    onCallerDisconnect(): void {
        if (this.#hasEnded) {
            return;
        }
        const disconnect = describeDisconnect(this.#attempt, this.#firstByteMs !== undefined, this.#nowMs);
        this.#dependencies.metrics.counters.add(DisconnectCounters[disconnect.stage]);
        const details = { ...disconnect, ...this.#dependencies.hostLoad() };
        if (disconnect.writtenAgeMs !== undefined && this.#request.route.kind === "nonIdempotent") {
            this.#hasCallerDisconnected = true;
            log.info("caller left, its request goes on", {
                request: this.#request.requestId,
                ...this.#describe(),
                ...details,
            });
            return;
        }
        this.#cancelAttempt();
        this.#conclude("callerGone", details);
    }

    /** Counts the request in the backlog of the host's link. */
    onWritten(bytes: number): void {
        this.#dependencies.linkBacklog.recordWritten(bytes);
    }

    /** Records the time to the first byte and opens the relay if the response is a successful stream. */
    onHead(head: ResponseHead): boolean {
        const elapsedMs = this.#nowMs - this.#request.arrivedAtMs;
        this.#firstByteMs = Math.round(elapsedMs);
        this.#dependencies.metrics.recordTimeToFirstByte(elapsedMs);
        const isStream = head.headersByName.get("content-type")?.startsWith("text/event-stream") === true;
        return isStream && head.statusCode < 300 && this.#relay.begin(head);
    }

    /** Relays a piece of a stream; interrupts the attempt if the events are not valid. */
    onBody(bytes: Buffer, attempt: Attempt): boolean {
        this.#recordPause();
        const outcome = this.#relay.push(bytes);
        if (outcome === "outOfOrder" || outcome === "tooLong") {
            attempt.cancel();
            const detail = outcome === "tooLong" ? "more events than output tokens" : "events are out of order";
            this.onEnd({ status: "interrupted", reason: "malformed", detail });
            return true;
        }
        if (outcome === "callerIsSlow") {
            this.#response.onceDrained(() => attempt.resume());
        }
        return outcome === "written";
    }

    #recordPause(): void {
        const nowMs = this.#nowMs;
        this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - (this.#lastBodyAtMs ?? nowMs));
        this.#lastBodyAtMs = nowMs;
    }

    /** Records the end of an attempt, then completes the request, sends it again or reports a failure. */
    onEnd(attemptOutcome: AttemptOutcome): void {
        if (this.#hasEnded) {
            return;
        }
        const outcome = this.#checkStreamEnd(attemptOutcome);
        this.#attempt = undefined;
        if (outcome.status === "interrupted") {
            this.#relay.interrupt();
        }
        this.#history.recordOutcome(outcome, this.#relay.hasRelayedEvents);
        if (outcome.status === "answered") {
            this.#onAnswered(outcome.head, outcome.body);
            return;
        }
        log.info("attempt failed", { request: this.#request.requestId, ...this.#describe(), ...outcome });
        if (this.#hasCallerDisconnected) {
            this.#conclude("callerGone");
        }
        else if (this.#canResend(outcome)) {
            this.#scheduleResend();
        }
        else {
            this.#giveUp(outcome);
        }
    }

    /** @returns The outcome; that of an attempt that broke off if its stream ended within an event, however it was framed. */
    #checkStreamEnd(outcome: AttemptOutcome): AttemptOutcome {
        return outcome.status === "answered" && this.#relay.isOpen && this.#relay.isInsideEvent ?
            { status: "interrupted", reason: "brokenOff", detail: "the stream ended within an event" } :
            outcome;
    }

    /** Sends the request again after this turn of the event loop, which may also report that the caller has disconnected. */
    #scheduleResend(): void {
        setImmediate(() => {
            if (!this.#hasEnded) {
                this.#sendNext();
            }
        });
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    get #remainingMs(): number {
        return this.#request.deadlineAtMs - this.#nowMs;
    }

    /** @returns Whether the tokens are reserved; if not, the request has ended. */
    async #reserve(): Promise<boolean> {
        const refusal = await this.#budget.reserve(this.#remainingMs, this.#endController.signal);
        if (refusal === undefined) {
            if (this.#hasEnded) {
                this.#settle(false);
            }
            return true;
        }
        if (this.#hasEnded) {
            return false;
        }
        this.#dependencies.metrics.counters.add(EdgeCounterNames.budgetRefusals);
        this.#fail({
            code: refusal.reason === "exhausted" ? "BudgetExhausted" : "BudgetUnavailable",
            ran: "no",
            retryAfterMs: refusal.retryAfterMs,
        }, `budget of ${this.#request.team?.name}: ${this.#budget.worstCaseTokens} tokens not available`);
        return false;
    }

    #sendNext(): void {
        const upstream = this.#chooseUpstream();
        if (upstream === undefined) {
            const retryAfterMs = Math.max(this.#retryAfterMs(), this.#minBackoffMs);
            this.#fail({ code: "NoUpstream", ran: this.#history.ran, retryAfterMs }, "no upstream");
            return;
        }
        this.#history.recordSend(upstream.entry.id);
        this.#dependencies.metrics.counters.add(EdgeCounterNames.sends);
        if (this.#history.sendCount > 1) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.repeatedSends);
        }
        const { route, requestId } = this.#request;
        const { objectiveMs } = route;
        const request = this.#serialise(upstream);
        this.#attempt = new Attempt(
            {
                upstream,
                request,
                requestId,
                prefillTokens: this.#request.metadata.tokenCounts?.promptTokens ?? 0,
                maxIdleMs: this.#history.isRepeatable ? IdempotentMaxIdleMs : NonIdempotentMaxIdleMs,
                silentAfterMs: Math.max(MinSilenceMs, objectiveMs * SilenceObjectives),
                inactivityTimeoutMs: this.#inactivityTimeoutMs(),
            },
            this.#dependencies.codec,
            this.#dependencies.clock,
            this,
        );
        this.#dependencies.onSent(this.#request.metadata.tokenCounts?.promptTokens ?? 0);
    }

    #chooseUpstream(): Upstream | undefined {
        const { route, metadata } = this.#request;
        return chooseUpstream({
            candidates: this.#dependencies.directory.findUsable(this.#service),
            promptParts: metadata.promptParts,
            promptTokens: metadata.tokenCounts?.promptTokens ?? 0,
            excludedUpstreamIds: this.#history.triedUpstreamIds,
            zone: this.#dependencies.zone,
            isGeneration: route.isGeneration,
            nowMs: this.#nowMs,
            peerLoad: upstream => this.#dependencies.peerLoad(upstream),
            hostCount: this.#dependencies.hostCount(),
        }, this.#dependencies.random);
    }

    /** @returns Time until an upstream accepts requests again, in milliseconds; 0 when one does now, or when there is none. */
    get #minBackoffMs(): number {
        const nowMs = this.#nowMs;
        const backoffsMs = this.#dependencies.directory.findUsable(this.#service).map(upstream =>
            upstream.remainingBackoffMs(nowMs)
        );
        return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
    }

    #serialise(upstream: Upstream): SerialisedRequest {
        const { method, target, headers, body, team, route } = this.#request;
        const encoded = this.#dependencies.codec.encodeUpstreamHeaders(headers, {
            upstreamId: upstream.entry.id,
            team: team?.name,
            remainingMs: Math.max(1, Math.floor(this.#remainingMs)),
            enginePriority: route.isGeneration ? team?.priority ?? route.priority : undefined,
            resumeAfterEventId: this.#relay.hasRelayedEvents ? this.#relay.lastEventId : undefined,
        });
        return serialiseRequest(method, target, encoded, body);
    }

    /**
     * @returns Inactivity timeout of the next attempt, in milliseconds; `undefined` when the request could not run
     * again elsewhere.
     */
    #inactivityTimeoutMs(): number | undefined {
        return this.#history.canRetryNextRun ?
            Math.max(MinSilenceMs, this.#request.route.objectiveMs * SilenceObjectives) :
            undefined;
    }

    /** @returns Whether another send is allowed, useful and within the retry budget, which counts it. */
    #canResend(outcome: AttemptOutcome): boolean {
        const canContinue = !this.#relay.hasRelayedEvents || this.#relay.lastEventId !== undefined;
        if (!this.#history.canRetry(outcome, canContinue) || this.#remainingMs < MinUsefulMs) {
            return false;
        }
        return outcome.status === "unreachable" ||
            this.#dependencies.retryBudgets.tryAcquire(this.#service, this.#nowMs);
    }

    #onAnswered(head: ResponseHead, body: Buffer): void {
        if (this.#relay.isOpen) {
            this.#relay.finish();
            this.#conclude("complete");
            return;
        }
        const failed: AttemptOutcome = {
            status: "interrupted",
            reason: "malformed",
            detail: `status ${head.statusCode}`,
        };
        if (this.#relay.hasRelayedEvents) {
            this.#giveUp(failed);
            return;
        }
        // The upstream would have stated that it did not run the request, so that the caller must not be told so.
        const isUnfoundedRefusal = promisesNotRun(head.statusCode);
        if ((head.statusCode >= 500 || isUnfoundedRefusal) && this.#canResend(failed)) {
            this.#scheduleResend();
            return;
        }
        if (isUnfoundedRefusal) {
            this.#giveUp(failed);
            return;
        }
        this.#response.start(head);
        this.#response.end(body);
        this.#conclude(head.statusCode < 400 ? "complete" : "upstreamFailure");
    }

    #giveUp(outcome: AttemptOutcome): void {
        if (outcome.status === "notExecuted" || outcome.status === "unreachable") {
            const { ran } = this.#history;
            const code = ran === "no" ? "NoUpstream" : "UpstreamFailed";
            this.#fail({ code, ran, retryAfterMs: this.#retryAfterMs() }, `upstream: ${outcome.status}`);
            return;
        }
        this.#fail({ code: "UpstreamFailed", ran: this.#history.ran }, "the upstream failed");
    }

    #onTimeout(): void {
        this.#cancelAttempt();
        const { ran } = this.#history;
        this.#fail({ code: ran === "no" ? "Overloaded" : "UpstreamTimeout", ran }, "the deadline has passed");
    }

    /** Cancels the running attempt. Output that it generated after the last event received is unknown. */
    #cancelAttempt(): void {
        if (this.#attempt === undefined) {
            return;
        }
        this.#attempt.cancel();
        if (this.#attempt.writtenAtMs !== undefined) {
            this.#wasAttemptCancelled = true;
            this.#history.recordCancellation(this.#relay.hasRelayedEvents);
        }
    }

    #retryAfterMs(): number {
        return Math.max(0, Math.min(MaxRetryAfterMs, this.#remainingMs * RetryAfterFraction));
    }

    #fail(failure: EdgeFailure, cause: string): void {
        if (this.#hasEnded) {
            return;
        }
        this.#response.sendError(failure);
        this.#conclude("failed", { ...failure, cause });
    }

    /** Ends the request: settles its tokens, counts its outcome and logs it. */
    #conclude(outcome: RequestOutcome, details: Record<string, unknown> = {}): void {
        this.#hasEnded = true;
        this.#endController.abort();
        this.#attempt = undefined;
        this.#deadlineTimer?.cancel();
        const chargedTokens = this.#settle(outcome === "complete");
        this.#dependencies.metrics.counters.add(OutcomeCounters[outcome]);
        this.#dependencies.metrics.counters.add(EdgeCounterNames.tokensCharged, chargedTokens);
        log.info(outcome === "failed" ? "request failed" : "request ended", {
            request: this.#request.requestId,
            ...this.#describe(),
            outcome,
            chargedTokens,
            ...details,
        });
    }

    /**
     * Settles the reserved tokens.
     * @param isComplete Whether the caller got a complete successful response.
     * @returns Tokens charged.
     */
    #settle(isComplete: boolean): number {
        return this.#budget.settle({
            tokensPerEvent: this.#request.table.findService(this.#service)?.engine?.tokensPerEvent,
            eventCount: this.#relay.eventCount,
            isComplete,
            isCancelled: this.#wasAttemptCancelled,
        });
    }

    /** @returns Fields that log entries about the request share. */
    #describe(): Record<string, unknown> {
        const { route, team, table } = this.#request;
        return {
            route: route.name,
            team: team?.name,
            configuration: table.configuration.version,
            upstreams: [...this.#history.triedUpstreamIds].join(","),
            sends: this.#history.sendCount,
            ran: this.#history.ran,
            events: this.#relay.eventCount,
            firstByteMs: this.#firstByteMs,
            longestPauseMs: Math.round(this.#longestPauseMs),
            elapsedMs: Math.round(this.#nowMs - this.#request.arrivedAtMs),
        };
    }
}
