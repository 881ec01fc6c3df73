/** Schemas and types of the configuration resources and of the change log. */
import { z } from "zod";
import { LabelsSchema, MatchAllSelector, SelectorSchema } from "../../base/labels.js";

/** Name of a resource; also part of keys in the store. */
export const ResourceNameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/);

const Sha256Schema = z.string().regex(/^[0-9a-f]{64}$/);

/** Classes of work, most urgent first. */
export const WorkClassSchema = z.enum(["urgent", "normal", "background"]);
/** Class of work of a request. */
export type WorkClass = z.infer<typeof WorkClassSchema>;

/** A team, which is a customer. */
export const TeamSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    /** SHA-256 of each API key. */
    keyHashes: z.array(Sha256Schema).default([]),
    /** Share of contended capacity relative to other teams. */
    weight: z.number().positive().default(1),
});
/** A team resource. */
export type Team = z.infer<typeof TeamSchema>;

/** A prepaid budget. The paid amount is stored in the budget object of the store. */
export const BudgetResourceSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    /** Teams whose requests the budget pays for. */
    teams: SelectorSchema,
});
/** A budget resource. */
export type BudgetResource = z.infer<typeof BudgetResourceSchema>;

/** A priority grant. Its uses are stored and divided among hosts like budget tokens, under the name `grant/NAME`. */
export const PriorityGrantSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    teams: SelectorSchema,
    kinds: SelectorSchema.default(MatchAllSelector),
});
/** A priority grant resource. */
export type PriorityGrant = z.infer<typeof PriorityGrantSchema>;

/** A request kind. */
export const RequestKindSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    class: WorkClassSchema.default("normal"),
    length: z.enum(["short", "long", "auto"]).default("auto"),
    /** Whether a request may be run twice. If absent, model requests may, and calls to services depending on the HTTP method. */
    repeatable: z.boolean().optional(),
    deadlineMs: z.number().int().positive().default(30_000),
});
/** A request kind resource. */
export type RequestKind = z.infer<typeof RequestKindSchema>;

/** A routing rule. Of the rules that match a request, the one with the lowest order applies. */
export const RuleSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    order: z.number().int().default(100),
    teams: SelectorSchema.default(MatchAllSelector),
    kinds: SelectorSchema.default(MatchAllSelector),
    /** Models that the rule applies to. If `models` and `services` are both empty, it applies to all. */
    models: z.array(z.string()).default([]),
    /** Services that the rule applies to. */
    services: z.array(z.string()).default([]),
    upstreams: SelectorSchema,
    fallbackUpstreams: SelectorSchema.optional(),
    /** Request kind of requests that do not name one. */
    defaultKind: z.string().optional(),
    /** Weight by upstream name; upstreams without an entry have weight 1. */
    weights: z.record(z.string(), z.number().nonnegative()).default({}),
    maxOutputTokens: z.number().int().positive().default(1_024),
    /** Price of a call to a plain service, in tokens. */
    serviceCostTokens: z.number().int().nonnegative().default(1),
    maxInFlightPerUpstream: z.number().int().positive().optional(),
});
/** A routing rule resource. */
export type Rule = z.infer<typeof RuleSchema>;

/** An upstream: a model engine or a plain service. */
export const UpstreamSchema = z.strictObject({
    labels: LabelsSchema.default({}),
    url: z.url(),
    zone: z.string().default(""),
    type: z.enum(["engine", "service"]).default("engine"),
    models: z.array(z.string()).default([]),
    /** Name under `/services/`, for plain services. */
    service: z.string().default(""),
    /** Number of requests that it can run at the same time. */
    slots: z.number().int().positive().default(8),
    checksFencing: z.boolean().default(false),
    /** Upper bound of prompt tokens per byte of prompt text. */
    promptTokensPerByte: z.number().positive().default(1),
});
/** An upstream resource. */
export type Upstream = z.infer<typeof UpstreamSchema>;

/** Schema of each resource kind. */
export const ResourceSchemas = {
    Team: TeamSchema,
    Budget: BudgetResourceSchema,
    Grant: PriorityGrantSchema,
    RequestKind: RequestKindSchema,
    Rule: RuleSchema,
    Upstream: UpstreamSchema,
} as const;

/** Names of the resource kinds. */
export const ResourceKindSchema = z.enum(["Team", "Budget", "Grant", "RequestKind", "Rule", "Upstream"]);
/** Name of a resource kind. */
export type ResourceKind = z.infer<typeof ResourceKindSchema>;

/** Edit of one resource. Without `before` the resource is created, without `after` it is deleted. */
export const ResourceEditSchema = z.object({
    kind: ResourceKindSchema,
    name: ResourceNameSchema,
    before: z.unknown().optional(),
    after: z.unknown().optional(),
});
/** Edit of one resource. */
export type ResourceEdit = z.infer<typeof ResourceEditSchema>;

/** An accepted change of the configuration. Stored under {@link configChangeKey}. */
export const ConfigChangeSchema = z.object({
    version: z.number().int().positive(),
    author: z.string(),
    operationId: z.string(),
    message: z.string().default(""),
    atMs: z.number(),
    changes: z.array(ResourceEditSchema),
});
/** An accepted change of the configuration. */
export type ConfigChange = z.infer<typeof ConfigChangeSchema>;

/**
 * A change as read from the store or received from a peer. Unlike {@link ConfigChangeSchema} it keeps kinds and fields of
 * newer releases, so that a host that does not know them still sends the complete change to its peers.
 */
export const ReceivedChangeSchema = z.looseObject({
    version: z.number().int().positive(),
    changes: z.array(z.looseObject({ kind: z.string(), name: ResourceNameSchema, after: z.unknown().optional() })),
});
/** A change as read from the store or received from a peer. */
export type ReceivedChange = z.infer<typeof ReceivedChangeSchema>;

/** Prefix of the store keys of the change log. */
export const ConfigChangePrefix = "config/change/";

/** @returns Store key of a version in the change log; zero-padded, so that keys sort by version. */
export function configChangeKey(version: number): string {
    return `${ConfigChangePrefix}${String(version).padStart(10, "0")}`;
}

/** The resources in force, by kind and name. */
export interface ConfigResources {
    readonly teams: ReadonlyMap<string, Team>;
    readonly budgets: ReadonlyMap<string, BudgetResource>;
    readonly grants: ReadonlyMap<string, PriorityGrant>;
    readonly requestKinds: ReadonlyMap<string, RequestKind>;
    readonly rules: ReadonlyMap<string, Rule>;
    readonly upstreams: ReadonlyMap<string, Upstream>;
}
