/** The course of one request: route, authenticate, reserve, send, relay, settle. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { RanState } from "../../base/resultCodes.js";
import type { BudgetKeeper } from "../budget/budgetKeeper.js";
import type { Reservation } from "../budget/teamAccount.js";
import type { CallerFacts, EdgeTeam, Route } from "../edgeTypes.js";
import { EdgeCounterNames, type EdgeMetrics } from "../metrics.js";
import type { PeerLoad } from "../peers/peerLoads.js";
import type { HeaderCodec, RawHeaders } from "../protocolCodec.js";
import { chooseService, type RouteTable } from "../routing/routeTable.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { OutgoingRequest } from "../transport/upstreamConnection.js";
import type { Upstream } from "../upstream/upstream.js";
import { chooseUpstream } from "../upstream/upstreamChoice.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { Attempt, type AttemptEnd, type AttemptListener } from "./attempt.js";
import type { CallerAnswer, EdgeFailure } from "./callerAnswer.js";
import { costOfRequest } from "./requestCost.js";
import type { RetryBudgets } from "./retryBudgets.js";
import { serialiseRequest } from "./serialiseRequest.js";
import { StreamRelay } from "./streamRelay.js";

/** What all requests share. */
export interface FlowParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly codec: HeaderCodec;
    readonly directory: UpstreamDirectory;
    readonly budgets: BudgetKeeper;
    readonly retries: RetryBudgets;
    readonly metrics: EdgeMetrics;
    readonly zone: string;
    /** @returns Load that other hosts put on an upstream. */
    othersLoad(upstream: Upstream): PeerLoad;
}

/** A caller's request, routed and read. */
export interface EdgeRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    readonly headers: RawHeaders;
    readonly body: Buffer | undefined;
    readonly facts: CallerFacts;
    readonly route: Route;
    readonly team: EdgeTeam | undefined;
    readonly table: RouteTable;
    /** Monotonic time of arrival and of the latest answer, in milliseconds. */
    readonly arrivedMs: number;
    readonly endsMs: number;
}

/** Sends at which nothing ran that one request may cause beyond its attempts. */
const MaxExtraSends = 2;

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

/**
 * Retry-After by the reason why tokens are not available, in milliseconds: at once where another host, to which a retry
 * goes, holds them; after the next division among hosts; after a top-up, of which a day has a few.
 */
const BudgetRetryMs = { exhausted: undefined, heldElsewhere: 20, fragmented: 1_500, atRisk: 5_000 } as const;

/** How a request ended, with the counter of each way. */
const OutcomeCounters = {
    complete: EdgeCounterNames.requestsComplete,
    upstreamFailure: EdgeCounterNames.requestsFailedUpstream,
    callerGone: EdgeCounterNames.requestsCallerGone,
    failed: EdgeCounterNames.requestsFailed,
} as const;
type RequestOutcome = keyof typeof OutcomeCounters;

/** Serves one request. */
export class RequestFlow implements AttemptListener {
    readonly #parts: FlowParts;
    readonly #request: EdgeRequest;
    readonly #answer: CallerAnswer;
    readonly #service: string;
    readonly #relay: StreamRelay;
    readonly #tried = new Set<string>();
    #attempt: Attempt | undefined;
    #endTimer: NodeJS.Timeout | undefined;
    #reservation: Reservation | undefined;
    #ran: RanState = "no";
    /** Attempts that may have run. */
    #runs = 0;
    #sends = 0;
    /** Whether a running attempt was stopped. */
    #isAbandoned = false;
    /** Time from the arrival to the latest attempt's first byte, in milliseconds. */
    #firstByteMs: number | undefined;
    #isOver = false;

    constructor(parts: FlowParts, request: EdgeRequest, answer: CallerAnswer) {
        this.#parts = parts;
        this.#request = request;
        this.#answer = answer;
        this.#service = chooseService(request.route, parts.random.next());
        this.#relay = new StreamRelay(answer, request.facts.lastEventId);
    }

