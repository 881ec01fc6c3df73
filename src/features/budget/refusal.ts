/** When a waiting reservation is refused, and with which code. */
import type { BudgetAccount, WaitingReservation } from "./budgetAccount.js";
import { usedTokens } from "./budgetBoard.js";
import type { ReservationOutcome } from "./budgetTypes.js";

/** Refusal of a reservation. */
export type ReservationRefusal = Extract<ReservationOutcome, { status: "refused"; }>;

/** What the decision needs besides the account. */
export interface RefusalInput {
    readonly nowMs: number;
    /** Whether the store and the peers have shown that nobody has the tokens, now or later. */
    readonly isExhausted: boolean;
    readonly retryAfterMs: number;
}

/** @returns The refusal of a waiting reservation, or `undefined` while it may still be granted. */
export function determineRefusal(
    account: BudgetAccount,
    item: WaitingReservation,
    facts: RefusalInput,
): ReservationRefusal | undefined {
    const { latestObject, lastAbsentAtMs } = account.writer;
    const unusedTokens = account.entry.grantedTokens - usedTokens(account.entry);
    const isFresh = latestObject !== undefined && latestObject.readMs >= item.enqueuedAtMs;
    const exceedsShare = item.costTokens > unusedTokens;
    // Tokens that closed hosts sent to others count as closed, so only the paid tokens bound what can be obtained.
    const isTooLarge = item.costTokens > (latestObject?.object.paidTokens ?? 0);
    if (latestObject === undefined && lastAbsentAtMs !== undefined && lastAbsentAtMs >= item.enqueuedAtMs) {
        return { status: "refused", code: "NoBudget", retryAfterMs: undefined };
    }
    if (exceedsShare && isFresh && (facts.isExhausted || isTooLarge)) {
        return { status: "refused", code: "BudgetExhausted", retryAfterMs: undefined };
    }
    if (facts.nowMs >= item.deadlineAtMs) {
        const code = isFresh && exceedsShare ? "BudgetExhausted" : "BudgetUnavailable";
        return { status: "refused", code, retryAfterMs: facts.retryAfterMs };
    }
    return undefined;
}
