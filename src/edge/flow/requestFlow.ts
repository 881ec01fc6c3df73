/** The course of one request: route, authenticate, reserve, send, relay, settle. */
import { waitForEventLoopPoll } from "../../base/eventLoopPoll.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import { chooseService } from "../routing/routeTable.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { SerialisedRequest } from "../transport/upstreamConnection.js";
import type { Upstream } from "../upstream/upstream.js";
import { chooseUpstream } from "../upstream/upstreamChoice.js";
import { Attempt, type AttemptListener, type AttemptOutcome } from "./attempt.js";
import { AttemptHistory } from "./attemptHistory.js";
import { describeDisconnect, DisconnectCounters } from "./callerDisconnect.js";
import type { CallerResponse, EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { RequestBudget } from "./requestBudget.js";
import { serialiseRequest } from "./serialiseRequest.js";
import { StreamRelay } from "./streamRelay.js";

/** Idle time up to which a kept connection is trusted with work that may not be repeated, in milliseconds. */
const NonIdempotentIdleMs = 1_500;
const IdempotentIdleMs = 4_000;

/** Time without a byte, in objectives, after which an attempt that may be repeated is given up. */
const SilenceObjectives = 3;
const ShortestSilenceMs = 250;

/** Time that a repeated send needs at least to be of use, in milliseconds. */
const LeastUsefulMs = 30;

/** Retry-After as a part of the time that the caller has left; callers wait up to a third of it. */
const RetryAfterPart = 1 / 4;
const LongestRetryAfterMs = 1_000;

/** How a request ended, with the counter of each way. */
const OutcomeCounters = {
    complete: EdgeCounterNames.requestsComplete,
    upstreamFailure: EdgeCounterNames.requestsUpstreamFailure,
    callerGone: EdgeCounterNames.requestsCallerDisconnected,
    failed: EdgeCounterNames.requestsFailed,
} as const;
type RequestOutcome = keyof typeof OutcomeCounters;

/** Serves one request. */
export class RequestFlow implements AttemptListener {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #answer: CallerResponse;
    readonly #service: string;
    readonly #relay: StreamRelay;
    readonly #history: AttemptHistory;
    readonly #budget: RequestBudget;
    #attempt: Attempt | undefined;
    #endTimer: NodeJS.Timeout | undefined;
    /** Whether a running attempt was stopped. */
    #isAbandoned = false;
    /** Time from the arrival to the latest attempt's first byte, in milliseconds. */
    #firstByteMs: number | undefined;
    /** When the stream last went on, and its longest pause, in milliseconds. */
    #wentOnMs: number | undefined;
    #longestPauseMs = 0;
    /** Whether the caller left while work that may not be repeated goes on. */
    #isCallerGone = false;
    #isOver = false;
    /** Aborted at the end of the request, which ends a wait for tokens. */
    readonly #ended = new AbortController();

    constructor(dependencies: FlowDependencies, request: EdgeRequest, answer: CallerResponse) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#answer = answer;
        this.#service = chooseService(request.route, dependencies.random.next());
        this.#relay = new StreamRelay(
            answer,
            request.facts.lastEventId,
            request.facts.tokenCounts?.maxOutputTokens,
        );
        this.#history = new AttemptHistory(request.route);
        this.#budget = new RequestBudget(
            dependencies.budgets,
            request.requestId,
            request.team,
            request.facts.tokenCounts,
        );
    }

    /** Runs the request to its end. */
    async run(): Promise<void> {
        const remainingMs = this.#remainingMs;
        if (remainingMs <= 0) {
            this.#fail({ code: "Overloaded", ran: "no" }, "no time left");
            return;
        }
        this.#endTimer = setTimeout(() => this.#onTimeout(), remainingMs);
        this.#dependencies.retryBudgets.recordRequest(this.#service, this.#nowMs);
        // A request that waited in the socket is read before its caller's close, which the next poll finds.
        await waitForEventLoopPoll();
        if (this.#isOver) {
            return;
        }
        if (!await this.#reserve() || this.#isOver) {
            return;
        }
        this.#sendNext();
    }

    /** The caller closed its connection: what is not written is not sent, and only orders that are written go on. */
    onCallerDisconnect(): void {
        if (this.#isOver) {
            return;
        }
        const leave = describeDisconnect(this.#attempt, this.#firstByteMs !== undefined, this.#nowMs);
        this.#dependencies.metrics.counters.add(DisconnectCounters[leave.stage]);
        const details = { ...leave, ...this.#dependencies.hostLoad() };
        if (leave.writtenAgeMs !== undefined && this.#request.route.kind === "nonIdempotent") {
            this.#isCallerGone = true;
            log.info("caller left, its request goes on", {
                request: this.#request.requestId,
                ...this.#describe(),
                ...details,
            });
            return;
        }
        this.#abandonAttempt();
        this.#conclude("callerGone", details);
    }

    onWritten(bytes: number): void {
        this.#dependencies.linkBacklog.recordWritten(bytes);
    }

    onHead(head: ResponseHead): boolean {
        const elapsedMs = this.#nowMs - this.#request.arrivedAtMs;
        this.#firstByteMs = Math.round(elapsedMs);
        this.#dependencies.metrics.recordTimeToFirstByte(elapsedMs);
        const isStream = head.headersByName.get("content-type")?.startsWith("text/event-stream") === true;
        return isStream && head.statusCode < 300 && this.#relay.begin(head);
    }

    onBody(bytes: Buffer, attempt: Attempt): boolean {
        this.#notePause();
        const outcome = this.#relay.push(bytes);
        if (outcome === "outOfOrder" || outcome === "tooLong") {
            attempt.cancel();
            const detail = outcome === "tooLong" ? "more events than output tokens" : "events are out of order";
            this.onEnd({ status: "interrupted", reason: "malformed", detail });
            return true;
        }
        if (outcome === "callerIsSlow") {
            this.#answer.onceDrained(() => attempt.resume());
        }
        return outcome === "written";
    }

    #notePause(): void {
        const nowMs = this.#nowMs;
        this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - (this.#wentOnMs ?? nowMs));
        this.#wentOnMs = nowMs;
    }

    onEnd(end: AttemptOutcome): void {
        if (this.#isOver) {
            return;
        }
        this.#attempt = undefined;
        if (end.status === "interrupted") {
            this.#relay.interrupt();
        }
        this.#history.recordOutcome(end, this.#relay.hasRelayedEvents);
        if (end.status === "answered") {
            this.#onAnswered(end.head, end.body);
            return;
        }
        log.info("attempt failed", { request: this.#request.requestId, ...this.#describe(), ...end });
        if (this.#isCallerGone) {
            this.#conclude("callerGone");
        }
        else if (this.#mayRepeat(end)) {
            this.#repeat();
        }
        else {
            this.#giveUp(end);
        }
    }

    /** Sends once more after this turn of the event loop, which may have found the caller's close as well. */
    #repeat(): void {
        setImmediate(() => {
            if (!this.#isOver) {
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

    /** @returns Whether the tokens are reserved; otherwise the request is answered. */
    async #reserve(): Promise<boolean> {
        const refusal = await this.#budget.reserve(this.#remainingMs, this.#ended.signal);
        if (refusal === undefined) {
            if (this.#isOver) {
                this.#settle(false);
            }
            return true;
        }
        if (this.#isOver) {
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
        const upstream = this.#choose();
        if (upstream === undefined) {
            const retryAfterMs = Math.max(this.#retryAfterMs(), this.#shortestRestMs);
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
                prefillTokens: this.#request.facts.tokenCounts?.promptTokens ?? 0,
                maxIdleMs: this.#history.isRepeatable ? IdempotentIdleMs : NonIdempotentIdleMs,
                silentAfterMs: Math.max(ShortestSilenceMs, objectiveMs * SilenceObjectives),
                inactivityTimeoutMs: this.#silenceLimitMs(),
            },
            this.#dependencies.codec,
            this.#dependencies.clock,
            this,
        );
    }

    #choose(): Upstream | undefined {
        const { route, facts } = this.#request;
        return chooseUpstream({
            candidates: this.#dependencies.directory.findUsable(this.#service),
            promptParts: facts.promptParts,
            promptTokens: facts.tokenCounts?.promptTokens ?? 0,
            excludedUpstreamIds: this.#history.triedUpstreamIds,
            zone: this.#dependencies.zone,
            isGeneration: route.isGeneration,
            nowMs: this.#nowMs,
            peerLoad: upstream => this.#dependencies.peerLoad(upstream),
        }, this.#dependencies.random);
    }

    /** Time until the first upstream takes requests again, in milliseconds; 0 when one does, or when there is none. */
    get #shortestRestMs(): number {
        const nowMs = this.#nowMs;
        const restsMs = this.#dependencies.directory.findUsable(this.#service).map(upstream =>
            upstream.remainingBackoffMs(nowMs)
        );
        return restsMs.length === 0 ? 0 : Math.min(...restsMs);
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

    /** Silence ends an attempt only if the request can still run elsewhere. */
    #silenceLimitMs(): number | undefined {
        return this.#history.canRetryNextRun ?
            Math.max(ShortestSilenceMs, this.#request.route.objectiveMs * SilenceObjectives) :
            undefined;
    }

    /** Whether another send is allowed, useful and within the budget of repeated sends. */
    #mayRepeat(end: AttemptOutcome): boolean {
        const canContinue = !this.#relay.hasRelayedEvents || this.#relay.lastEventId !== undefined;
        if (!this.#history.canRetry(end, canContinue) || this.#remainingMs < LeastUsefulMs) {
            return false;
        }
        return end.status === "unreachable" || this.#dependencies.retryBudgets.tryAcquire(this.#service, this.#nowMs);
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
        if (head.statusCode >= 500 && this.#mayRepeat(failed)) {
            this.#repeat();
            return;
        }
        this.#answer.start(head);
        this.#answer.end(body);
        this.#conclude(head.statusCode < 400 ? "complete" : "upstreamFailure");
    }

    #giveUp(end: AttemptOutcome): void {
        if (end.status === "notExecuted" || end.status === "unreachable") {
            const { ran } = this.#history;
            const code = ran === "no" ? "NoUpstream" : "UpstreamFailed";
            this.#fail({ code, ran, retryAfterMs: this.#retryAfterMs() }, `upstream: ${end.status}`);
            return;
        }
        this.#fail({ code: "UpstreamFailed", ran: this.#history.ran }, "the upstream failed");
    }

    #onTimeout(): void {
        this.#abandonAttempt();
        const { ran } = this.#history;
        this.#fail({ code: ran === "no" ? "Overloaded" : "UpstreamTimeout", ran }, "time is over");
    }

    /** Stops the running attempt; what it generated after the last event that arrived is not known. */
    #abandonAttempt(): void {
        if (this.#attempt === undefined) {
            return;
        }
        this.#attempt.cancel();
        if (this.#attempt.writtenAtMs !== undefined) {
            this.#isAbandoned = true;
            this.#history.recordCancellation(this.#relay.hasRelayedEvents);
        }
    }

    #retryAfterMs(): number {
        return Math.max(0, Math.min(LongestRetryAfterMs, this.#remainingMs * RetryAfterPart));
    }

    #fail(failure: EdgeFailure, cause: string): void {
        if (this.#isOver) {
            return;
        }
        this.#answer.sendError(failure);
        this.#conclude("failed", { ...failure, cause });
    }

    /** Settles, counts and logs the end of the request. */
    #conclude(outcome: RequestOutcome, details: Record<string, unknown> = {}): void {
        this.#isOver = true;
        this.#ended.abort();
        this.#attempt = undefined;
        clearTimeout(this.#endTimer);
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

    /** @param isComplete Whether the caller got a whole successful answer. */
    #settle(isComplete: boolean): number {
        return this.#budget.settle({
            tokensPerEvent: this.#request.table.findService(this.#service)?.engine?.tokensPerEvent,
            eventCount: this.#relay.eventCount,
            isComplete,
            isCancelled: this.#isAbandoned,
        });
    }

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
