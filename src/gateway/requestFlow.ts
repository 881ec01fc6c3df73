/** The course of one request: plan, claim, reserve, admit, dispatch, relay, settle. */
import type { ExecutionState } from "../base/resultCodes.js";
import type { AdmissionRequest } from "../features/admission/admissionTypes.js";
import { grantBudgetName } from "../features/budget/budgetTypes.js";
import type { WorkClass } from "../features/config/configTypes.js";
import { claimId, type StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import { Attempt, type AttemptListener } from "./attempt.js";
import { AttemptGroup, type AttemptGroupDelegate, type AttemptGroupOutcome } from "./attemptGroup.js";
import { type FinishedRequest, grantBill, requestBill } from "./billing.js";
import type { CallerResponse, ErrorResponse } from "./callerResponse.js";
import { dispatchTimeouts } from "./dispatchTimeouts.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";
import { hedgeDelayMs } from "./hedgeDelay.js";
import { buildResponseHeaders, buildUpstreamHeaders } from "./relayHeaders.js";
import { ReplayRecorder } from "./replayRecorder.js";
import { createRefusalError, RequestError } from "./requestError.js";

/** Serves one request from its plan to its bill. */
export class RequestFlow implements AttemptGroupDelegate {
    readonly #dependencies: GatewayDependencies;
    readonly #request: CallerRequest;
    readonly #answer: CallerResponse;
    readonly #startedAtMs: number;
    readonly #claimId: string | undefined;
    #plan!: RoutePlan;
    #claimHeld = false;
    #fencingNumber: number | undefined;
    #grantReserved = false;
    #tokensReserved = false;
    /** What is known about whether the request ran, over all attempts. */
    #ran: ExecutionState = "no";
    #group: AttemptGroup | undefined;
    /** Class of the next dispatch towards the engine, when the admission differs from the request's own class. */
    #engineClass: WorkClass | undefined;
    #waitsForAdmission = false;
    readonly #recorder: ReplayRecorder;
    #pausedAttempt: Attempt | undefined;
    #stallTimer: NodeJS.Timeout | undefined;

    constructor(dependencies: GatewayDependencies, request: CallerRequest, answer: CallerResponse) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#answer = answer;
        this.#startedAtMs = dependencies.clock.monotonicMs();
        this.#claimId = request.idempotencyKey === undefined ?
            undefined :
            claimId(request.team, request.idempotencyKey);
        this.#recorder = new ReplayRecorder(this.#claimId !== undefined);
    }

    /** Serves the request. Never throws. */
    async run(): Promise<void> {
        this.#answer.onCallerDisconnect(() => this.#onCallerGone());
        try {
            this.#plan = this.#makePlan();
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
                // A program fault during a dispatch: the request may have run.
                this.#group.cancel();
                this.#ran = "unknown";
            }
            this.#dependencies.kernel.counters.add(`gateway.failed.${failure.code}`);
            this.#conclude("cut", undefined);
            this.#answer.sendError({ ...failure, ran: this.#ranFor(failure) });
        }
    }

    #makePlan(): RoutePlan {
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

    /** @returns Whether a stored answer was replayed. */
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
            this.#replay(outcome.answer);
            return true;
        }
        if (outcome.status === "deferred" && !repeatable) {
            throw createRefusalError("ClaimUnavailable");
        }
        this.#claimHeld = true;
        this.#fencingNumber = outcome.status === "held" ? outcome.fencingNumber : undefined;
        return false;
    }

    #replay(stored: StoredResponse): void {
        this.#dependencies.kernel.counters.add("gateway.replayed");
        const body = Buffer.from(stored.body);
        this.#answer.writeHead(stored.httpStatus, {
            "content-type": stored.contentType,
            "content-length": body.length,
            "idempotent-replay": "true",
        });
        this.#answer.write(body);
        this.#answer.end();
    }

    /** A grant of which no use can be had does not refuse the request: it runs in its ordinary class. */
    async #reserveGrant(): Promise<void> {
        const { grant } = this.#plan;
        if (grant === undefined) {
            return;
        }
        const outcome = await this.#dependencies.controllerClient.reserveTokens(
            this.#grantReservation,
            grantBudgetName(grant),
            1,
            this.#dependencies.settings.grantWaitMs,
        );
        this.#grantReserved = outcome.status === "granted";
    }

    async #reserveTokens(): Promise<void> {
        const { budget, costTokens, deadlineMs } = this.#plan;
        const waitMs = Math.min(deadlineMs, this.#dependencies.settings.budgetWaitMs);
        const outcome = await this.#dependencies.controllerClient.reserveTokens(
            this.#request.requestId,
            budget,
            costTokens,
            waitMs,
        );
        if (outcome.status === "refused") {
            throw createRefusalError(outcome.code, outcome.retryAfterMs);
        }
        this.#tokensReserved = true;
    }

    async #dispatch(): Promise<void> {
        const excluded: string[] = [];
        let upstream = await this.#admit(() =>
            this.#dependencies.controllerClient.requestAdmission(this.#workItem(excluded))
        );
        for (let attempts = 1;; attempts++) {
            const group = new AttemptGroup(this);
            this.#group = group;
            const end = await group.run(
                upstream,
                hedgeDelayMs(this.#dependencies, this.#request, this.#plan, upstream),
            );
            this.#group = undefined;
            this.#noteRan(end);
            if (end.status !== "failed") {
                this.#finish(end);
                return;
            }
            excluded.push(...group.triedUpstreams);
            if (attempts >= this.#dependencies.settings.maxAttempts || !this.#mayRetry(end)) {
                throw this.#failureOf(end);
            }
            upstream = await this.#readmit(end, excluded);
        }
    }

    /** Asks for another upstream; when there is none, the request ends with the failure of the last attempt. */
    async #readmit(end: AttemptGroupOutcome, excluded: readonly string[]): Promise<string> {
        try {
            return await this.#admit(() =>
                this.#dependencies.controllerClient.requestAnotherUpstream(this.#workItem(excluded), "retry")
            );
        }
        catch (error) {
            const nothingSent = end.result?.dispatchResult === "unreachable";
            throw error instanceof RequestError && nothingSent ? error : this.#failureOf(end);
        }
    }

    async #admit(ask: () => ReturnType<GatewayDependencies["controllerClient"]["requestAdmission"]>): Promise<string> {
        this.#stopIfGone();
        this.#waitsForAdmission = true;
        const outcome = await ask();
        this.#waitsForAdmission = false;
        if (outcome.status === "refused") {
            throw createRefusalError(outcome.code, outcome.retryAfterMs);
        }
        this.#stopIfGone();
        this.#engineClass = outcome.enginePriority;
        return outcome.upstream;
    }

    /** Nothing is dispatched for a caller that has gone; an upstream that was already chosen is free again. */
    #stopIfGone(): void {
        if (this.#answer.isCallerDisconnected) {
            this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
            throw createRefusalError("Overloaded");
        }
    }

    /** Work that may not be repeated is sent again only if no byte of it can have left this host. */
    #mayRetry(end: AttemptGroupOutcome): boolean {
        const result = end.result?.dispatchResult;
        if (this.#answer.isCallerDisconnected) {
            return false;
        }
        if (!this.#plan.repeatable) {
            return result === "unreachable" && this.#ran === "no";
        }
        return result !== "refused" || end.attempt?.head?.statusCode === 429;
    }

    #failureOf(end: AttemptGroupOutcome): RequestError {
        const { result } = end;
        return new RequestError({
            code: result?.code ?? "UpstreamFailed",
            retryAfterMs: result?.retryAfterMs,
            detail: result?.detail,
        });
    }

    #noteRan(end: AttemptGroupOutcome): void {
        if (end.status === "whole" || end.status === "cut" || end.status === "cancelled" && end.attempt !== undefined) {
            this.#ran = "yes";
        }
        else if (!end.definitelyNotRun && this.#ran === "no") {
            this.#ran = "unknown";
        }
    }

    /** An error that says "not run" is overruled by an earlier attempt that may have run. */
    #ranFor(failure: ErrorResponse): ExecutionState | undefined {
        const earlier = failure.code === "RequestRunning" || failure.code === "OutcomeUnknown" ||
            failure.code === "AnswerNotStored";
        return earlier ? undefined : this.#ran;
    }

    #finish(end: AttemptGroupOutcome): void {
        const { attempt } = end;
        if (end.status === "whole" && attempt !== undefined) {
            this.#answer.end();
            // The connection's end is read even if the caller has not taken the answer yet.
            this.#resumeAttempt();
            this.#conclude("complete", attempt);
            this.#dependencies.kernel.counters.add("gateway.complete");
            return;
        }
        this.#conclude("cut", attempt);
        this.#dependencies.kernel.counters.add(`gateway.${end.status}`);
        if (end.status === "cut") {
            const code = end.result?.code === "AnswerMismatch" ? "AnswerMismatch" : "StreamCut";
            this.#answer.interrupt({ code, ran: "yes" }, this.#request.responseKind === "chatStream");
        }
    }

    /** Bills what was delivered and ends the claim; gives everything back if nothing can have run. */
    #conclude(outcome: "complete" | "cut", attempt: Attempt | undefined): void {
        const { controllerClient } = this.#dependencies;
        const { requestId } = this.#request;
        const notRun = this.#ran === "no";
        const facts: FinishedRequest = {
            request: this.#request,
            plan: this.#plan,
            claimId: this.#claimId,
            outcome,
            ran: this.#ran,
            attempt,
        };
        if (this.#tokensReserved && notRun) {
            controllerClient.releaseReservation(requestId);
        }
        else if (this.#tokensReserved) {
            controllerClient.settleReservation(requestId, requestBill(facts));
        }
        if (this.#grantReserved && notRun) {
            controllerClient.releaseReservation(this.#grantReservation);
        }
        else if (this.#grantReserved) {
            controllerClient.settleReservation(this.#grantReservation, grantBill(facts));
        }
        if (this.#claimHeld && this.#claimId !== undefined && notRun) {
            controllerClient.releaseClaim(this.#claimId, requestId);
        }
        else if (this.#claimHeld && this.#claimId !== undefined) {
            const complete = outcome === "complete";
            controllerClient.completeClaim(
                this.#claimId,
                requestId,
                complete ? this.#recorder.toStoredResponse(attempt?.head) : undefined,
                !complete,
            );
        }
        this.#tokensReserved = false;
        this.#grantReserved = false;
        this.#claimHeld = false;
    }

    get #grantReservation(): string {
        return `${this.#request.requestId}/grant`;
    }

    #workItem(excluded: readonly string[]): AdmissionRequest {
        const plan = this.#plan;
        const elapsedMs = this.#dependencies.clock.monotonicMs() - this.#startedAtMs;
        return {
            requestId: this.#request.requestId,
            team: this.#request.team,
            workClass: this.#grantReserved ? "urgent" : plan.workClass,
            long: plan.long,
            repeatable: plan.repeatable,
            candidates: plan.candidates,
            fallbacks: plan.fallbacks,
            weights: plan.weights,
            maxInFlightPerUpstream: plan.maxInFlightPerUpstream,
            prefixKey: plan.prefixKey,
            promptTokens: plan.promptTokens,
            maxOutputTokens: plan.maxOutputTokens,
            maxQueueWaitMs: Math.max(0, plan.deadlineMs - elapsedMs),
            excludedUpstreams: [...excluded],
        };
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
                ...dispatchTimeouts(settings, responseKind, plan),
            },
        }, listener);
    }

    async admitHedge(excluded: readonly string[]): Promise<string | undefined> {
        const outcome = await this.#dependencies.controllerClient.requestAnotherUpstream(
            this.#workItem(excluded),
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
            this.#answer.writeHead(head.statusCode, buildResponseHeaders(this.#request.responseKind, head.headers));
        }
    }

    onResponseBytes(attempt: Attempt, bytes: Buffer): void {
        this.#recorder.add(bytes);
        if (!this.#answer.write(bytes) && this.#pausedAttempt === undefined) {
            attempt.pause();
            this.#pausedAttempt = attempt;
            this.#stallTimer = setTimeout(() => this.#answer.destroy(), this.#dependencies.settings.callerStallMs);
            this.#answer.onDrain(() => this.#resumeAttempt());
        }
    }

    #resumeAttempt(): void {
        clearTimeout(this.#stallTimer);
        const attempt = this.#pausedAttempt;
        this.#pausedAttempt = undefined;
        // More bytes may arrive, and pause the attempt again, before this call returns.
        attempt?.resume();
    }

    /** Work that may not be repeated runs on, so that its answer is stored for the caller's retry. */
    #onCallerGone(): void {
        if (this.#waitsForAdmission) {
            this.#dependencies.controllerClient.cancelAdmission(this.#request.requestId);
        }
        else if (this.#group !== undefined && (this.#plan.repeatable || this.#claimId === undefined)) {
            this.#group.cancel();
        }
        this.#resumeAttempt();
    }
}
