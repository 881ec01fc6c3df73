/** Messages with which hosts lend each other prepaid tokens. Names are short, as traffic between zones is billed by the byte. */
import { z } from "zod";

/** Why tokens are not available; `BudgetRefusal` explains each reason. */
export const RefusalReasonSchema = z.enum(["exhausted", "paced", "heldElsewhere", "fragmented", "atRisk"]);
export type RefusalReason = z.infer<typeof RefusalReasonSchema>;

/** A host asks another one for tokens. A repeated request has the same number and gets the same reply. */
export const LoanRequestSchema = z.object({
    k: z.literal("b"),
    /** Incarnation of the borrowing process, and number of the request, unique within that process. */
    i: z.string(),
    n: z.number().int(),
    /** Team, and number of tokens that the borrower lacks. */
    t: z.string(),
    w: z.number().int().positive(),
    /** Number of lenders that have refused this request before; they have counted it as demand. */
    a: z.number().int().nonnegative().optional(),
    /** Urgency of the request that the tokens are for; absent for the most urgent. */
    p: z.number().int().nonnegative().optional(),
});
export type LoanRequest = z.infer<typeof LoanRequestSchema>;

/** Reply to a loan request: tokens that the borrower may spend and that the lender counts as used. */
export const LoanReplySchema = z.object({
    k: z.literal("g"),
    /** Borrowing process and number of the request that this replies to. */
    i: z.string(),
    n: z.number().int(),
    /** Tokens lent; fewer than requested when the lender has no more. */
    w: z.number().int().nonnegative(),
    /** Incarnation of the lending process. */
    c: z.string(),
    /** Why there are not more tokens, and the time after which there may be, in milliseconds. */
    r: RefusalReasonSchema.optional(),
    d: z.number().int().nonnegative().optional(),
    /** Whether the lender is shutting down, so that other hosts should be asked first from now on. */
    l: z.boolean().optional(),
});
export type LoanReply = z.infer<typeof LoanReplySchema>;

/** Announces that the request waits for tokens at the lender and that the reply follows. */
export const LoanPendingSchema = z.object({ k: z.literal("p"), i: z.string(), n: z.number().int() });

/** A home host that shuts down asks the receiver to lend the tokens of these teams in its place. */
export const HandoverSchema = z.object({ k: z.literal("h"), t: z.array(z.string()) });
export type Handover = z.infer<typeof HandoverSchema>;

/** Totals of the loans of one lender to one borrower for one team. As they are totals, the next report replaces a lost one. */
export const LoanReportSchema = z.object({
    k: z.literal("r"),
    /** Incarnations of the borrowing and the lending process. */
    i: z.string(),
    c: z.string(),
    t: z.string(),
    /** Tokens spent and tokens returned since the first loan. */
    s: z.number().int().nonnegative(),
    w: z.number().int().nonnegative(),
});
export type LoanReport = z.infer<typeof LoanReportSchema>;
