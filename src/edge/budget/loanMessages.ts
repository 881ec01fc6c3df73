/** Messages by which hosts lend each other prepaid tokens. Names are short, as bytes between zones are priced. */
import { z } from "zod";

/** Why tokens are not available; see {@link BudgetRefusal}. */
export const RefusalReasonSchema = z.enum(["exhausted", "paced", "heldElsewhere", "fragmented", "atRisk"]);
export type RefusalReason = z.infer<typeof RefusalReasonSchema>;

/** A host asks another one for tokens. A repetition has the same number and gets the same answer. */
export const LoanRequestSchema = z.object({
    k: z.literal("b"),
    /** Borrowing process, and number of the request within its life. */
    i: z.string(),
    n: z.number().int(),
    /** Team and tokens that are missing. */
    t: z.string(),
    w: z.number().int().positive(),
});
export type LoanRequest = z.infer<typeof LoanRequestSchema>;

/** Answer: tokens that the borrower may spend and the lender counts as used. */
export const LoanReplySchema = z.object({
    k: z.literal("g"),
    /** Process and number of the request that is answered. */
    i: z.string(),
    n: z.number().int(),
    /** Tokens; fewer than asked for when the lender has no more. */
    w: z.number().int().nonnegative(),
    /** Lending process. */
    c: z.string(),
    /** Why there are not more, and time after which there may be, in milliseconds. */
    r: RefusalReasonSchema.optional(),
    d: z.number().int().nonnegative().optional(),
});
export type LoanReply = z.infer<typeof LoanReplySchema>;

/** The lender draws tokens first; its answer follows. */
export const LoanPendingSchema = z.object({ k: z.literal("p"), i: z.string(), n: z.number().int() });

/** What became of loans of one lender to one borrower for one team, in all. A lost report is made good by the next one. */
export const LoanReportSchema = z.object({
    k: z.literal("r"),
    /** Borrowing and lending process. */
    i: z.string(),
    c: z.string(),
    t: z.string(),
    /** Tokens spent and given back since the first loan. */
    s: z.number().int().nonnegative(),
    w: z.number().int().nonnegative(),
});
export type LoanReport = z.infer<typeof LoanReportSchema>;
