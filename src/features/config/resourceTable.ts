/** Immutable tables of the resources in force. */
import { PersistentMap } from "../../base/persistentMap.js";
import {
    type BudgetResource,
    type ConfigResources,
    type PriorityGrant,
    type RequestKind,
    type ResourceKind,
    ResourceKindSchema,
    ResourceSchemas,
    type Rule,
    type Team,
    type Upstream,
} from "./configTypes.js";

/** New value of a resource; `undefined` or `null` removes it. The kind may be one of a newer release. */
export interface ResourceUpdate {
    readonly kind: string;
    readonly name: string;
    readonly value: unknown;
}

type Resource = Team | BudgetResource | PriorityGrant | RequestKind | Rule | Upstream;
type Tables = { readonly [K in keyof ConfigResources]: PersistentMap<never>; };
type TableName = keyof ConfigResources;

const TableByKind: Readonly<Record<ResourceKind, TableName>> = {
    Team: "teams",
    Budget: "budgets",
    Grant: "grants",
    RequestKind: "requestKinds",
    Rule: "rules",
    Upstream: "upstreams",
};

/** Immutable tables of all resources, and the index from hashes of API keys to team names. */
export class ResourceTable {
    readonly resources: ConfigResources;
    readonly teamByKeyHash: PersistentMap<string>;

    private constructor(resources: ConfigResources, teamByKeyHash: PersistentMap<string>) {
        this.resources = resources;
        this.teamByKeyHash = teamByKeyHash;
    }

    /** @returns A table without resources. */
    static createEmpty(): ResourceTable {
        const empty = PersistentMap.empty<never>();
        const resources = { teams: empty, budgets: empty, grants: empty, requestKinds: empty, rules: empty };
        return new ResourceTable({ ...resources, upstreams: empty }, PersistentMap.empty());
    }

    /**
     * Applies a set of updates. A resource whose new value cannot be read stays as it was: the operators' tools validate
     * values before they write them, so that only values of a newer release can be unreadable.
     * @returns The new table, which shares unchanged data with this one, and the number of unreadable values.
     */
    withUpdates(values: readonly ResourceUpdate[]): { table: ResourceTable; unreadableCount: number; } {
        const edits = new Map<TableName, Map<string, Resource | undefined>>();
        let unreadableCount = 0;
        for (const { kind, name, value } of values) {
            const parsed = parseResource(kind, value);
            if (parsed === undefined) {
                unreadableCount++;
                continue;
            }
            const table = TableByKind[parsed.kind];
            edits.set(table, (edits.get(table) ?? new Map()).set(name, parsed.resource));
        }
        return { table: this.#withEdits(edits), unreadableCount };
    }

    #withEdits(edits: ReadonlyMap<TableName, ReadonlyMap<string, Resource | undefined>>): ResourceTable {
        const tables: Record<string, PersistentMap<never>> = { ...(this.resources as Tables) };
        for (const [table, tableEdits] of edits) {
            tables[table] = tables[table]!.with(tableEdits as ReadonlyMap<string, never>);
        }
        const resources = tables as unknown as ConfigResources;
        return new ResourceTable(resources, this.#withKeyEdits(edits.get("teams"), resources));
    }

    #withKeyEdits(
        teamEdits: ReadonlyMap<string, Resource | undefined> | undefined,
        resources: ConfigResources,
    ): PersistentMap<string> {
        const keyEdits = new Map<string, string | undefined>();
        for (const name of teamEdits?.keys() ?? []) {
            for (const hash of this.resources.teams.get(name)?.keyHashes ?? []) {
                // A key that has been assigned to another team since then stays with that team.
                if (this.teamByKeyHash.get(hash) === name) {
                    keyEdits.set(hash, undefined);
                }
            }
        }
        for (const name of teamEdits?.keys() ?? []) {
            for (const hash of resources.teams.get(name)?.keyHashes ?? []) {
                keyEdits.set(hash, name);
            }
        }
        return keyEdits.size === 0 ? this.teamByKeyHash : this.teamByKeyHash.with(keyEdits);
    }
}

/** @returns The parsed resource, `undefined` as the resource of a removal, or `undefined` if the value cannot be read. */
function parseResource(
    kind: string,
    value: unknown,
): { kind: ResourceKind; resource: Resource | undefined; } | undefined {
    const parsedKind = ResourceKindSchema.safeParse(kind);
    if (!parsedKind.success) {
        return undefined;
    }
    if (value === undefined || value === null) {
        return { kind: parsedKind.data, resource: undefined };
    }
    const schema = ResourceSchemas[parsedKind.data];
    const strict = schema.safeParse(value);
    const parsed = strict.success ? strict : schema.strip().safeParse(value);
    return parsed.success ? { kind: parsedKind.data, resource: internEmptyContainers(parsed.data) } : undefined;
}

const EmptyLabels = Object.freeze({});
const EmptyList: readonly never[] = Object.freeze([]);

/** Replaces empty objects and arrays by shared ones; 41,000 budgets would otherwise hold as many copies of each. */
function internEmptyContainers<T extends Resource>(resource: T): T {
    return internIfEmpty(resource) as T;
}

function internIfEmpty(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.length === 0 ? EmptyList : value.map(internIfEmpty);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    const record = value as Record<string, unknown>;
    const keys = Object.keys(record);
    for (const key of keys) {
        record[key] = internIfEmpty(record[key]);
    }
    return keys.length === 0 ? EmptyLabels : record;
}
