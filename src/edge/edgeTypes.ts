/** Configuration, upstreams and requests of the forwarding edge. */
import { z } from "zod";

const NameSchema = z.string().min(1);
const DurationMsSchema = z.number().nonnegative();

/** Whether a request may be repeated: `idempotent` requests may run any number of times, the others at most once. */
export const RequestKindSchema = z.enum(["idempotent", "nonIdempotent", "streaming"]);

/** A service that receives a share of a route's requests, in proportion to its weight. */
export const RouteTargetSchema = z.object({ service: NameSchema, weight: z.number().nonnegative() });

/** The services that receive requests for a host and a path prefix, and how these requests are handled. */
export const RouteSchema = z.object({
    name: NameSchema,
    host: NameSchema,
    pathPrefix: z.string(),
    kind: RequestKindSchema,
    targets: z.array(RouteTargetSchema).min(1),
    /** Maximum time that a request is kept waiting. */
    timeoutMs: DurationMsSchema,
    /** Time within which a response, or the first event of a stream, counts as on time. */
    objectiveMs: DurationMsSchema,
    /** Maximum pause between events for which a stream counts as on time. */
    pauseObjectiveMs: DurationMsSchema.optional(),
    /** Rank; 0 is the most urgent. */
    priority: z.number(),
    /** Maximum number of upstreams at which one request may run. */
    maxAttempts: z.number().int().min(1),
    /** Whether requests need no API key. */
    isPublic: z.boolean(),
    /** Whether requests are generations whose prompt parts upstreams cache. */
    isGeneration: z.boolean(),
    /** Whether a stream may continue at another upstream. */
    isResumable: z.boolean(),
});
export type Route = z.infer<typeof RouteSchema>;

/** A model engine that serves a service. */
export const EngineSchema = z.object({
    slots: z.number().int().positive(),
    cacheTokens: z.number().positive(),
    /** Output tokens that one event of a stream holds. */
    tokensPerEvent: z.number().positive(),
});
export type Engine = z.infer<typeof EngineSchema>;

/** A group of interchangeable upstreams. */
export const ServiceSchema = z.object({
    name: NameSchema,
    /** Connections that one upstream accepts from all hosts together. */
    maxConnections: z.number().int().positive(),
    engine: EngineSchema.optional(),
    /** Time after its start for which an upstream is cold. */
    coldStartMs: DurationMsSchema.optional(),
    /** Requests per second that a cold upstream tolerates from all hosts together; without it, or with 0, cold upstreams have no limit. */
    coldRequestsPerS: z.number().nonnegative().optional(),
});
export type Service = z.infer<typeof ServiceSchema>;

/** A team with its API keys and prepaid tokens. */
export const EdgeTeamSchema = z.object({
    name: NameSchema,
    apiKeys: z.array(z.string()),
    /** Takes precedence over the route's priority. */
    priority: z.number().optional(),
    /** Total tokens that the team may consume; `undefined` means no limit. */
    prepaidTokens: z.number().nonnegative().optional(),
});
export type EdgeTeam = z.infer<typeof EdgeTeamSchema>;

/** Limits on the size of callers' requests and on the time that they may take to send them. */
export const CallerLimitsSchema = z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
});
export type CallerLimits = z.infer<typeof CallerLimitsSchema>;

/** One version of the configuration. */
export const EdgeConfigurationSchema = z.object({
    version: z.number().int().nonnegative(),
    routes: z.array(RouteSchema),
    services: z.array(ServiceSchema),
    /** `undefined` when requests need no key. */
    teams: z.array(EdgeTeamSchema).optional(),
    limits: CallerLimitsSchema,
});
export type EdgeConfiguration = z.infer<typeof EdgeConfigurationSchema>;

/** An upstream as the platform lists it. */
export const UpstreamEntrySchema = z.object({
    id: NameSchema,
    service: NameSchema,
    /** `IP:port`. */
    address: NameSchema,
    zone: z.string(),
    slots: z.number().int().positive(),
    isLeaving: z.boolean(),
    /** Start time of the upstream's process; distinguishes two starts under one id. */
    startedAtMs: z.number(),
    /** Time for which the upstream was still cold when the entry was written; absent when it states none. */
    coldLeftMs: DurationMsSchema.optional(),
});
export type UpstreamEntry = z.infer<typeof UpstreamEntrySchema>;

/** A section of a prompt that upstreams may have cached; lists of them are in the order of the prompt. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Size of a generation in tokens. */
export interface TokenCounts {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
}

/** Data that the edge reads from the headers of a caller's request. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    readonly apiKey: string | undefined;
    /** Time that the caller will wait for a response, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly tokenCounts: TokenCounts | undefined;
    readonly promptParts: readonly PromptPart[];
    /** The caller's estimate of the number of output tokens. */
    readonly expectedOutputTokens: number | undefined;
    readonly lastEventId: string | undefined;
}

/** Data about a request that the edge sends to the upstream in headers. */
export interface DispatchMetadata {
    readonly upstreamId: string;
    readonly team: string | undefined;
    /** Time remaining until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Rank for the engine's scheduler; `undefined` leaves the engine's default. */
    readonly enginePriority: number | undefined;
    /** Replaces the caller's own value when a stream continues at another upstream. */
    readonly resumeAfterEventId: string | undefined;
}

/** What a response states about the rate of requests that its upstream takes from all hosts together. */
export type StatedLimit =
    | { readonly kind: "none"; }
    | { readonly kind: "rate"; readonly requestsPerS: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** Data that the edge reads from the headers of an upstream's response. */
export interface ResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Whether the address now belongs to a different upstream. */
    readonly isWrongUpstream: boolean;
    /** Whether the response bears the upstream's signature. */
    readonly hasSignature: boolean;
    /** Whether the upstream states that it is leaving: it must get no new requests. */
    readonly isLeaving: boolean;
    /** Time for which the upstream asks this host to send no requests, in milliseconds; `undefined` when it states none. */
    readonly retryAfterMs: number | undefined;
    readonly statedLimit: StatedLimit;
}
