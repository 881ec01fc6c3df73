/** Decides whether this host is ready, and leads it through its shutdown. */
import { log } from "../../base/log.js";
import type { Blackboard } from "../../kernel/blackboard.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { usedTokens } from "../budget/budgetBoard.js";
import type { LifecycleBoard } from "./lifecycleBoard.js";
import type { LifecycleSettings } from "./lifecycleSettings.js";

/**
 * Phases: `starting` until ready for the first time, `serving`, `draining` from the request to shut down until the
 * balancer's lag has passed and no request is in flight, `closing` until the closing record is stored and the shares
 * are returned, `closed`.
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
        }
        else if (event.type === "tick") {
            this.#advanceShutdown();
            this.#review();
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
        log.info("draining", { requestsInFlight: board.requestsInFlight });
    }

    #advanceShutdown(): void {
        const board = this.#board;
        if (board.phase === "draining" && this.#nowMs - this.#drainingSinceMs >= this.#settings.balancerLagMs) {
            board.accepting = false;
            if (board.requestsInFlight === 0 && this.#claimsSettled()) {
                board.phase = "closing";
                this.#closingSinceMs = this.#nowMs;
            }
        }
        if (board.phase === "closing") {
            this.#closeWhenReturned();
        }
    }

    /** A claim that turns out to belong to another request cancels a bill, which must precede the closing record. */
    #claimsSettled(): boolean {
        return this.context.board.idempotency.unsettledClaims === 0 ||
            this.#nowMs - this.#drainingSinceMs >= this.#settings.balancerLagMs + this.#settings.claimWaitMs;
    }

    #closeWhenReturned(): void {
        const { journal, recovery } = this.context.board;
        const returned = journal.closed && recovery.ownSharesReturned;
        if (!returned && this.#nowMs - this.#closingSinceMs < this.#settings.closeTimeoutMs) {
            return;
        }
        if (!returned) {
            log.warn("the shares could not be returned; the peers will return them", { recordClosed: journal.closed });
        }
        this.#board.phase = "closed";
        this.context.emit({ type: "notify", notification: { type: "shutdownCompleted" } });
    }

    #review(): void {
        const board = this.#board;
        if (board.phase !== "starting" && board.phase !== "serving") {
            return;
        }
        const reasons = findReasons(this.context.board, this.#nowMs, this.#settings.storeSilenceMs);
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
function findReasons(board: Blackboard, nowMs: number, storeSilenceMs: number): string[] {
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

function hasUsableUpstream(board: Blackboard): boolean {
    for (const name of board.config.resources.upstreams.keys()) {
        const status = board.upstream.statuses.get(name);
        if (status === undefined || status.usable && !status.leaving) {
            return true;
        }
    }
    return false;
}

/** Tokens can be spent, or the store was reachable lately, so that more can be drawn. */
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
