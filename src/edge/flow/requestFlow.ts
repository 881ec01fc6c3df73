/** Carries one routed request to its end: reserves tokens, sends it, relays the response and settles its cost. */
import { CallbackGuard, describeError } from "../../base/callbackGuard.js";
import { waitForEventLoopPoll } from "../../base/eventLoopPoll.js";
import { log } from "../../base/log.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import { promisesNotRun, type ResultCodeName } from "../../base/resultCodes.js";
import { EdgeCounterNames } from "../metrics.js";
import { RequestQuarantine } from "../quarantine/requestQuarantine.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { Upstream } from "../upstream/upstream.js";
import { Attempt, type AttemptListener, type AttemptOutcome, type AttemptSilence } from "./attempt.js";
import { AttemptHistory } from "./attemptHistory.js";
import { createAttemptInput } from "./attemptInput.js";
import type { CallerResponse, EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { OpenAttempts } from "./openAttempts.js";
import type { OpenRequest } from "./openRequest.js";
import { failureOf, RequestBudget, tokenRankOf } from "./requestBudget.js";
import type { RequestOutcome } from "./requestOutcome.js";
import { RequestReporter } from "./requestReporter.js";
import { RequestStop } from "./requestStop.js";
import { ResendPolicy } from "./resendPolicy.js";
import { ResponseTiming } from "./responseTiming.js";
import { SilenceHandlers } from "./silenceHandler.js";
import { checkStreamEnd, isStream, StreamRelay } from "./streamRelay.js";
import { UpstreamSelector } from "./upstreamSelector.js";

/**
 * Retry-After as a fraction of the caller's remaining time, and its maximum in milliseconds. Callers wait up to a
 * third of that time.
 */
const RetryAfterFraction = 1 / 4;
const MaxRetryAfterMs = 1_000;

/** Serves one request: from the reservation of its tokens to the end of its response. */
export class RequestFlow implements AttemptListener, OpenRequest {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #response: CallerResponse;
    readonly #relay: StreamRelay;
    readonly #history: AttemptHistory;
    readonly #budget: RequestBudget;
    readonly #reporter: RequestReporter;
    readonly #upstreams: UpstreamSelector;
    readonly #resendPolicy: ResendPolicy;
    readonly #silenceHandlers: SilenceHandlers;
    readonly #openAttempts: OpenAttempts;
    readonly #timing: ResponseTiming;
    readonly #quarantine: RequestQuarantine;
    readonly #stop: RequestStop;
    readonly #guard = new CallbackGuard(error => this.onError(error));
    #deadlineTimer: ResponseTimeout | undefined;
    /** Whether the caller disconnected while a request that may not be repeated continues. */
    #hasCallerDisconnected = false;
    #hasEnded = false;
    /** Aborted at the end of the request, which cancels a wait for tokens. */
    readonly #endController = new AbortController();

    constructor(dependencies: FlowDependencies, request: EdgeRequest, response: CallerResponse) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#response = response;
        this.#relay = new StreamRelay(
            response,
            request.metadata.lastEventId,
            request.metadata.tokenCounts?.maxOutputTokens,
        );
        this.#history = new AttemptHistory(request.route);
        this.#openAttempts = new OpenAttempts(request.requestId, this.#history);
        this.#timing = new ResponseTiming(request.arrivedAtMs);
        this.#budget = new RequestBudget(
            dependencies.budgets,
            request.requestId,
            request.team,
            request.metadata.tokenCounts,
            tokenRankOf(request, dependencies.hostCount()),
        );
        this.#reporter = new RequestReporter(dependencies, request, {
            history: this.#history,
            openAttempts: this.#openAttempts,
            relay: this.#relay,
            timing: this.#timing,
            budget: this.#budget,
        });
        this.#quarantine = new RequestQuarantine(dependencies.quarantine, request.metadata, request.service);
        this.#upstreams = new UpstreamSelector(dependencies, request, request.service, this.#history);
        this.#stop = new RequestStop(dependencies, request, this.#relay);
        this.#resendPolicy = new ResendPolicy(dependencies, request, {
            service: request.service,
            history: this.#history,
            openAttempts: this.#openAttempts,
            relay: this.#relay,
            upstreams: this.#upstreams,
            quarantine: this.#quarantine,
            stop: this.#stop,
        });
        this.#silenceHandlers = new SilenceHandlers({
            counters: dependencies.metrics.counters,
            resendPolicy: this.#resendPolicy,
            describe: () => this.#reporter.describe(),
            sendNext: this.#guard.wrap(() => this.#sendNext()),
        });
    }

    /**
     * Starts the request: reserves its tokens and sends it. Resolves once it is sent or refused; the response follows
     * by events.
     */
    async run(): Promise<void> {
        try {
            await this.#run();
        }
        catch (error) {
            this.onError(error);
        }
    }

    async #run(): Promise<void> {
        const remainingMs = this.#remainingMs;
        if (remainingMs <= 0) {
            this.#fail({ code: "Overloaded", ran: "no" }, "the deadline passed before the request was started");
            return;
        }
        if (this.#isRefusedForStop() || this.#isQuarantined()) {
            return;
        }
        this.#deadlineTimer = startResponseTimeout(
            () => this.interrupt("Overloaded", "the deadline has passed"),
            remainingMs,
        );
        this.#dependencies.retryBudgets.recordRequest(this.#request.service, this.#nowMs);
        // A request that waited in the socket's buffer is read before a disconnect of its caller, which the next poll reports.
        await waitForEventLoopPoll();
        if (this.#hasEnded) {
            return;
        }
        if (await this.#reserve() && !this.#hasEnded) {
            this.#sendNext();
        }
    }

    /**
     * Handles the disconnect of the caller. A request that is not written yet is not sent, and a running one is
     * cancelled, unless it may not be repeated and is written already.
     */
    onCallerDisconnect(): void {
        this.#guard.run(() => this.#endForDisconnect());
    }

    #endForDisconnect(): void {
        if (this.#hasEnded) {
            return;
        }
        const details = this.#reporter.recordDisconnect();
        if (details.writtenAgeMs !== undefined && this.#request.route.kind === "nonIdempotent") {
            this.#hasCallerDisconnected = true;
            log.info("caller left, its request goes on", { ...this.#reporter.describe(), ...details });
            return;
        }
        this.#openAttempts.cancelAll(this.#relay.hasRelayedEvents);
        this.#conclude("callerGone", details);
    }

    /** Counts the request in the backlog of the host's link. */
    onWritten(bytes: number): void {
        this.#dependencies.linkBacklog.recordWritten(bytes);
    }

    /**
     * Records the time to the first byte and opens the relay if the response is a successful stream. Other attempts end
     * then, as only one stream can be relayed.
     */
    onHead(head: ResponseHead, attempt: Attempt): boolean {
        this.#timing.recordHead(attempt.headAtMs);
        this.#dependencies.metrics.recordTimeToFirstByte(this.#nowMs - this.#request.arrivedAtMs);
        if (!isStream(head)) {
            return false;
        }
        this.#openAttempts.cancelOthers(attempt);
        return this.#relay.begin(head);
    }

    /** Relays a piece of a stream; interrupts the attempt if the events are not valid. */
    onBody(bytes: Buffer, attempt: Attempt): boolean {
        this.#timing.recordBody(this.#nowMs);
        const outcome = this.#relay.push(bytes);
        if (outcome === "callerIsSlow") {
            this.#response.onceDrained(this.#guard.wrap(() => attempt.resume()));
            return false;
        }
        if (outcome !== "written") {
            attempt.interruptMalformed(`the stream is not valid: ${outcome}`);
        }
        return true;
    }

    /** Handles the silence of an attempt. */
    onSilence(silence: AttemptSilence, attempt: Attempt): void {
        this.#silenceHandlers.select(this.#request.route, this.#relay.isOpen).onSilence(silence, attempt);
    }

    /** Records the end of an attempt, then completes the request, sends it again, waits for another or reports a failure. */
    onEnd(attemptOutcome: AttemptOutcome, attempt: Attempt): void {
        if (this.#hasEnded) {
            return;
        }
        const outcome = checkStreamEnd(attemptOutcome, this.#relay);
        this.#openAttempts.remove(attempt);
        if (outcome.status === "interrupted") {
            this.#relay.interrupt();
        }
        this.#history.recordOutcome(outcome, this.#relay.hasRelayedEvents);
        if (outcome.status === "answered") {
            this.#onAnswered(outcome.head, outcome.body, attempt);
            return;
        }
        this.#reporter.logFailedAttempt(outcome);
        this.#quarantine.examineFailure(
            outcome,
            attempt.input.upstream,
            this.#relay.eventCount,
            this.#guard.wrap(mayRepeat => this.#continueAfter(outcome, mayRepeat)),
        );
    }

    /** Sends the request again after a failed attempt, waits for another one or ends it. */
    #continueAfter(outcome: AttemptOutcome, mayRepeat: boolean): void {
        if (this.#hasEnded) {
            return;
        }
        if (this.#hasCallerDisconnected) {
            this.#conclude("callerGone");
        }
        else if (mayRepeat && this.#resendPolicy.canResend(outcome)) {
            this.#scheduleResend();
        }
        else if (this.#openAttempts.count === 0) {
            this.#giveUp(outcome);
        }
    }

    /** Sends the request again after this turn of the event loop, which may also report that the caller has disconnected. */
    #scheduleResend(): void {
        setImmediate(this.#guard.wrap(() => {
            if (!this.#hasEnded) {
                this.#sendNext();
            }
        }));
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
                this.#reporter.settle(false);
            }
            return true;
        }
        if (this.#hasEnded) {
            return false;
        }
        this.#dependencies.metrics.counters.add(EdgeCounterNames.budgetRefusals);
        this.#fail(
            failureOf(refusal),
            `budget of ${this.#request.team?.name}: ${this.#budget.worstCaseTokens} tokens not available`,
        );
        return false;
    }

    /** @returns Whether a part of the prompt is quarantined. The request ends then, unless an attempt is still open. */
    #isQuarantined(): boolean {
        const refusal = this.#quarantine.findRefusal(this.#history.ran, this.#retryAfterMs());
        if (refusal !== undefined && this.#openAttempts.count === 0) {
            this.#fail(refusal.failure, refusal.cause);
        }
        return refusal !== undefined;
    }

    #sendNext(): void {
        if (this.#isQuarantined()) {
            return;
        }
        const upstream = this.#upstreams.choose();
        if (upstream === undefined && this.#openAttempts.count > 0) {
            log.info("request not sent again: no upstream", this.#reporter.describe());
            return;
        }
        if (upstream === undefined) {
            this.#upstreams.requestLimited(this.#guard.wrap(limited => this.#sendTo(limited)));
            return;
        }
        this.#sendTo(upstream);
    }

    /** Sends the request to an upstream, or ends it if there is none. */
    #sendTo(upstream: Upstream | undefined): void {
        if (this.#hasEnded || this.#isRefusedForStop()) {
            return;
        }
        if (upstream === undefined) {
            this.#fail(this.#upstreams.failure(this.#history.ran, this.#retryAfterMs()), "no upstream");
            return;
        }
        this.#history.recordSend(upstream.entry.id);
        this.#quarantine.recordSend(this.#relay.eventCount);
        this.#dependencies.metrics.counters.add(EdgeCounterNames.sends);
        if (this.#history.sendCount > 1) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.repeatedSends);
        }
        if (this.#openAttempts.count > 0) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.parallelSends);
        }
        const input = createAttemptInput(this.#dependencies.codec, this.#request, {
            upstream,
            prefillTokens: this.#upstreams.prefillTokensAt(upstream),
            isRepeatable: this.#history.isRepeatable,
            remainingMs: this.#remainingMs,
            resumeAfterEventId: this.#relay.hasRelayedEvents ? this.#relay.lastEventId : undefined,
        });
        this.#openAttempts.add(new Attempt(input, this.#dependencies, this));
        this.#dependencies.onSent(input.prefillTokens);
    }

    #onAnswered(head: ResponseHead, body: Buffer, attempt: Attempt): void {
        this.#quarantine.recordResponse(head, this.#relay.eventCount);
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
        if (head.statusCode >= 500 || isUnfoundedRefusal) {
            if (this.#resendPolicy.canResend(failed)) {
                this.#scheduleResend();
                return;
            }
            if (this.#openAttempts.count > 0) {
                this.#reporter.logFailedAttempt(failed);
                return;
            }
        }
        if (isUnfoundedRefusal) {
            this.#giveUp(failed);
            return;
        }
        this.#openAttempts.cancelOthers(attempt);
        this.#timing.recordHead(attempt.headAtMs);
        this.#response.start(head);
        this.#response.end(body);
        this.#conclude(head.statusCode < 400 ? "complete" : "upstreamFailure");
    }

    #giveUp(outcome: AttemptOutcome): void {
        if (this.#history.ran === "no" && this.#isRefusedForStop()) {
            return;
        }
        if (outcome.status === "notExecuted" || outcome.status === "unreachable") {
            const { ran } = this.#history;
            const code = ran === "no" ? "NoUpstream" : "UpstreamFailed";
            this.#fail({ code, ran, retryAfterMs: this.#retryAfterMs() }, `upstream: ${outcome.status}`);
            return;
        }
        this.#fail({ code: "UpstreamFailed", ran: this.#history.ran }, "the upstream failed");
    }

    /**
     * Ends the request with a failure, as there is no time left for it.
     * @param codeIfNotRun Code of the failure if the request has certainly not run.
     */
    interrupt(codeIfNotRun: ResultCodeName, cause: string): void {
        this.#guard.run(() => {
            if (!this.#hasEnded) {
                this.#interrupt(codeIfNotRun, cause);
            }
        });
    }

    /** Ends the request, as the process stops now. */
    interruptForStop(): void {
        this.#guard.run(() => {
            if (!this.#hasEnded) {
                this.#interrupt("ShuttingDown", "the process stops", this.#stop.recordInterruption(this.#history));
            }
        });
    }

    /** Refuses the request if it has yet to be sent and can no longer end before the process stops. */
    refuseIfLate(): void {
        this.#guard.run(() => {
            if (!this.#hasEnded && !this.#hasCallerDisconnected && this.#openAttempts.count === 0) {
                this.#isRefusedForStop();
            }
        });
    }

    /** @returns Whether the request cannot end before the process stops. It ends then, unless an attempt is still open. */
    #isRefusedForStop(): boolean {
        const refusal = this.#stop.findRefusal();
        if (refusal !== undefined && this.#openAttempts.count === 0) {
            const { failure, details } = this.#stop.describeRefusal(refusal, this.#history.ran);
            this.#fail(failure, "the request cannot end before the process stops", details);
        }
        return refusal !== undefined;
    }

    #interrupt(codeIfNotRun: ResultCodeName, cause: string, details: object = {}): void {
        this.#openAttempts.cancelAll(this.#relay.hasRelayedEvents);
        const { ran } = this.#history;
        this.#fail({ code: ran === "no" ? codeIfNotRun : "UpstreamTimeout", ran }, cause, details);
    }

    /**
     * Ends the request after an error of the program, which must not affect the requests of other callers. What the error left undone is
     * unknown, so that a request that was sent counts as one that may have run.
     */
    onError(error: unknown): void {
        const { requestId } = this.#request;
        log.error("request failed by an internal error", { request: requestId, error: describeError(error) });
        try {
            this.#openAttempts.cancelAll(this.#relay.hasRelayedEvents);
            const ran = this.#history.sendCount === 0 ? "no" : this.#history.ran === "yes" ? "yes" : "unknown";
            this.#fail({ code: "InternalError", ran }, "internal error");
        }
        catch (secondError) {
            log.error("request not concluded", { request: requestId, error: describeError(secondError) });
        }
        finally {
            this.#response.abortUnfinished();
        }
    }

    #retryAfterMs(): number {
        return Math.max(0, Math.min(MaxRetryAfterMs, this.#remainingMs * RetryAfterFraction));
    }

    #fail(failure: EdgeFailure, cause: string, details: object = {}): void {
        if (this.#hasEnded) {
            return;
        }
        try {
            this.#response.sendError(failure);
        }
        finally {
            this.#conclude("failed", { ...failure, cause, ...details });
        }
    }

    /** Ends the request: settles its tokens, counts its outcome and logs it. */
    #conclude(outcome: RequestOutcome, details: object = {}): void {
        this.#hasEnded = true;
        this.#endController.abort();
        this.#deadlineTimer?.cancel();
        this.#reporter.recordEnd(outcome, details);
    }
}
