/** Settings of the upstream feature. */
import { z } from "zod";

/** Settings of load and health estimates. */
export const UpstreamSettingsSchema = z.strictObject({
    /** Time constant with which latency samples lose weight. */
    sampleDecayMs: z.number().positive().default(1_000),
    /** Samples older than this are dropped. */
    sampleMaxAgeMs: z.number().positive().default(20_000),
    /** First-token latency relative to the median of the others from which an upstream counts as slow. */
    slowFirstTokenRatio: z.number().min(1).default(3),
    /** Smallest absolute excess of first-token latency of a slow upstream; keeps noise of fast answers out. */
    slowFirstTokenMinExcessMs: z.number().nonnegative().default(60),
    /** Inter-token time relative to the median of the others from which an upstream counts as slow. */
    slowInterTokenRatio: z.number().min(1).default(2),
    /** Largest slowness factor; bounds how far the weight is lowered. */
    maxSlownessFactor: z.number().min(1).default(20),
    /** Interval at which a slow upstream is sent one request that tests its recovery. */
    probeIntervalMs: z.number().positive().default(3_000),
    /** Successive good samples that end slowness. */
    recoverySamples: z.number().int().positive().default(2),
    /** Successive failures that eject an upstream. */
    ejectAfterFailures: z.number().int().positive().default(3),
    /** First ejection time; it doubles with each failed probe. */
    ejectionMs: z.number().positive().default(1_000),
    maxEjectionMs: z.number().positive().default(30_000),
    /** Factor on the concurrency limit after a refusal or a timeout. */
    limitDecrease: z.number().gt(0).lt(1).default(0.7),
    /** Load reports older than this are ignored. */
    reportMaxAgeMs: z.number().positive().default(4_000),
    /** A sign of leaving stays in force for this time when no later report denies it. */
    leavingHoldMs: z.number().positive().default(30_000),
    /** A peer's sign of leaving is ignored when a report taken this long after it denies it. */
    peerSignMarginMs: z.number().nonnegative().default(3_000),
    /** Hedge delay relative to the first-token latency that 95 % of recent requests stay below. */
    hedgeDelayRatio: z.number().min(1).default(1.4),
    hedgeMinDelayMs: z.number().nonnegative().default(20),
    /** Hedge delay of requests at an upstream that is known to be slow. */
    slowHedgeDelayMs: z.number().positive().default(5),
});
export type UpstreamSettings = z.infer<typeof UpstreamSettingsSchema>;
