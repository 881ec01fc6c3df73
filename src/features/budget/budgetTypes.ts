/** Budgets held in escrow: stored object, events and outcomes. */
import { z } from "zod";
import type { ResultCodeName } from "../../base/resultCodes.js";

const TokensSchema = z.number().int();

/** Share of a budget that one host incarnation drew. */
export const HostShareSchema = z.object({
    /** Tokens granted so far; cumulative. */
    grantedTokens: TokensSchema.nonnegative(),
    /** Number of the host's last write that took effect; settles writes with lost answers. */
    sequence: z.number().int().nonnegative(),
});
export type HostShare = z.infer<typeof HostShareSchema>;

/** A top-up, kept so that a repeated command is recognised. */
export const TopUpSchema = z.object({ operationId: z.string(), tokens: TokensSchema, atMs: z.number() });

/** Budget object in the store, under {@link budgetKey}. Fields of a newer release are kept when it is rewritten. */
export const BudgetObjectSchema = z.looseObject({
    paidTokens: TokensSchema.nonnegative(),
    /** Net consumption of closed and sealed incarnations. */
    closedTokens: TokensSchema,
    /** Declared but unaccounted tokens of sealed incarnations, by host key. */
    atRiskTokens: z.record(z.string(), TokensSchema.nonnegative()),
    shares: z.record(z.string(), HostShareSchema),
    topUps: z.array(TopUpSchema),
    /** At-risk amounts that an operator settled: tokens billed by host key. */
    releasedTokens: z.record(z.string(), TokensSchema.nonnegative()).optional(),
});
export type BudgetObject = z.infer<typeof BudgetObjectSchema>;

/** Prefix of budget objects. */
export const BudgetPrefix = "budget/";

/** @returns Key of a budget object. Grants use the name `grant/NAME`. */
export function budgetKey(budget: string): string {
    return `${BudgetPrefix}${budget}`;
}

/** @returns Name under which the uses of a grant are held in escrow. */
export function grantBudgetName(grant: string): string {
    return `grant/${grant}`;
}

/** @returns Tokens that no host holds and nothing has consumed. */
export function unallocatedTokens(object: BudgetObject): number {
    const granted = Object.values(object.shares).reduce((sum, share) => sum + share.grantedTokens, 0);
    const atRisk = Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
    return object.paidTokens - object.closedTokens - atRisk - granted;
}

/** Facts of a finished request from which its bill line is made. */
export const BillDraftSchema = z.object({
    requestId: z.string(),
    /** Identity for billing: the claim's identity for keyed requests, otherwise the request id. */
    billId: z.string(),
    team: z.string(),
    budget: z.string(),
    model: z.string(),
    promptTokens: TokensSchema.nonnegative(),
    outputTokens: TokensSchema.nonnegative(),
    /** Charged tokens; negative for a reversal. */
    tokens: TokensSchema,
    requestKind: z.string(),
    upstream: z.string(),
    outcome: z.enum(["complete", "cut", "reversal"]),
});
export type BillDraft = z.infer<typeof BillDraftSchema>;

/** Answer to a reservation request. */
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
        /** Longest wait for tokens, in milliseconds. */
        readonly waitMs: number;
    }
    /** The request ended and costs `bill.tokens`, at most the reservation. */
    | { readonly type: "reservationSettled"; readonly reservationId: string; readonly bill: BillDraft; }
    /** The request definitely did not run. */
    | { readonly type: "reservationReleased"; readonly reservationId: string; }
    /** A bill line of this host is cancelled by a line with negative tokens and outcome `reversal`. */
    | { readonly type: "billReversed"; readonly bill: BillDraft; };

/** Notification of the budget feature. */
export interface ReservationDecided {
    readonly type: "reservationDecided";
    readonly reservationId: string;
    readonly outcome: ReservationOutcome;
}