    /** Runs the request to its end. */
    async run(): Promise<void> {
        const remainingMs = this.#remainingMs;
        if (remainingMs <= 0) {
            this.#fail({ code: "Overloaded", ran: "no" }, "no time left");
            return;
        }
        this.#endTimer = setTimeout(() => this.#onTimeout(), remainingMs);
        this.#parts.retries.countRequest(this.#service, this.#nowMs);
        if (!await this.#reserve() || this.#isOver) {
            return;
        }
        this.#sendNext();
    }

    /** The caller closed its connection: work that may be repeated or is a stream stops at the upstream. */
    onCallerGone(): void {
        if (this.#isOver) {
            return;
        }
        if (this.#attempt !== undefined && this.#request.route.kind === "nonIdempotent") {
            return;
        }
        this.#abandonAttempt();
        this.#conclude("callerGone");
    }

    onHead(head: ResponseHead): boolean {
        const elapsedMs = this.#nowMs - this.#request.arrivedMs;
        this.#firstByteMs = Math.round(elapsedMs);
        this.#parts.metrics.recordAnswer(elapsedMs);
        const isStream = head.byName.get("content-type")?.startsWith("text/event-stream") === true;
        return isStream && head.statusCode < 300 && this.#relay.begin(head);
    }

    onBody(bytes: Buffer, attempt: Attempt): boolean {
        const outcome = this.#relay.push(bytes);
        if (outcome === "outOfOrder") {
            attempt.cancel();
            this.onEnd({ status: "interrupted", reason: "malformed", detail: "events are out of order" });
            return true;
        }
        if (outcome === "callerIsSlow") {
            this.#answer.onDrain(() => attempt.resume());
        }
        return outcome === "written";
    }

    onEnd(end: AttemptEnd): void {
        if (this.#isOver) {
            return;
        }
        this.#attempt = undefined;
        this.#noteRan(end);
        if (end.status === "answered") {
            this.#onAnswered(end.head, end.body);
            return;
        }
        log.info("attempt failed", { request: this.#request.requestId, ...this.#describe(), ...end });
        if (this.#mayRepeat(end)) {
            this.#sendNext();
        }
        else {
            this.#giveUp(end);
        }
    }

    get #nowMs(): number {
        return this.#parts.clock.monotonicMs();
    }

    get #remainingMs(): number {
        return this.#request.endsMs - this.#nowMs;
    }

