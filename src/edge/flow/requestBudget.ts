/**
 * Prepaid tokens of one request: reserved at the worst-case cost before it is sent, settled at the cost of the
 * delivered output.
 */
import { type BudgetManager, isRefusal } from "../budget/budgetManager.js";
import type { BudgetRefusal } from "../budget/budgetRefusal.js";
import type { Reservation } from "../budget/teamAccount.js";
import type { EdgeTeam, TokenCounts } from "../edgeTypes.js";
import type { EdgeFailure } from "./callerResponse.js";
import { costOfRequest, type Delivery } from "./requestCost.js";

/** Reserves and settles the tokens of one request. */
export class RequestBudget {
    readonly #budgets: BudgetManager;
    readonly #requestId: string;
    readonly #team: EdgeTeam | undefined;
    readonly #tokens: TokenCounts | undefined;
    #reservation: Reservation | undefined;

    /** @param tokens Token counts that the caller states; `undefined` for requests that cost nothing. */
    constructor(
        budgets: BudgetManager,
        requestId: string,
        team: EdgeTeam | undefined,
        tokens: TokenCounts | undefined,
    ) {
        this.#budgets = budgets;
        this.#requestId = requestId;
        this.#team = team;
        this.#tokens = tokens;
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
