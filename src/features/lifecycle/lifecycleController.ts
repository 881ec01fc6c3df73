/** Decides whether this host is ready for requests, and controls its shutdown. */
import { log } from "../../base/log.js";
import type { Blackboard } from "../../kernel/blackboard.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { usedTokens } from "../budget/budgetBoard.js";
import type { LifecycleBoard } from "./lifecycleBoard.js";
import type { LifecycleSettings } from "./lifecycleSettings.js";

/** Part of the shutdown timeout that is kept for the last steps when it is too short for `closeTimeoutMs`. */
const MaxReservedFraction = 0.25;

/**
 * Writes the lifecycle section of the board. The phases are:
 * - `starting` until the host is ready for the first time
 * - `serving` until a shutdown is requested
 * - `draining` until the lag of the balancer has passed, no request is in flight and all claims are settled, or half of the
 *   time that a shutdown with a timeout reserves for the last steps has passed
 * - `closing` until the closing record is stored and the budget shares are returned, or a timeout has passed
 * - `closed`, after which the process may exit
 */
export class LifecycleController extends Controller {
    override readonly name = "lifecycle";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "requestEntered",
        "requestLeft",
        "shutdownRequested",
    ]);
    readonly #settings: LifecycleSettings;
    #drainingSinceMs = 0;
    #closingSinceMs = 0;
    /** Monotonic time at which the last steps begin even if callers have not received their responses. */
    #closesByMs = Number.POSITIVE_INFINITY;
    #hasEndedRequests = false;

    constructor(context: ControllerContext, settings: LifecycleSettings) {
        super(context);
        this.#settings = settings;
    }

    override handle(event: RouterEvent): void {
        const board = this.#board;
        if (event.type === "requestEntered") {
            board.requestsInFlight++;
        }
        else if (event.type === "requestLeft") {
            board.requestsInFlight--;
            this.#advanceShutdown();
        }
        else if (event.type === "shutdownRequested") {
            this.#beginDrain();
            this.#limitRequests(event.timeoutMs);
        }
        else if (event.type === "tick") {
            this.#advanceShutdown();
            this.#updateReadiness();
        }
    }

    get #board(): LifecycleBoard {
        return this.context.board.lifecycle;
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    #beginDrain(): void {
        const board = this.#board;
        if (board.phase !== "starting" && board.phase !== "serving") {
            return;
        }
        board.phase = "draining";
        board.ready = false;
        board.reasons = ["shutting down"];
        this.#drainingSinceMs = this.#nowMs;
        board.shutdownRequestedAtMs = this.#nowMs;
        log.info("draining", { requestsInFlight: board.requestsInFlight });
    }

    /** Sets the end of requests so that the claims and shares can be returned afterwards; it never moves later. */
    #limitRequests(timeoutMs: number | undefined): void {
        if (timeoutMs === undefined) {
            return;
        }
        const board = this.#board;
        const reservedMs = Math.min(this.#settings.closeTimeoutMs, timeoutMs * MaxReservedFraction);
        const endsAtMs = this.#nowMs + timeoutMs - reservedMs;
        board.requestsEndAtMs = Math.min(board.requestsEndAtMs ?? endsAtMs, endsAtMs);
        this.#closesByMs = Math.min(this.#closesByMs, endsAtMs + reservedMs / 2);
        this.context.emit({ type: "notify", notification: { type: "requestsLimited" } });
    }

    #advanceShutdown(): void {
        const board = this.#board;
        if (board.phase === "draining") {
            this.#endRequestsInTime();
            const hasLagPassed = this.#nowMs - this.#drainingSinceMs >= this.#settings.balancerLagMs;
            board.accepting &&= !hasLagPassed && !this.#hasEndedRequests;
            const canClose = !board.accepting && board.requestsInFlight === 0 && this.#areClaimsSettled();
            if (canClose || this.#nowMs >= this.#closesByMs) {
                board.phase = "closing";
                this.#closingSinceMs = this.#nowMs;
            }
        }
        if (board.phase === "closing") {
            this.#closeIfSharesReturned();
        }
    }

    #endRequestsInTime(): void {
        const { requestsEndAtMs } = this.#board;
        if (!this.#hasEndedRequests && requestsEndAtMs !== undefined && this.#nowMs >= requestsEndAtMs) {
            this.#hasEndedRequests = true;
            this.context.emit({ type: "notify", notification: { type: "requestsEnded" } });
        }
    }

    /**
     * @returns Whether all claims of idempotency keys are settled, or the wait for them is over. A claim that turns out to
     * belong to another request cancels a bill, and this must happen before the closing record is written.
     */
    #areClaimsSettled(): boolean {
        return this.context.board.idempotency.unsettledClaims === 0 ||
            this.#nowMs - this.#drainingSinceMs >= this.#settings.balancerLagMs + this.#settings.claimWaitMs;
    }

    #closeIfSharesReturned(): void {
        const { journal, recovery } = this.context.board;
        const areSharesReturned = journal.closed && recovery.ownSharesReturned;
        if (!areSharesReturned && this.#nowMs - this.#closingSinceMs < this.#settings.closeTimeoutMs) {
            return;
        }
        if (!areSharesReturned) {
            log.warn("the shares could not be returned; the peers will return them", { recordClosed: journal.closed });
        }
        this.#board.phase = "closed";
        this.context.emit({ type: "notify", notification: { type: "shutdownCompleted" } });
    }

    #updateReadiness(): void {
        const board = this.#board;
        if (board.phase !== "starting" && board.phase !== "serving") {
            return;
        }
        const reasons = findNotReadyReasons(this.context.board, this.#nowMs, this.#settings.storeSilenceMs);
        const ready = reasons.length === 0;
        if (ready !== board.ready) {
            log.info(ready ? "ready" : "not ready", ready ? {} : { reasons });
        }
        board.ready = ready;
        board.reasons = reasons;
        if (ready) {
            board.phase = "serving";
        }
    }
}

/** @returns Why a request admitted now could not run; empty if it could. */
function findNotReadyReasons(board: Blackboard, nowMs: number, storeSilenceMs: number): string[] {
    const reasons: string[] = [];
    const { config } = board;
    if (config.version === 0 || !config.confirmed) {
        reasons.push("no configuration is confirmed");
    }
    else if (config.version < config.floorVersion) {
        reasons.push(`configuration ${config.version} is below the floor ${config.floorVersion}`);
    }
    if (!hasUsableUpstream(board)) {
        reasons.push("no upstream is usable");
    }
    if (!hasBudgetAuthority(board, nowMs, storeSilenceMs)) {
        reasons.push("no budget authority");
    }
    return reasons;
}

/** @returns Whether a configured upstream is usable and not leaving; one without observations counts as usable. */
function hasUsableUpstream(board: Blackboard): boolean {
    for (const name of board.config.resources.upstreams.keys()) {
        const status = board.upstream.statuses.get(name);
        if (status === undefined || status.usable && !status.leaving) {
            return true;
        }
    }
    return false;
}

/**
 * @returns Whether budget tokens can be spent: tokens of this host are available, or the store was reachable recently, so
 * that more can be drawn.
 */
function hasBudgetAuthority(board: Blackboard, nowMs: number, storeSilenceMs: number): boolean {
    const { journal, budget } = board;
    if (!journal.established) {
        return false;
    }
    if (nowMs - journal.lastAcknowledgedMs < storeSilenceMs) {
        return true;
    }
    for (const [name, entry] of budget.entries) {
        if ((journal.limits.get(name) ?? 0) > usedTokens(entry)) {
            return true;
        }
    }
    return false;
}
