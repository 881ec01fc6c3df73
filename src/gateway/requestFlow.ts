/** Processes one request: plan, claim, reserve, admit, dispatch, relay, settle. */
import { log } from "../base/log.js";
import type { ExecutionState } from "../base/resultCodes.js";
import type { AdmissionRequest } from "../features/admission/admissionTypes.js";
import { grantBudgetName } from "../features/budget/budgetTypes.js";
import type { WorkClass } from "../features/config/configTypes.js";
import { claimId } from "../features/idempotency/idempotencyTypes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import { createAdmissionRequest } from "./admissionRequest.js";
import { Attempt, type AttemptListener } from "./attempt.js";
import { AttemptGroup, type AttemptGroupDelegate, type AttemptGroupOutcome } from "./attemptGroup.js";
import type { FinishedRequest } from "./billing.js";
import type { CallerResponse, ErrorResponse } from "./callerResponse.js";
import { getDispatchTimeouts } from "./dispatchTimeouts.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";
import { getHedgeDelayMs } from "./hedgeDelay.js";
import { buildResponseHeaders, buildUpstreamHeaders } from "./relayHeaders.js";
import { ReplayRecorder } from "./replayRecorder.js";
import { createRefusalError, RequestError } from "./requestError.js";
import { type RequestHoldings, settleRequest } from "./settlement.js";
import type { StopLimit } from "./stopLimit.js";

/**
 * Processes one request: plans its route, claims its idempotency key, reserves tokens, dispatches it to upstreams, relays
 * the response and settles the reservations and the claim.
 */
export class RequestFlow implements AttemptGroupDelegate {
    readonly #dependencies: GatewayDependencies;
    readonly #stopLimit: StopLimit;
    readonly #request: CallerRequest;
    readonly #response: CallerResponse;
    readonly #startedAtMs: number;
    readonly #claimId: string | undefined;
    #plan!: RoutePlan;
    #claimHeld = false;
    #fencingNumber: number | undefined;
    #grantReserved = false;
    #tokensReserved = false;
    /** Whether the request ran, as far as is known from all attempts. */
    #executionState: ExecutionState = "no";
    #group: AttemptGroup | undefined;
    /** Work class that the engine gets with the next dispatch, when the admission chose another than the request's own. */
    #engineClass: WorkClass | undefined;
    #isWaitingForAdmission = false;
    #waitTimer: NodeJS.Timeout | undefined;
    #isInterrupted = false;
    readonly #recorder: ReplayRecorder;
    #pausedAttempt: Attempt | undefined;
    #stallTimer: NodeJS.Timeout | undefined;

    constructor(
        dependencies: GatewayDependencies,
        stopLimit: StopLimit,
        request: CallerRequest,
        response: CallerResponse,
    ) {
        this.#dependencies = dependencies;
        this.#stopLimit = stopLimit;
        this.#request = request;
        this.#response = response;
        this.#startedAtMs = dependencies.clock.monotonicMs();
        this.#claimId = request.idempotencyKey === undefined ?
            undefined :
            claimId(request.team, request.idempotencyKey);
        this.#recorder = new ReplayRecorder(this.#claimId !== undefined);
    }

    /** Processes the request until it is settled. Reports failures to the caller; never throws. */
    async run(): Promise<void> {
        this.#response.onCallerDisconnect(() => this.#onCallerDisconnected());
        try {
            this.#plan = this.#createPlan();
            this.#throwIfStopping();
            if (await this.#claim()) {
                return;
            }
            await this.#reserveGrant();
            await this.#reserveTokens();
            await this.#dispatch();
        }
        catch (error) {
            const failure: ErrorResponse = error instanceof RequestError ?
                error.response :
                { code: "InternalError", detail: String(error) };
            if (this.#group !== undefined) {
                // An unexpected exception during a dispatch: the request may have run.
                this.#group.cancel();
                this.#executionState = "unknown";
            }
            this.#dependencies.kernel.counters.add(`gateway.failed.${failure.code}`);
            this.#settle("cut", undefined);
            this.#response.sendError({ ...failure, ran: this.#executionStateFor(failure) });
        }
    }

