/**
 * Prepaid tokens of one request: reserved at the worst-case cost before it is sent, settled at the cost of the
 * delivered output.
 */
import { isSlotContended } from "../../scheduling/contention.js";
import { type BudgetManager, isRefusal } from "../budget/budgetManager.js";
import type { BudgetRefusal } from "../budget/budgetRefusal.js";
import type { Reservation } from "../budget/teamAccount.js";
import type { EdgeTeam, TokenCounts } from "../edgeTypes.js";
import type { EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest } from "./flowTypes.js";
import { costOfRequest, type Delivery } from "./requestCost.js";

/** Reserves and settles the tokens of one request. */
export class RequestBudget {
    readonly #budgets: BudgetManager;
    readonly #requestId: string;
    readonly #team: EdgeTeam | undefined;
    readonly #tokens: TokenCounts | undefined;
    readonly #rank: number;
    #reservation: Reservation | undefined;

    /**
     * @param tokens Token counts that the caller states; `undefined` for requests that cost nothing.
     * @param rank Urgency among the team's requests; 0 goes first while tokens are scarce.
     */
    constructor(
        budgets: BudgetManager,
        requestId: string,
        team: EdgeTeam | undefined,
        tokens: TokenCounts | undefined,
        rank: number,
    ) {
        this.#budgets = budgets;
        this.#requestId = requestId;
        this.#team = team;
        this.#tokens = tokens;
        this.#rank = rank;
    }

    /** @returns Worst-case cost in tokens. */
    get worstCaseTokens(): number {
        return (this.#tokens?.promptTokens ?? 0) + (this.#tokens?.maxOutputTokens ?? 0);
    }

    /**
     * Reserves the worst-case cost, waiting for tokens if necessary.
     * @param remainingMs Time until the deadline of the request, in milliseconds.
     * @param signal Aborts the wait for tokens.
     * @returns Why the tokens are not available; `undefined` when they are reserved or none are needed.
     */
    async reserve(remainingMs: number, signal: AbortSignal): Promise<BudgetRefusal | undefined> {
        if (this.#team === undefined || this.#tokens === undefined) {
            return undefined;
        }
        const result = await this.#budgets.reserve(
            this.#requestId,
            this.#team.name,
            this.worstCaseTokens,
            remainingMs,
            signal,
            this.#rank,
        );
        if (isRefusal(result)) {
            return result;
        }
        this.#reservation = result;
        return undefined;
    }

    /**
     * Charges what the request delivered, at most the reservation, and releases the remainder. Later calls have no effect.
     * @returns Tokens charged.
     */
    settle(delivery: Delivery): number {
        const reservation = this.#reservation;
        if (this.#team === undefined || this.#tokens === undefined || reservation === undefined) {
            return 0;
        }
        const reservedTokens = reservation.ownTokens + reservation.borrowedTokens;
        const costTokens = Math.min(
            reservedTokens,
            costOfRequest({ ...delivery, tokens: this.#tokens, reservedTokens }),
        );
        this.#budgets.settle(this.#team.name, reservation, costTokens);
        this.#reservation = undefined;
        return costTokens;
    }
}

/** @returns Failure of a request whose tokens are not available. */
export function failureOf({ reason, retryAfterMs }: BudgetRefusal): EdgeFailure {
    return { code: reason === "exhausted" ? "BudgetExhausted" : "BudgetUnavailable", ran: "no", retryAfterMs };
}

/**
 * @param hostCount Number of hosts of the fleet.
 * @returns Urgency of a request among those of its team while tokens are scarce; 0 for all where hosts do not compete for engines.
 */
export function tokenRankOf({ route, table, service }: EdgeRequest, hostCount: number): number {
    return isSlotContended(table.findService(service)?.engine?.slots, hostCount) ? table.priorityRankOf(route) : 0;
}