    get #isRepeatable(): boolean {
        return this.#request.route.kind === "idempotent" || this.#isResumable;
    }

    get #isResumable(): boolean {
        const { route } = this.#request;
        return route.kind === "streaming" && route.isResumable;
    }

    /** @returns Whether the tokens are reserved; otherwise the request is answered. */
    async #reserve(): Promise<boolean> {
        const { requestId, team, facts } = this.#request;
        if (team === undefined || facts.tokens === undefined) {
            return true;
        }
        const costTokens = facts.tokens.promptTokens + facts.tokens.maxOutputTokens;
        const outcome = await this.#parts.budgets.reserve(requestId, team.name, costTokens, this.#remainingMs);
        if (typeof outcome !== "string") {
            this.#reservation = outcome;
            if (this.#isOver) {
                this.#settle(false);
            }
            return true;
        }
        this.#parts.metrics.counters.add(EdgeCounterNames.budgetRefusals);
        const isExhausted = outcome === "exhausted";
        this.#fail({
            code: isExhausted ? "BudgetExhausted" : "BudgetUnavailable",
            ran: "no",
            retryAfterMs: BudgetRetryMs[outcome],
        }, `budget of ${team.name}: ${costTokens} tokens not available`);
        return false;
    }

    #sendNext(): void {
        const upstream = this.#choose();
        if (upstream === undefined) {
            this.#fail({ code: "NoUpstream", ran: this.#ran, retryAfterMs: this.#retryAfterMs() }, "no upstream");
            return;
        }
        this.#sends++;
        this.#parts.metrics.counters.add(EdgeCounterNames.sends);
        if (this.#sends > 1) {
            this.#parts.metrics.counters.add(EdgeCounterNames.repeatedSends);
        }
        this.#tried.add(upstream.entry.id);
        const { route, requestId, facts } = this.#request;
        const { objectiveMs } = route;
        this.#attempt = new Attempt(
            {
                upstream,
                request: this.#serialise(upstream),
                requestId,
                prefillTokens: facts.tokens?.promptTokens ?? 0,
                maxIdleMs: this.#isRepeatable ? IdempotentIdleMs : NonIdempotentIdleMs,
                patienceMs: Math.max(ShortestSilenceMs, objectiveMs * SilenceObjectives),
                silenceLimitMs: this.#silenceLimitMs(),
            },
            this.#parts.codec,
            this.#parts.clock,
            this,
        );
    }

    #choose(): Upstream | undefined {
        const { route, facts } = this.#request;
        return chooseUpstream({
            candidates: this.#parts.directory.usable(this.#service),
            promptParts: facts.promptParts,
            promptTokens: facts.tokens?.promptTokens ?? 0,
            excluded: this.#tried,
            zone: this.#parts.zone,
            isGeneration: route.isGeneration,
            nowMs: this.#nowMs,
            othersLoad: upstream => this.#parts.othersLoad(upstream),
        }, this.#parts.random);
    }

    #serialise(upstream: Upstream): OutgoingRequest {
        const { method, target, headers, body, team, route } = this.#request;
        const encoded = this.#parts.codec.encodeDispatch(headers, {
            upstreamId: upstream.entry.id,
            team: team?.name,
            remainingMs: Math.max(1, Math.floor(this.#remainingMs)),
            enginePriority: route.isGeneration ? team?.priority ?? route.priority : undefined,
            resumeAfterEventId: this.#relay.hasEvents ? this.#relay.lastEventId : undefined,
        });
        return serialiseRequest(method, target, encoded, body);
    }

    /** Silence ends an attempt only if the request can still run elsewhere. */
    #silenceLimitMs(): number | undefined {
        const { route } = this.#request;
        if (!this.#isRepeatable || this.#runs + 1 >= route.maxAttempts) {
            return undefined;
        }
        return Math.max(ShortestSilenceMs, route.objectiveMs * SilenceObjectives);
    }

    #noteRan(end: AttemptEnd): void {
        if (end.status === "answered") {
            this.#runs++;
            this.#ran = "yes";
        }
        else if (end.status === "interrupted") {
            this.#relay.interrupt();
            this.#runs++;
            this.#ran = this.#relay.hasEvents ? "yes" : this.#ran === "no" ? "unknown" : this.#ran;
        }
    }

    /** Whether another send is allowed, useful and within the budget of repeated sends. */
    #mayRepeat(end: AttemptEnd): boolean {
        const { route } = this.#request;
        const nothingRan = end.status === "unreachable" || end.status === "notExecuted";
        const isAllowed = nothingRan ?
            this.#sends - this.#runs <= MaxExtraSends :
            this.#isRepeatable && this.#runs < route.maxAttempts &&
            (!this.#relay.hasEvents || this.#relay.lastEventId !== undefined);
        if (!isAllowed || this.#remainingMs < LeastUsefulMs) {
            return false;
        }
        return end.status === "unreachable" || this.#parts.retries.take(this.#service, this.#nowMs);
    }

    #onAnswered(head: ResponseHead, body: Buffer): void {
        if (this.#relay.isOpen) {
            this.#relay.finish();
            this.#conclude("complete");
            return;
        }
        const failed: AttemptEnd = { status: "interrupted", reason: "malformed", detail: `status ${head.statusCode}` };
        if (this.#relay.hasEvents || (head.statusCode >= 500 && this.#mayRepeat(failed))) {
            this.#repeatAfter(failed);
            return;
        }
        this.#answer.start(head);
        this.#answer.end(body);
        this.#conclude(head.statusCode < 400 ? "complete" : "upstreamFailure");
    }

    /** A failed answer of an upstream is replaced by another run, or ends a stream that had begun. */
    #repeatAfter(failed: AttemptEnd): void {
        if (this.#relay.hasEvents) {
            this.#giveUp(failed);
        }
        else {
            this.#sendNext();
        }
    }

    #giveUp(end: AttemptEnd): void {
        if (end.status === "notExecuted" || end.status === "unreachable") {
            const code = this.#ran === "no" ? "NoUpstream" : "UpstreamFailed";
            this.#fail({ code, ran: this.#ran, retryAfterMs: this.#retryAfterMs() }, `upstream: ${end.status}`);
            return;
        }
        this.#fail({ code: "UpstreamFailed", ran: this.#ran }, "the upstream failed");
    }

    #onTimeout(): void {
        this.#abandonAttempt();
        const ran = this.#ran;
        this.#fail({ code: ran === "no" ? "Overloaded" : "UpstreamTimeout", ran }, "time is over");
    }

    /** Stops the running attempt; what it generated after the last event that arrived is not known. */
    #abandonAttempt(): void {
        if (this.#attempt === undefined) {
            return;
        }
        this.#attempt.cancel();
        this.#isAbandoned = true;
        this.#ran = this.#relay.hasEvents ? "yes" : this.#ran === "no" ? "unknown" : this.#ran;
    }

    #retryAfterMs(): number {
        return Math.max(0, Math.min(LongestRetryAfterMs, this.#remainingMs * RetryAfterPart));
    }

    #fail(failure: EdgeFailure, cause: string): void {
        if (this.#isOver) {
            return;
        }
        this.#answer.fail(failure);
        this.#conclude("failed", { ...failure, cause });
    }

    /** Settles, counts and logs the end of the request. */
    #conclude(outcome: RequestOutcome, details: Record<string, unknown> = {}): void {
        this.#isOver = true;
        this.#attempt = undefined;
        clearTimeout(this.#endTimer);
        const chargedTokens = this.#settle(outcome === "complete");
        this.#parts.metrics.counters.add(OutcomeCounters[outcome]);
        this.#parts.metrics.counters.add(EdgeCounterNames.tokensCharged, chargedTokens);
        log.info(outcome === "failed" ? "request failed" : "request ended", {
            request: this.#request.requestId,
            ...this.#describe(),
            outcome,
            chargedTokens,
            ...details,
        });
    }

    /** @param isAnswered Whether the caller got a whole successful answer. */
    #settle(isAnswered: boolean): number {
        const { team, facts, table } = this.#request;
        const reservation = this.#reservation;
        if (team === undefined || facts.tokens === undefined || reservation === undefined) {
            return 0;
        }
        const reservedTokens = reservation.ownTokens + reservation.borrowedTokens;
        const costTokens = Math.min(
            reservedTokens,
            costOfRequest({
                tokens: facts.tokens,
                reservedTokens,
                tokensPerEvent: table.findService(this.#service)?.engine?.tokensPerEvent,
                eventCount: this.#relay.eventCount,
                isAnswered,
                isAbandoned: this.#isAbandoned,
            }),
        );
        this.#parts.budgets.settle(team.name, reservation, costTokens);
        this.#reservation = undefined;
        return costTokens;
    }

    #describe(): Record<string, unknown> {
        const { route, team, table } = this.#request;
        return {
            route: route.name,
            team: team?.name,
            configuration: table.configuration.version,
            upstreams: [...this.#tried].join(","),
            sends: this.#sends,
            ran: this.#ran,
            events: this.#relay.eventCount,
            firstByteMs: this.#firstByteMs,
            elapsedMs: Math.round(this.#nowMs - this.#request.arrivedMs),
        };
    }
}
