/** Types of the budget feature: the stored budget object, events and reservation outcomes. */
import { z } from "zod";
import type { ResultCodeName } from "../../base/resultCodes.js";

const TokensSchema = z.number().int();

/** Share of a budget that one host incarnation has drawn. */
export const HostShareSchema = z.object({
    /** Tokens granted so far; cumulative. */
    grantedTokens: TokensSchema.nonnegative(),
    /** Sequence number of the host's last applied write; shows whether a write whose result was lost was applied. */
    sequence: z.number().int().nonnegative(),
});
export type HostShare = z.infer<typeof HostShareSchema>;

/** A top-up of a budget; kept in the object so that a repeated command is recognised. */
export const TopUpSchema = z.object({ operationId: z.string(), tokens: TokensSchema, atMs: z.number() });

/** Budget object in the store, under {@link budgetKey}. Unknown fields of a newer release are kept when it is rewritten. */
export const BudgetObjectSchema = z.looseObject({
    /** Sum of all top-ups. */
    paidTokens: TokensSchema.nonnegative(),
    /** Net consumption of closed and sealed incarnations. */
    closedTokens: TokensSchema,
    /** Tokens that sealed incarnations declared but whose consumption is unknown, by host key. */
    atRiskTokens: z.record(z.string(), TokensSchema.nonnegative()),
    /** Shares of the host incarnations that are neither closed nor sealed, by host key. */
    shares: z.record(z.string(), HostShareSchema),
    topUps: z.array(TopUpSchema),
    /** At-risk amounts that an operator settled: tokens that were billed, by host key. */
    releasedTokens: z.record(z.string(), TokensSchema.nonnegative()).optional(),
});
export type BudgetObject = z.infer<typeof BudgetObjectSchema>;

/** Key prefix of budget objects in the store. */
export const BudgetPrefix = "budget/";

/** @returns Store key of a budget object. A grant is stored as the budget `grant/NAME`. */
export function budgetKey(budget: string): string {
    return `${BudgetPrefix}${budget}`;
}

/** @returns Name of the budget that holds the uses of a grant. */
export function grantBudgetName(grant: string): string {
    return `grant/${grant}`;
}

/** @returns Tokens that no host holds and that are not consumed; may be negative. */
export function unallocatedTokens(object: BudgetObject): number {
    const granted = Object.values(object.shares).reduce((sum, share) => sum + share.grantedTokens, 0);
    const atRisk = Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
    return object.paidTokens - object.closedTokens - atRisk - granted;
}

/** Data of a finished request from which its bill line is written. */
export const BillDraftSchema = z.object({
    requestId: z.string(),
    /** Billing id: the id of the claim for requests with an idempotency key, otherwise the request id. */
    billId: z.string(),
    team: z.string(),
    budget: z.string(),
    model: z.string(),
    promptTokens: TokensSchema.nonnegative(),
    outputTokens: TokensSchema.nonnegative(),
    /** Charged tokens; negative for a reversal, which cancels an earlier bill line. */
    tokens: TokensSchema,
    requestKind: z.string(),
    upstream: z.string(),
    outcome: z.enum(["complete", "cut", "reversal"]),
});
export type BillDraft = z.infer<typeof BillDraftSchema>;

/** Outcome of a reservation request. `retryAfterMs` is the suggested retry delay; `undefined` when none is suggested. */
export type ReservationOutcome =
    | { readonly status: "granted"; }
    | { readonly status: "refused"; readonly code: ResultCodeName; readonly retryAfterMs: number | undefined; };

/** Events of the budget feature. */
export type BudgetEvent =
    | {
        readonly type: "reservationRequested";
        readonly reservationId: string;
        readonly budget: string;
        readonly costTokens: number;
        /** Maximum wait for tokens, in milliseconds. */
        readonly waitMs: number;
    }
    /** The request ended; it is charged `bill.tokens`, at most the reserved tokens. */
    | { readonly type: "reservationSettled"; readonly reservationId: string; readonly bill: BillDraft; }
    /** The request certainly did not run; its reservation is released without a charge. */
    | { readonly type: "reservationReleased"; readonly reservationId: string; }
    /** Cancels a bill line of this host by adding a line with negative tokens and outcome `reversal`. */
    | { readonly type: "billReversed"; readonly bill: BillDraft; };

/** Notification of the budget feature: sent once for each requested reservation. */
export interface ReservationDecided {
    readonly type: "reservationDecided";
    readonly reservationId: string;
    readonly outcome: ReservationOutcome;
}
