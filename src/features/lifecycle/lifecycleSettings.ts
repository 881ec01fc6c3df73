/** Settings of the lifecycle feature. */
import { z } from "zod";

/** Settings of readiness and shutdown. */
export const LifecycleSettingsSchema = z.strictObject({
    /** Time that the load balancer needs to detect that this host is not ready; requests are served until then. */
    balancerLagMs: z.number().int().nonnegative().default(5_000),
    /** Maximum wait, after the lag of the balancer, for the store to acknowledge that claims have ended. */
    claimWaitMs: z.number().int().nonnegative().default(30_000),
    /** Maximum wait until the closing record is stored and the budget shares are returned; otherwise peers complete both. */
    closeTimeoutMs: z.number().int().positive().default(10_000),
    /** Age of the last acknowledged record from which the store counts as unreachable. */
    storeSilenceMs: z.number().int().positive().default(15_000),
});
/** Validated settings of the lifecycle feature. */
export type LifecycleSettings = z.infer<typeof LifecycleSettingsSchema>;
