/** Scenario of an open-loop load: request classes and phases with arrival rates. */
import { z } from "zod";

/** A number, or a range from which a number is drawn with uniform probability. */
const RangeSchema = z.union([
    z.number().nonnegative().transform(value => ({ min: value, max: value })),
    z.strictObject({ min: z.number().nonnegative(), max: z.number().nonnegative() })
        .refine(range => range.min <= range.max, "min must not exceed max"),
]);
/** An inclusive range. */
export type Range = z.infer<typeof RangeSchema>;

/** Requests of one class. */
export const RequestClassSchema = z.strictObject({
    team: z.string().default(""),
    /** API key. */
    key: z.string(),
    /** Value of `X-Request-Kind`; empty sends none. */
    kind: z.string().default(""),
    /** Value of `X-Priority-Grant`; empty sends none. */
    grant: z.string().default(""),
    /** Model of chat requests. */
    model: z.string().default(""),
    /** Path of calls to a plain service, for example `/services/dispatch/orders`. */
    path: z.string().default(""),
    method: z.enum(["GET", "POST"]).default("POST"),
    promptBytes: RangeSchema.prefault(200),
    /** Number of different prompt prefixes; 0 makes every prompt unique from its start. */
    prefixes: z.number().int().nonnegative().default(0),
    outputTokens: RangeSchema.prefault(16),
    /** `max_tokens`; absent sends none. */
    maxTokens: z.number().int().positive().optional(),
    stream: z.boolean().default(true),
    /** Whether each request carries an `Idempotency-Key` of its own. */
    keyed: z.boolean().default(false),
}).refine(one => (one.model === "") !== (one.path === ""), "exactly one of model and path must be set");
/** Requests of one class. */
export type RequestClass = z.infer<typeof RequestClassSchema>;

/** A phase of the run with its arrival rates. */
export const PhaseSchema = z.strictObject({
    name: z.string().min(1),
    durationMs: z.number().int().positive(),
    /** Requests per second by class; classes without an entry send nothing. */
    rates: z.record(z.string(), z.number().nonnegative()),
    /** Time in which the rates change linearly from those of the previous phase, in milliseconds; included in the duration. */
    rampMs: z.number().int().nonnegative().default(0),
});
/** A phase of the run with its arrival rates. */
export type Phase = z.infer<typeof PhaseSchema>;

/** A scenario: routers, request classes and phases. */
export const LoadScenarioSchema = z.strictObject({
    /** Caller URLs of the routers; each request goes to one at random, as through a load balancer. */
    routers: z.array(z.url()).min(1),
    seed: z.number().int().default(1),
    /** Maximum time until a request ends, in milliseconds. */
    timeoutMs: z.number().int().positive().default(60_000),
    /** Maximum wait after the last phase, in milliseconds; requests that are still open then are cut. */
    drainMs: z.number().int().positive().default(60_000),
    classes: z.record(z.string(), RequestClassSchema),
    phases: z.array(PhaseSchema).min(1),
}).superRefine((scenario, context) => {
    for (const [index, phase] of scenario.phases.entries()) {
        for (const name of Object.keys(phase.rates).filter(one => scenario.classes[one] === undefined)) {
            context.addIssue({ code: "custom", path: ["phases", index, "rates", name], message: "no such class" });
        }
    }
});
/** A scenario: routers, request classes and phases. */
export type LoadScenario = z.infer<typeof LoadScenarioSchema>;
