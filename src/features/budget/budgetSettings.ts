/** Settings of the budget feature. */
import { z } from "zod";

/** Settings of budgets and grants. Durations are in milliseconds, amounts in tokens (for grants: uses). */
export const BudgetSettingsSchema = z.strictObject({
    /** Time whose expected demand a draw covers. */
    drawHorizonMs: z.number().int().positive().default(60_000),
    /** Time whose expected demand the declared limit covers; a longer one bridges longer store outages. */
    limitHorizonMs: z.number().int().positive().default(40_000),
    /** Time constant of the moving average of demand. */
    demandWindowMs: z.number().int().positive().default(20_000),
    /** Time for which the cost of the largest request is remembered. */
    largestCostWindowMs: z.number().int().positive().default(300_000),
    /** Up to this number of budgets and grants, every host holds a share of each even without demand. */
    standingBudgetCount: z.number().int().nonnegative().default(64),
    /** When there are more budgets: number of hosts per region that hold a share of a budget without demand (home hosts). */
    homeHostCount: z.number().int().positive().default(2),
    /** Maximum share of a budget that a host holds without demand. */
    standingShareTokens: z.number().int().nonnegative().default(20_000),
    /** Maximum share of a grant that a host holds without demand, in uses. */
    standingShareUses: z.number().int().nonnegative().default(2_000),
    /** Headroom of the declared limit on a host without demand. */
    standingLimitTokens: z.number().int().nonnegative().default(4_000),
    /**
     * Headroom of the declared limit of a grant, in uses, on a host without demand. It covers the first seconds of a load
     * peak: with 2 uses, most requests with a grant ran in their ordinary class.
     */
    standingLimitUses: z.number().int().nonnegative().default(200),
    /** Maximum wait of a request for tokens before it is refused. */
    maxWaitMs: z.number().int().positive().default(1_000),
    /** Maximum number of waiting reservations per budget; further ones are refused at once. */
    maxWaitingCount: z.number().int().positive().default(1_000),
    /** Unused tokens are returned after this time without a new reservation. */
    idleReturnMs: z.number().int().positive().default(30_000),
    /** Timeout of a transfer call to a peer. */
    transferTimeoutMs: z.number().int().positive().default(300),
    /** Maximum number of concurrent transfer requests per budget. */
    transferConcurrency: z.number().int().positive().default(2),
    /** Delay before a failed cancel of a transfer is repeated; grows with each attempt. */
    cancelRetryMs: z.number().int().positive().default(1_000),
    /** Delay before a failed store call is repeated. */
    storeRetryMs: z.number().int().positive().default(200),
    /** `Retry-After` of refused requests that may succeed later. */
    retryAfterMs: z.number().int().positive().default(1_000),
    /** Time for which further requests are refused without store or peer calls after a budget was found to be spent. */
    exhaustedMemoryMs: z.number().int().nonnegative().default(500),
    /** Number of transfers that a giving host remembers, to recognise repeated requests and cancels. */
    rememberedTransferCount: z.number().int().positive().default(10_000),
});
export type BudgetSettings = z.infer<typeof BudgetSettingsSchema>;
