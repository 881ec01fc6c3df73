/** Settings of the lifecycle feature. */
import { z } from "zod";

/** Settings of readiness and shutdown. */
export const LifecycleSettingsSchema = z.strictObject({
    /** Time that the balancer needs to notice that this host is not ready; requests are served until then. */
    balancerLagMs: z.number().int().nonnegative().default(5_000),
    /** Longest wait, after the balancer's lag, for the store to acknowledge the ends of claims. */
    claimWaitMs: z.number().int().nonnegative().default(30_000),
    /** Longest wait for the closing record and the return of shares; the peers complete both otherwise. */
    closeTimeoutMs: z.number().int().positive().default(10_000),
    /** Age of the last acknowledged record from which on the store counts as out of reach. */
    storeSilenceMs: z.number().int().positive().default(15_000),
});
export type LifecycleSettings = z.infer<typeof LifecycleSettingsSchema>;
