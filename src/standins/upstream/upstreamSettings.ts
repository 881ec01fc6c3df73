/** Settings and faults of the upstream stand-in. */
import { z } from "zod";

/** Settings of the upstream stand-in, with their defaults. */
export const UpstreamStandInSettingsSchema = z.strictObject({
    name: z.string().default("upstream"),
    type: z.enum(["engine", "service"]).default("engine"),
    host: z.string().default("127.0.0.1"),
    port: z.number().int().min(0).max(65_535).default(9_000),
    models: z.array(z.string()).default(["assistant"]),
    /** Requests that run at the same time; more wait. */
    slots: z.number().int().positive().default(8),
    /** Requests that may wait; more are refused. */
    waitingLimit: z.number().int().nonnegative().default(256),
    /** Duration of one decoding step with one running request. */
    tokenIntervalMs: z.number().positive().default(20),
    /** Added to a decoding step for each further running request. */
    batchPenaltyMs: z.number().nonnegative().default(0.5),
    prefillTokensPerS: z.number().positive().default(20_000),
    /** Prompt tokens that the prefix cache holds. */
    prefixCacheTokens: z.number().int().nonnegative().default(50_000),
    promptTokensPerByte: z.number().positive().default(0.25),
    /** Interval between two load reports, which is also the maximum age of the current one. */
    reportIntervalMs: z.number().positive().default(1_000),
    /** Whether a dispatch with an old fencing number for the same key is refused. */
    checksFencing: z.boolean().default(false),
    /** Duration of a call to a plain service. */
    serviceTimeMs: z.number().nonnegative().default(5),
    /** One-way network delay that is added before and after each request. */
    networkDelayMs: z.number().nonnegative().default(0),
});
/** Settings of the upstream stand-in with all defaults filled in. */
export type UpstreamStandInSettings = z.infer<typeof UpstreamStandInSettingsSchema>;

/** Number of further requests that a fault applies to; -1 means all. */
const AffectedCountSchema = z.number().int().min(-1).default(0);

/** Faults of the upstream stand-in; by default all are off. */
export const UpstreamFaultsSchema = z.strictObject({
    /** Multiplies the duration of every step. */
    slowFactor: z.number().positive().default(1),
    /** Refuses all requests with status 503 and states in the response header and the load report that it is leaving. */
    leaving: z.boolean().default(false),
    /** Accepts requests, runs them and never responds. */
    silentRequests: AffectedCountSchema,
    /** Destroys the connection after `dieAfterTokens` tokens. */
    dyingRequests: AffectedCountSchema,
    dieAfterTokens: z.number().int().nonnegative().default(3),
    /** Responds with the id of another request. */
    crossedRequests: AffectedCountSchema,
    /** Refuses requests definitely, with status 429. */
    refusedRequests: AffectedCountSchema,
    /** Delays requests by `lateMs` before they are handled. */
    lateRequests: AffectedCountSchema,
    lateMs: z.number().nonnegative().default(5_000),
});
/** Faults with all defaults filled in. */
export type UpstreamFaults = z.infer<typeof UpstreamFaultsSchema>;

/** Faults that apply to a limited number of requests. */
export type CountedFault =
    | "silentRequests"
    | "dyingRequests"
    | "crossedRequests"
    | "refusedRequests"
    | "lateRequests";

/** Holds the active faults and counts down the limited ones. */
export class UpstreamFaultInjector {
    #faults: UpstreamFaults = UpstreamFaultsSchema.parse({});

    /** @returns The active faults. */
    get current(): UpstreamFaults {
        return this.#faults;
    }

    /** Replaces the given fields; the others stay. */
    update(changes: Partial<UpstreamFaults>): void {
        this.#faults = UpstreamFaultsSchema.parse({ ...this.#faults, ...changes });
    }

    /**
     * Decrements the remaining number of requests of a fault; -1 is not counted down.
     * @returns Whether the fault applies to this request.
     */
    consume(fault: CountedFault): boolean {
        const remaining = this.#faults[fault];
        if (remaining > 0) {
            this.#faults = { ...this.#faults, [fault]: remaining - 1 };
        }
        return remaining !== 0;
    }
}
