/** Decides when a waiting reservation is refused, and with which result code. */
import type { BudgetAccount, WaitingReservation } from "./budgetAccount.js";
import { usedTokens } from "./budgetBoard.js";
import type { ReservationOutcome } from "./budgetTypes.js";

/** Outcome of a refused reservation. */
export type ReservationRefusal = Extract<ReservationOutcome, { status: "refused"; }>;

/** Input of {@link determineRefusal} besides the account and the reservation. */
export interface RefusalInput {
    /** Current monotonic time in milliseconds. */
    readonly nowMs: number;
    /** Whether the store and the peers have shown that no host has the tokens or will have them. */
    readonly isExhausted: boolean;
    /** Suggested retry delay of refusals that may succeed later, in milliseconds. */
    readonly retryAfterMs: number;
}

/** @returns The refusal of a waiting reservation, or `undefined` while it may still be granted. */
export function determineRefusal(
    account: BudgetAccount,
    reservation: WaitingReservation,
    input: RefusalInput,
): ReservationRefusal | undefined {
    const { latestObject, lastAbsentAtMs } = account.writer;
    const unusedTokens = account.entry.grantedTokens - usedTokens(account.entry);
    const isFresh = latestObject !== undefined && latestObject.readAtMs >= reservation.enqueuedAtMs;
    const exceedsShare = reservation.costTokens > unusedTokens;
    // Tokens that closed hosts sent to other hosts count as closed, so only the paid tokens bound what can be obtained.
    const isTooLarge = reservation.costTokens > (latestObject?.object.paidTokens ?? 0);
    if (latestObject === undefined && lastAbsentAtMs !== undefined && lastAbsentAtMs >= reservation.enqueuedAtMs) {
        return { status: "refused", code: "NoBudget", retryAfterMs: undefined };
    }
    if (exceedsShare && isFresh && (input.isExhausted || isTooLarge)) {
        return { status: "refused", code: "BudgetExhausted", retryAfterMs: undefined };
    }
    if (input.nowMs >= reservation.deadlineAtMs) {
        const code = isFresh && exceedsShare ? "BudgetExhausted" : "BudgetUnavailable";
        return { status: "refused", code, retryAfterMs: input.retryAfterMs };
    }
    return undefined;
}
