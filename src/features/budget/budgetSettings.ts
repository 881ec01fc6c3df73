/** Settings of the budget feature. */
import { z } from "zod";

/** Settings with defaults; durations in milliseconds, amounts in tokens (for grants: uses). */
export const BudgetSettingsSchema = z.strictObject({
    /** A draw covers the demand of this time. */
    drawHorizonMs: z.number().int().positive().default(60_000),
    /** The declared limit covers the demand of this time: a longer one survives longer store outages. */
    limitHorizonMs: z.number().int().positive().default(40_000),
    /** Time constant of the moving average of demand. */
    demandWindowMs: z.number().int().positive().default(20_000),
    /** Time for which the largest request is remembered. */
    largestCostWindowMs: z.number().int().positive().default(300_000),
    /** Up to this number of budgets and grants, every host holds a standing share of each. */
    standingBudgetCount: z.number().int().nonnegative().default(64),
    /** Home hosts per region of each budget when there are more budgets. */
    homeHostCount: z.number().int().positive().default(2),
    /** Largest share of a budget that a host holds without demand. */
    standingShareTokens: z.number().int().nonnegative().default(20_000),
    /** Largest share of a grant that a host holds without demand, in uses. */
    standingShareUses: z.number().int().nonnegative().default(2_000),
    /** Declared headroom of a host without demand. */
    standingLimitTokens: z.number().int().nonnegative().default(4_000),
    /**
     * Declared headroom of a grant, in uses, on a host without demand. It covers the first seconds of a crest: with 2
     * uses most granted requests ran in their ordinary class.
     */
    standingLimitUses: z.number().int().nonnegative().default(200),
    /** Longest wait for tokens before a refusal. */
    maxWaitMs: z.number().int().positive().default(1_000),
    /** Waiting reservations per budget; more are refused at once. */
    maxWaitingCount: z.number().int().positive().default(1_000),
    /** Idle tokens are returned after this time without a new reservation. */
    idleReturnMs: z.number().int().positive().default(30_000),
    /** Longest wait for the answer of a peer. */
    transferTimeoutMs: z.number().int().positive().default(300),
    /** Concurrent transfer requests per budget. */
    transferConcurrency: z.number().int().positive().default(2),
    /** Delay between two cancels of the same transfer. */
    cancelRetryMs: z.number().int().positive().default(1_000),
    /** Delay before a failed store call is repeated. */
    storeRetryMs: z.number().int().positive().default(200),
    /** `Retry-After` of refusals that may succeed later. */
    retryAfterMs: z.number().int().positive().default(1_000),
    /** A refusal for a spent budget is repeated without new calls for this time. */
    exhaustedMemoryMs: z.number().int().nonnegative().default(500),
    /** Transfers that a giver remembers, for repeated requests and cancels. */
    rememberedTransferCount: z.number().int().positive().default(10_000),
});
export type BudgetSettings = z.infer<typeof BudgetSettingsSchema>;
