/** Settings of the admission feature. */
import { z } from "zod";

/** Names of the policies: `adaptive` is for production, the others are baselines to measure it against. */
export const PolicyNameSchema = z.enum(["adaptive", "roundRobin", "leastRequests", "singleQueue"]);
export type PolicyName = z.infer<typeof PolicyNameSchema>;

const ShareSchema = z.number().min(0).max(1);

/** Settings of the queues and of the choice of an upstream. Ratios are fractions of the named quantity. */
export const AdmissionSettingsSchema = z.strictObject({
    policy: PolicyNameSchema.default("adaptive"),
    /** Maximum number of waiting requests per class. */
    queueLimit: z.number().int().positive().default(512),
    /** Requests sent to an upstream relative to its slots; above 1, a short queue at the upstream hides the round-trip time. */
    overcommitRatio: z.number().positive().default(1.25),
    /** How urgent work gets slots: by slots kept free for it, or by the engine's preemption. Plain services keep slots free. */
    urgentPlacement: z.enum(["headroom", "preemption"]).default("preemption"),
    /** Fraction of the slots that is kept free for urgent work. */
    headroomRatio: ShareSchema.default(0.15),
    /** Minimum fraction of the slots for background work while such work waits. */
    backgroundMinRatio: ShareSchema.default(0.1),
    /** Whether long work is capped at each upstream, or has dedicated upstreams. */
    longPlacement: z.enum(["cap", "dedicated"]).default("cap"),
    /** Maximum fraction of the slots, or of the upstreams, for long work. */
    longMaxRatio: ShareSchema.default(0.5),
    /** Whether engines pause long work for short work of the same class. */
    longYields: z.boolean().default(true),
    /** Minimum fraction of the slots for preemptible long work while such work waits. */
    longMinRatio: ShareSchema.default(0.2),
    /** Short work allowed beyond this host's share, relative to the share, at upstreams that seem to have free slots. */
    burstRatio: z.number().nonnegative().default(0.5),
    /** Whether requests with the same prompt prefix prefer the same upstream. */
    prefixAffinity: z.boolean().default(true),
    /** Prompts with fewer tokens ignore their prefix: affinity would save less prefill time than its imbalance costs. */
    affinityMinPromptTokens: z.number().int().nonnegative().default(1_000),
    /** Maximum load of an upstream that is preferred for its cached prefix, relative to the average load. */
    affinityLoadBound: z.number().min(1).default(1.25),
    /** Number of upstreams that are picked at random; the one with the best score gets the request. */
    randomChoices: z.number().int().positive().default(8),
    /** Weight of other hosts' requests in the score; below 1 because their reported counts are older than most requests. */
    othersWeight: ShareSchema.default(0.3),
    /** Interval at which a host that needs more than its share may borrow more unused slots. */
    borrowIntervalMs: z.number().positive().default(1_000),
    /** Maximum retries as a fraction of the requests within the window. */
    retryRatio: ShareSchema.default(0.1),
    /** Maximum hedges as a fraction of the requests. */
    hedgeRatio: ShareSchema.default(0.03),
    /** Length of the window in which retries, probes and requests are counted. */
    retryWindowMs: z.number().positive().default(10_000),
    /** Maximum fraction of the requests that may probe slow upstreams. */
    probeRatio: ShareSchema.default(0.005),
    /** Time after which a dispatch that was decided but has not started no longer counts as load. */
    dispatchStartTimeoutMs: z.number().positive().default(3_000),
    /** Minimum `Retry-After` of refused requests. */
    minRetryAfterMs: z.number().positive().default(1_000),
});
export type AdmissionSettings = z.infer<typeof AdmissionSettingsSchema>;
