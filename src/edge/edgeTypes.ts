/** Configuration, upstreams and requests of the forwarding edge. */
import { z } from "zod";

const NameSchema = z.string().min(1);
const DurationMsSchema = z.number().nonnegative();

/** What may be repeated: `idempotent` requests run any number of times, the others at most once. */
export const RequestKindSchema = z.enum(["idempotent", "nonIdempotent", "streaming"]);

/** A share of a route's requests that goes to one service. */
export const RouteTargetSchema = z.object({ service: NameSchema, weight: z.number().nonnegative() });

/** Where requests for a host and a path prefix go, and how they are treated. */
export const RouteSchema = z.object({
    name: NameSchema,
    host: NameSchema,
    pathPrefix: z.string(),
    kind: RequestKindSchema,
    targets: z.array(RouteTargetSchema).min(1),
    /** Longest time a request is kept waiting. */
    timeoutMs: DurationMsSchema,
    /** Time within which an answer, or the first event of a stream, is on time. */
    objectiveMs: DurationMsSchema,
    /** Longest pause between events for which a stream is on time. */
    pauseObjectiveMs: DurationMsSchema.optional(),
    /** Rank; 0 is the most urgent. */
    priority: z.number(),
    /** Upstreams at which one request may run. */
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
});
export type Service = z.infer<typeof ServiceSchema>;

/** A team with its API keys and what it has paid for. */
export const EdgeTeamSchema = z.object({
    name: NameSchema,
    apiKeys: z.array(z.string()),
    /** Takes precedence over the route's priority. */
    priority: z.number().optional(),
    /** Tokens that the team may consume in all; `undefined` is no limit. */
    prepaidTokens: z.number().nonnegative().optional(),
});
export type EdgeTeam = z.infer<typeof EdgeTeamSchema>;

/** What callers may send and how long they may take. */
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
    /** Start of the upstream's process; tells two starts under one id apart. */
    startedAtMs: z.number(),
});
export type UpstreamEntry = z.infer<typeof UpstreamEntrySchema>;

/** A part of a prompt, in order from the start. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Size of a generation. */
export interface TokenCounts {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
}

/** What the edge needs to know of a caller's request beyond its path. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    readonly apiKey: string | undefined;
    /** How long the caller will wait, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly tokenCounts: TokenCounts | undefined;
    readonly promptParts: readonly PromptPart[];
    /** Estimate of the output tokens by the caller. */
    readonly expectedOutputTokens: number | undefined;
    readonly lastEventId: string | undefined;
}

/** What the edge tells an upstream about a request. */
export interface DispatchMetadata {
    readonly upstreamId: string;
    readonly team: string | undefined;
    /** Time that is left, in milliseconds. */
    readonly remainingMs: number;
    /** Rank for the engine's scheduler; `undefined` leaves the engine's default. */
    readonly enginePriority: number | undefined;
    /** Replaces the caller's own value when a stream continues at another upstream. */
    readonly resumeAfterEventId: string | undefined;
}

/** What a response says beyond its status. */
export interface ResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Whether another upstream has the address now. */
    readonly isWrongUpstream: boolean;
    /** Whether the response bears the upstream's signature. */
    readonly hasSignature: boolean;
    /** Whether the upstream states that it leaves: it must get no new requests. */
    readonly isLeaving: boolean;
    /** Time for which the upstream wants no request of this host, in milliseconds; `undefined` when it states none. */
    readonly retryAfterMs: number | undefined;
}