    #createPlan(): RoutePlan {
        const plan = this.#dependencies.planRoute(
            this.#dependencies.kernel.board.config.resources,
            this.#request.query,
        );
        if (plan.isErr) {
            throw createRefusalError(plan.error);
        }
        if (!plan.value.repeatable && this.#claimId === undefined) {
            throw createRefusalError("KeyRequired");
        }
        return plan.value;
    }

    /**
     * Claims the idempotency key, if the request has one.
     * @returns Whether a stored response was replayed.
     */
    async #claim(): Promise<boolean> {
        const { idempotencyKey, requestId, bodyHash } = this.#request;
        if (this.#claimId === undefined || idempotencyKey === undefined) {
            return false;
        }
        const { repeatable } = this.#plan;
        const outcome = await this.#dependencies.controllerClient.claimIdempotencyKey({
            claimId: this.#claimId,
            idempotencyKey,
            requestId,
            bodyHash,
            repeatable,
        });
        if (outcome.status === "refused") {
            throw createRefusalError(outcome.code, outcome.retryAfterMs);
        }
        if (outcome.status === "replay") {
            this.#dependencies.kernel.counters.add("gateway.replayed");
            this.#response.replay(outcome.answer);
            return true;
        }
        if (outcome.status === "deferred" && !repeatable) {
            throw createRefusalError("ClaimUnavailable");
        }
        this.#claimHeld = true;
        this.#fencingNumber = outcome.status === "held" ? outcome.fencingNumber : undefined;
        return false;
    }

    /** Reserves a use of the priority grant. Without an available use, the request runs in its ordinary class. */
    async #reserveGrant(): Promise<void> {
        const { grant } = this.#plan;
        if (grant === undefined) {
            return;
        }
        const outcome = await this.#dependencies.controllerClient.reserveTokens(
            this.#grantReservationId,
            grantBudgetName(grant),
            1,
            this.#dependencies.settings.grantWaitMs,
        );
        this.#grantReserved = outcome.status === "granted";
    }

    async #reserveTokens(): Promise<void> {
        const { budget, costTokens, deadlineMs } = this.#plan;
        const remainingMs = this.#stopLimit.getRemainingWaitMs(this.#request, this.#plan);
        const waitMs = Math.max(0, Math.min(deadlineMs, this.#dependencies.settings.budgetWaitMs, remainingMs));
        const outcome = await this.#dependencies.controllerClient.reserveTokens(
            this.#request.requestId,
            budget,
            costTokens,
            waitMs,
        );
        if (outcome.status === "refused") {
            this.#throwIfStopping();
            throw createRefusalError(outcome.code, outcome.retryAfterMs);
        }
        this.#tokensReserved = true;
    }

    async #dispatch(): Promise<void> {
        const excluded: string[] = [];
        let upstream = await this.#admit(() =>
            this.#dependencies.controllerClient.requestAdmission(this.#createAdmissionRequest(excluded))
        );
        for (let attemptCount = 1;; attemptCount++) {
            const group = new AttemptGroup(this);
            this.#group = group;
            const outcome = await group.run(
                upstream,
                getHedgeDelayMs(this.#dependencies, this.#request, this.#plan, upstream),
            );
            this.#group = undefined;
            this.#recordExecutionState(outcome);
            if (outcome.status !== "failed") {
                this.#finish(outcome);
                return;
            }
            excluded.push(...group.triedUpstreams);
            if (attemptCount >= this.#dependencies.settings.maxAttempts || !this.#canRetry(outcome)) {
                throw this.#createFailure(outcome);
            }
            upstream = await this.#readmit(outcome, excluded);
        }
    }

    /**
     * Requests another upstream after a failed attempt. If none is available, the request ends with the failure of the
     * last attempt; if nothing was sent in that attempt, it ends with the refusal of the admission.
     */
    async #readmit(outcome: AttemptGroupOutcome, excluded: readonly string[]): Promise<string> {
        try {
            return await this.#admit(() =>
                this.#dependencies.controllerClient.requestAnotherUpstream(
                    this.#createAdmissionRequest(excluded),
                    "retry",
                )
            );
        }
        catch (error) {
            const nothingSent = outcome.result?.dispatchResult === "unreachable";
            throw error instanceof RequestError && nothingSent ? error : this.#createFailure(outcome);
        }
    }

    async #admit(
        requestUpstream: () => ReturnType<GatewayDependencies["controllerClient"]["requestAdmission"]>,
    ): Promise<string> {
        this.#throwIfCallerDisconnected();
        this.#throwIfStopping();
        this.#isWaitingForAdmission = true;
        this.limitWait();
        const outcome = await requestUpstream();
        clearTimeout(this.#waitTimer);
        this.#isWaitingForAdmission = false;
        if (outcome.status === "refused") {
            this.#throwIfStopping();
            throw createRefusalError(outcome.code, outcome.retryAfterMs);
        }
        this.#throwIfCallerDisconnected();
        this.#throwIfStopping();
        this.#engineClass = outcome.enginePriority;
        return outcome.upstream;
    }

    /** Prevents a dispatch for a caller that has disconnected, and frees an upstream that was already chosen. */
    #throwIfCallerDisconnected(): void {
        if (this.#response.isCallerDisconnected) {
            this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
            throw createRefusalError("Overloaded");
        }
    }

    /** Ends a wait for an upstream at the moment from which the request could no longer end before this host stops. */
    limitWait(): void {
        const remainingMs = this.#isWaitingForAdmission ?
            this.#stopLimit.getRemainingWaitMs(this.#request, this.#plan) :
            Number.POSITIVE_INFINITY;
        clearTimeout(this.#waitTimer);
        if (remainingMs !== Number.POSITIVE_INFINITY) {
            // A timer may end a little early; the check after the wait must see that the time has passed.
            const cancel = (): void => this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
            this.#waitTimer = setTimeout(cancel, Math.max(0, remainingMs) + 2);
        }
    }

    /** Ends a request that was sent, because this host stops: its bill is settled and the caller gets an error. */
    interrupt(): void {
        if (this.#group !== undefined && !this.#isWaitingForAdmission) {
            this.#isInterrupted = true;
            this.#group.cancel();
        }
    }

    #reportInterruption(): void {
        const { kernel } = this.#dependencies;
        const { shutdownRequestedAtMs = 0 } = kernel.board.lifecycle;
        kernel.counters.add("gateway.cutByStop");
        log.warn("request cut off: this host stops", {
            requestId: this.#request.requestId,
            arrivedAfterSignalMs: Math.round(this.#startedAtMs - shutdownRequestedAtMs),
        });
        this.#response.fail({ code: "ShuttingDown", ran: this.#executionState, retryAfterMs: 0 }, this.#isStream);
    }

    /** Prevents a send that could not end before this host stops, and frees an upstream that was already chosen. */
    #throwIfStopping(): void {
        if (!this.#stopLimit.canBegin(this.#request, this.#plan)) {
            this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
            throw createRefusalError("ShuttingDown", 0);
        }
    }

    /** Work that may not be repeated is sent again only if no byte of it can have left this host. */
    #canRetry(outcome: AttemptGroupOutcome): boolean {
        const result = outcome.result?.dispatchResult;
        if (this.#response.isCallerDisconnected) {
            return false;
        }
        if (!this.#plan.repeatable) {
            return result === "unreachable" && this.#executionState === "no";
        }
        return result !== "refused" || outcome.attempt?.head?.statusCode === 429;
    }

    #createFailure(outcome: AttemptGroupOutcome): RequestError {
        const { result } = outcome;
        return new RequestError({
            code: result?.code ?? "UpstreamFailed",
            retryAfterMs: result?.retryAfterMs,
            detail: result?.detail,
        });
    }

    #recordExecutionState(outcome: AttemptGroupOutcome): void {
        if (
            outcome.status === "whole" || outcome.status === "cut" ||
            outcome.status === "cancelled" && outcome.attempt !== undefined
        ) {
            this.#executionState = "yes";
        }
        else if (!outcome.definitelyNotRun && this.#executionState === "no") {
            this.#executionState = "unknown";
        }
    }

    /**
     * @returns The execution state to report with an error. An earlier attempt that may have run overrides an error code
     * that implies "not run"; codes about an earlier request with the same key keep their own state (`undefined`).
     */
    #executionStateFor(failure: ErrorResponse): ExecutionState | undefined {
        const describesEarlierRequest = failure.code === "RequestRunning" || failure.code === "OutcomeUnknown" ||
            failure.code === "AnswerNotStored";
        return describesEarlierRequest ? undefined : this.#executionState;
    }

    #finish(outcome: AttemptGroupOutcome): void {
        const { attempt } = outcome;
        if (outcome.status === "whole" && attempt !== undefined) {
            this.#response.end();
            // The upstream connection is read to its end even if the caller has not received the response yet.
            this.#resumeAttempt();
            this.#stopLimit.record(this.#request, this.#plan, attempt);
            this.#settle("complete", attempt);
            this.#dependencies.kernel.counters.add("gateway.complete");
            return;
        }
        this.#settle("cut", attempt);
        this.#dependencies.kernel.counters.add(`gateway.${outcome.status}`);
        if (this.#isInterrupted) {
            this.#reportInterruption();
            return;
        }
        if (outcome.status === "cut") {
            const code = outcome.result?.code === "AnswerMismatch" ? "AnswerMismatch" : "StreamCut";
            this.#response.interrupt({ code, ran: "yes" }, this.#isStream);
        }
    }

    #settle(outcome: "complete" | "cut", attempt: Attempt | undefined): void {
        const finishedRequest: FinishedRequest = {
            request: this.#request,
            plan: this.#plan,
            claimId: this.#claimId,
            outcome,
            ran: this.#executionState,
            attempt,
        };
        const holdings: RequestHoldings = {
            areTokensReserved: this.#tokensReserved,
            grantReservationId: this.#grantReserved ? this.#grantReservationId : undefined,
            isClaimHeld: this.#claimHeld,
        };
        const storedResponse = outcome === "complete" ? this.#recorder.toStoredResponse(attempt?.head) : undefined;
        settleRequest(this.#dependencies.controllerClient, finishedRequest, holdings, storedResponse);
        this.#tokensReserved = false;
        this.#grantReserved = false;
        this.#claimHeld = false;
    }

    get #isStream(): boolean {
        return this.#request.responseKind === "chatStream";
    }

    get #grantReservationId(): string {
        return `${this.#request.requestId}/grant`;
    }

    #createAdmissionRequest(excluded: readonly string[]): AdmissionRequest {
        const elapsedMs = this.#dependencies.clock.monotonicMs() - this.#startedAtMs;
        const workClass = this.#grantReserved ? "urgent" : this.#plan.workClass;
        return createAdmissionRequest(this.#request, this.#plan, workClass, excluded, elapsedMs);
    }

    startAttempt(upstream: string, listener: AttemptListener): Attempt {
        const { kernel, upstreamClient, settings } = this.#dependencies;
        const { requestId, responseKind, method, path } = this.#request;
        const plan = this.#plan;
        const workClass = this.#grantReserved ? "urgent" : plan.workClass;
        return new Attempt(kernel, upstreamClient, {
            requestId,
            upstream,
            long: plan.long,
            responseKind,
            call: {
                url: kernel.board.config.resources.upstreams.get(upstream)?.url ?? "",
                method,
                path,
                headers: buildUpstreamHeaders(this.#request, this.#engineClass ?? workClass, this.#fencingNumber),
                body: this.#request.buildBody(plan),
                ...getDispatchTimeouts(settings, responseKind, plan),
            },
        }, listener);
    }

    async admitHedge(excluded: readonly string[]): Promise<string | undefined> {
        if (!this.#stopLimit.canBegin(this.#request, this.#plan)) {
            return undefined;
        }
        const outcome = await this.#dependencies.controllerClient.requestAnotherUpstream(
            this.#createAdmissionRequest(excluded),
            "hedge",
        );
        if (outcome.status === "refused") {
            return undefined;
        }
        this.#engineClass = outcome.enginePriority;
        return outcome.upstream;
    }

    onWinningAttempt(attempt: Attempt): void {
        const { head } = attempt;
        if (head !== undefined) {
            this.#response.writeHead(head.statusCode, buildResponseHeaders(this.#request.responseKind, head.headers));
        }
    }

    onResponseBytes(attempt: Attempt, bytes: Buffer): void {
        this.#recorder.add(bytes);
        if (!this.#response.write(bytes) && this.#pausedAttempt === undefined) {
            attempt.pause();
            this.#pausedAttempt = attempt;
            this.#stallTimer = setTimeout(() => this.#response.destroy(), this.#dependencies.settings.callerStallMs);
            this.#response.onDrain(() => this.#resumeAttempt());
        }
    }

    #resumeAttempt(): void {
        clearTimeout(this.#stallTimer);
        const attempt = this.#pausedAttempt;
        this.#pausedAttempt = undefined;
        // More bytes may arrive, and pause the attempt again, before this call returns.
        attempt?.resume();
    }

    /** Cancels the request, except work that may not be repeated: its response is stored for the caller's retry. */
    #onCallerDisconnected(): void {
        if (this.#isWaitingForAdmission) {
            this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
        }
        else if (this.#group !== undefined && (this.#plan.repeatable || this.#claimId === undefined)) {
            this.#group.cancel();
        }
        this.#resumeAttempt();
    }
}
