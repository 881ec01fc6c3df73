/** Schema of a deployment that is measured: its upstreams, resources and load. */
import { z } from "zod";
import { parseSelector } from "../base/labels.js";
import {
    BudgetResourceSchema,
    PriorityGrantSchema,
    RequestKindSchema,
    RuleSchema,
} from "../features/config/configTypes.js";
import { RequestClassSchema } from "../load/loadScenario.js";
import { UpstreamStandInSettingsSchema } from "../standins/upstream/upstreamSettings.js";

/** A selector in text form. */
const SelectorTextSchema = z.string().transform((text, context) => {
    const selector = parseSelector(text);
    if (selector === undefined) {
        context.addIssue({ code: "custom", message: "the selector is malformed" });
        return z.NEVER;
    }
    return selector;
});

/** Upstreams with the same settings. */
const UpstreamGroupSchema = z.strictObject({
    /** Prefix of the names, which a number from 1 follows. */
    prefix: z.string(),
    count: z.number().int().positive(),
    labels: z.record(z.string(), z.string()).default({}),
    /** Name under `/services/`, for plain services. */
    service: z.string().default(""),
    /** Upper bound of prompt tokens per byte in the configuration. */
    promptTokensPerByte: z.number().positive().default(0.3),
    settings: UpstreamStandInSettingsSchema.partial(),
});

/** Role of a phase; the figures compare phases by their roles. */
export const PhaseRoleSchema = z.enum(["idle", "crest", "short", "shortWithLong", "slowed", "other"]);
/** Role of a phase. */
export type PhaseRole = z.infer<typeof PhaseRoleSchema>;

/** A phase of the load. */
const BenchPhaseSchema = z.strictObject({
    role: PhaseRoleSchema,
    /** Duration in a quick run, in milliseconds; longer runs scale it. */
    durationMs: z.number().int().positive(),
    /** Whether the duration is not scaled. */
    fixed: z.boolean().default(false),
    /** Time in which the rates change linearly from those of the previous phase, in milliseconds. */
    rampMs: z.number().int().nonnegative().default(0),
    /** Requests per second by class. */
    rates: z.record(z.string(), z.number().nonnegative()),
});

/** A deployment and its load. */
export const BenchDeploymentSchema = z.strictObject({
    name: z.string(),
    routers: z.number().int().positive().default(6),
    zones: z.array(z.string()).min(1),
    /** One-way delay between a host and the platform, in milliseconds. */
    platformDelayMs: z.number().nonnegative().default(1),
    upstreams: z.array(UpstreamGroupSchema).min(1),
    /** Feature settings of the routers. */
    features: z.record(z.string(), z.unknown()).default({}),
    /** Prefix of the group whose slots are the capacity. */
    capacityGroup: z.string(),
    /** Number of upstreams of this group that are slowed. */
    slowedCount: z.number().int().positive().default(2),
    /** Factor on the durations of slowed upstreams. */
    slowFactor: z.number().positive().default(10),
    teams: z.record(z.string(), z.strictObject({ labels: z.record(z.string(), z.string()), weight: z.number() })),
    budgets: z.record(z.string(), z.strictObject({ teams: SelectorTextSchema, paidTokens: z.number().int() })),
    grants: z.record(
        z.string(),
        z.strictObject({ teams: SelectorTextSchema, kinds: SelectorTextSchema, uses: z.number().int() }),
    ),
    requestKinds: z.record(z.string(), RequestKindSchema),
    rules: z.record(
        z.string(),
        RuleSchema.extend({ kinds: SelectorTextSchema.prefault(""), upstreams: SelectorTextSchema }),
    ),
    classes: z.record(z.string(), RequestClassSchema),
    /** Classes whose first-token latency is measured for priority work. */
    priorityClasses: z.array(z.string()),
    /** Classes whose first-token latency is measured for short work, also with slowed upstreams. */
    shortClasses: z.array(z.string()),
    phases: z.array(BenchPhaseSchema).min(1),
});
/** A deployment and its load. */
export type BenchDeployment = z.infer<typeof BenchDeploymentSchema>;
/** Upstreams with the same settings. */
export type UpstreamGroup = BenchDeployment["upstreams"][number];

/** @returns Names of the upstreams of a group. */
export function groupNames(group: UpstreamGroup): string[] {
    return Array.from({ length: group.count }, (_, index) => `${group.prefix}${index + 1}`);
}

/** @returns The group whose slots are the capacity. */
export function capacityGroupOf(deployment: BenchDeployment): UpstreamGroup {
    return deployment.upstreams.find(group => group.prefix === deployment.capacityGroup)!;
}

/** @returns Output tokens per second that the capacity group produces when all slots are busy. */
export function capacityTokensPerS(deployment: BenchDeployment): number {
    const group = capacityGroupOf(deployment);
    const { slots, tokenIntervalMs, batchPenaltyMs } = UpstreamStandInSettingsSchema.parse(group.settings);
    return group.count * slots * 1_000 / (tokenIntervalMs + batchPenaltyMs * (slots - 1));
}

/** @returns Edits that create the resources of the configuration. */
export function resourceEdits(
    deployment: BenchDeployment,
    urls: ReadonlyMap<string, string>,
    keyHashOf: (team: string) => string,
): { readonly kind: string; readonly name: string; readonly after: unknown; }[] {
    const edits = (kind: string, resources: Readonly<Record<string, unknown>>) =>
        Object.entries(resources).map(([name, after]) => ({ kind, name, after }));
    const upstreams = deployment.upstreams.flatMap(group =>
        groupNames(group).map(name => {
            const { type, models, slots, checksFencing } = UpstreamStandInSettingsSchema.parse(group.settings);
            const { labels, service, promptTokensPerByte } = group;
            const offeredModels = type === "engine" ? models : [];
            const url = urls.get(name)!;
            return [name, {
                labels,
                url,
                type,
                models: offeredModels,
                service,
                slots,
                checksFencing,
                promptTokensPerByte,
            }];
        })
    );
    const teams = Object.entries(deployment.teams).map(([name, { labels, weight }]) => [name, {
        labels,
        weight,
        keyHashes: [keyHashOf(name)],
    }]);
    const withoutAmount = <T extends object>(resources: Record<string, T>, schema: z.ZodType, amount: keyof T) =>
        Object.fromEntries(
            Object.entries(resources).map(([name, resource]) => {
                const remainingFields = Object.fromEntries(Object.entries(resource).filter(([key]) => key !== amount));
                return [name, schema.parse(remainingFields)];
            }),
        );
    return [
        ...edits("Team", Object.fromEntries(teams)),
        ...edits("Budget", withoutAmount(deployment.budgets, BudgetResourceSchema, "paidTokens")),
        ...edits("Grant", withoutAmount(deployment.grants, PriorityGrantSchema, "uses")),
        ...edits("RequestKind", deployment.requestKinds),
        ...edits("Upstream", Object.fromEntries(upstreams)),
        ...edits("Rule", deployment.rules),
    ];
}
