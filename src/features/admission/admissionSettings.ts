/** Settings of the admission feature. */
import { z } from "zod";

/** Names of the policies: the real one and baselines to measure it against. */
export const PolicyNameSchema = z.enum(["adaptive", "roundRobin", "leastRequests", "singleQueue"]);
export type PolicyName = z.infer<typeof PolicyNameSchema>;

const ShareSchema = z.number().min(0).max(1);

/** Settings of queues and of the choice of an upstream. */
export const AdmissionSettingsSchema = z.strictObject({
    policy: PolicyNameSchema.default("adaptive"),
    /** Requests of one class that may wait. */
    queueLimit: z.number().int().positive().default(512),
    /** Requests sent to an upstream relative to its slots; above 1 a short queue there hides the round trip. */
    overcommitRatio: z.number().positive().default(1.25),
    /** How urgent work finds room: slots kept free for it, or the engine's preemption. Plain services keep slots free. */
    urgentPlacement: z.enum(["headroom", "preemption"]).default("preemption"),
    /** Share of the slots that other work leaves free for urgent work. */
    headroomRatio: ShareSchema.default(0.15),
    /** Share of the slots that background work gets at least while it waits. */
    backgroundMinRatio: ShareSchema.default(0.1),
    /** Long work is capped at each upstream, or has upstreams of its own. */
    longPlacement: z.enum(["cap", "dedicated"]).default("cap"),
    /** Largest share of the slots, or of the upstreams, for long work. */
    longMaxRatio: ShareSchema.default(0.5),
    /** Whether engines pause long work for short work of the same class. */
    longYields: z.boolean().default(true),
    /** Share of the slots that long work which gives way gets at least while it waits. */
    longMinRatio: ShareSchema.default(0.2),
    /** Short work beyond this host's share, relative to the share, at upstreams that seem to have free slots. */
    burstRatio: z.number().nonnegative().default(0.5),
    /** Whether requests with the same prompt prefix prefer the same upstream. */
    prefixAffinity: z.boolean().default(true),
    /** Shorter prompts ignore their prefix: the saved prefill is smaller than the imbalance that affinity causes. */
    affinityMinPromptTokens: z.number().int().nonnegative().default(1_000),
    /** Largest load of an upstream preferred for its cached prefix, relative to the average. */
    affinityLoadBound: z.number().min(1).default(1.25),
    /** Upstreams that are drawn at random; the one with the best score is taken. */
    randomChoices: z.number().int().positive().default(8),
    /** Weight of other hosts' requests in the score: their figures are older than most requests last. */
    othersWeight: ShareSchema.default(0.3),
    /** Interval at which a host that needs more than its share may take more of what nobody uses. */
    borrowIntervalMs: z.number().positive().default(1_000),
    /** Retries and hedges as a share of the requests within the window. */
    retryRatio: ShareSchema.default(0.1),
    hedgeRatio: ShareSchema.default(0.03),
    retryWindowMs: z.number().positive().default(10_000),
    /** Share of requests that may test slow upstreams. */
    probeRatio: ShareSchema.default(0.005),
    /** Decisions whose dispatch does not start within this time no longer count as load. */
    dispatchStartTimeoutMs: z.number().positive().default(3_000),
    minRetryAfterMs: z.number().positive().default(1_000),
});
export type AdmissionSettings = z.infer<typeof AdmissionSettingsSchema>;
