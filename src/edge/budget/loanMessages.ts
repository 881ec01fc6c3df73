/** Messages by which hosts lend each other prepaid tokens. Names are short, as bytes between zones are priced. */
import { z } from "zod";

/** A host asks another one for tokens. */
export const BorrowRequestSchema = z.object({
    k: z.literal("b"),
    /** Borrowing process, and number of the request within its life. */
    i: z.string(),
    n: z.number().int(),
    /** Team and tokens that are missing. */
    t: z.string(),
    w: z.number().int().positive(),
});
export type BorrowRequest = z.infer<typeof BorrowRequestSchema>;

/** Answer: tokens that the borrower may spend and the lender counts as spent; 0 is a refusal. */
export const LoanSchema = z.object({
    k: z.literal("g"),
    /** Process and number of the request that is answered. */
    i: z.string(),
    n: z.number().int(),
    w: z.number().int().nonnegative(),
});
export type Loan = z.infer<typeof LoanSchema>;
