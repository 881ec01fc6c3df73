/** Settings of the upstream feature. */
import { z } from "zod";

/** Settings of the load and health estimates of upstreams. */
export const UpstreamSettingsSchema = z.strictObject({
    /** Time constant with which latency samples lose weight. */
    sampleDecayMs: z.number().positive().default(1_000),
    /** Samples older than this are dropped. */
    sampleMaxAgeMs: z.number().positive().default(20_000),
    /** Ratio of the first-token latency to the median of the other upstreams from which an upstream counts as slow. */
    slowFirstTokenRatio: z.number().min(1).default(3),
    /** Minimum excess of the first-token latency over that median in a slow upstream; keeps the noise of fast responses out. */
    slowFirstTokenMinExcessMs: z.number().nonnegative().default(60),
    /** Ratio of the inter-token time to the median of the other upstreams from which an upstream counts as slow. */
    slowInterTokenRatio: z.number().min(1).default(2),
    /** Maximum slowness factor; limits how far the weight of an upstream is lowered. */
    maxSlownessFactor: z.number().min(1).default(20),
    /** Interval of the requests that test whether a slow upstream has recovered. */
    probeIntervalMs: z.number().positive().default(3_000),
    /** Number of successive good samples after which an upstream no longer counts as slow. */
    recoverySamples: z.number().int().positive().default(2),
    /** Number of successive failures after which an upstream is ejected. */
    ejectAfterFailures: z.number().int().positive().default(3),
    /** First ejection time; it doubles with each failed probe. */
    ejectionMs: z.number().positive().default(1_000),
    /** Maximum ejection time. */
    maxEjectionMs: z.number().positive().default(30_000),
    /** Factor on the concurrency limit after a refusal or a timeout. */
    limitDecrease: z.number().gt(0).lt(1).default(0.7),
    /** Load reports older than this are ignored. */
    reportMaxAgeMs: z.number().positive().default(4_000),
    /** Time for which an upstream counts as leaving after it was observed to be, unless a later report shows otherwise. */
    leavingHoldMs: z.number().positive().default(30_000),
    /** A peer's report that an upstream is leaving is ignored if a load report taken this much later shows otherwise. */
    peerSignMarginMs: z.number().nonnegative().default(3_000),
    /** Ratio of the hedge delay to the first-token latency that 95 % of the recent requests stay below. */
    hedgeDelayRatio: z.number().min(1).default(1.4),
    /** Minimum hedge delay at upstreams that are not slow. */
    hedgeMinDelayMs: z.number().nonnegative().default(20),
    /** Hedge delay of requests at an upstream that counts as slow. */
    slowHedgeDelayMs: z.number().positive().default(5),
});
/** Validated settings of the upstream feature. */
export type UpstreamSettings = z.infer<typeof UpstreamSettingsSchema>;
