/** The configuration that operator commands edit, as resources by kind and name, and the parsing of resources. */
import { Result } from "true-myth";
import { z } from "zod";
import {
    applyChange,
    type LoadedConfiguration,
    resourceId,
    type SnapshotResource,
} from "../../features/config/configSnapshot.js";
import {
    type ConfigChange,
    type ConfigResources,
    type ResourceEdit,
    type ResourceKind,
    ResourceKindSchema,
    ResourceNameSchema,
    ResourceSchemas,
} from "../../features/config/configTypes.js";

/** The resources of one configuration version, by kind and name. */
export class ResourceSet {
    readonly #resources: Map<string, SnapshotResource>;

    private constructor(resources: Map<string, SnapshotResource>) {
        this.#resources = resources;
    }

    /** @returns The resources of a loaded configuration. */
    static of(loaded: Pick<LoadedConfiguration, "resources">): ResourceSet {
        return new ResourceSet(new Map(loaded.resources.map(entry => [resourceId(entry.kind, entry.name), entry])));
    }

    /** @returns A copy with the edits applied; this set stays as it is. */
    withEdits(edits: readonly ResourceEdit[]): ResourceSet {
        const copy = new Map(this.#resources);
        applyChange(copy, { changes: [...edits] });
        return new ResourceSet(copy);
    }

    /** Applies an accepted change to this set. */
    applyChange(change: ConfigChange): void {
        applyChange(this.#resources, change);
    }

    /** @returns The value of a resource, or `undefined` if it does not exist. */
    get(kind: string, name: string): unknown {
        return this.#resources.get(resourceId(kind, name))?.value;
    }

    /** @returns All resources, sorted by kind and name. */
    list(): SnapshotResource[] {
        return [...this.#resources].sort(([a], [b]) => a < b ? -1 : 1).map(([, resource]) => resource);
    }

    /** @returns All resources of one kind, sorted by name. */
    listByKind(kind: ResourceKind): SnapshotResource[] {
        return [...this.#resources.values()].filter(resource => resource.kind === kind)
            .sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** @returns The resources in the form that routers use, without values that this release cannot parse. */
    toConfigResources(): ConfigResources {
        const parseAll = <K extends ResourceKind>(kind: K): Map<string, z.infer<(typeof ResourceSchemas)[K]>> => {
            const entries = this.listByKind(kind).map(({ name, value }) => ({ name, parsed: parseSpec(kind, value) }));
            return new Map(entries.flatMap(({ name, parsed }) => parsed.isOk ? [[name, parsed.value]] : []));
        };
        return {
            teams: parseAll("Team"),
            budgets: parseAll("Budget"),
            grants: parseAll("Grant"),
            requestKinds: parseAll("RequestKind"),
            rules: parseAll("Rule"),
            upstreams: parseAll("Upstream"),
        };
    }
}

/** A validation error or warning about a resource. */
export interface ResourceProblem {
    /** Resource and field, for example `Rule/orders: upstreams`; may be only the field, or empty. */
    readonly path: string;
    readonly message: string;
}

/** @returns The resource with defaults filled in, or all problems, each with the field's path inside the resource. */
export function parseSpec<K extends ResourceKind>(
    kind: K,
    spec: unknown,
): Result<z.infer<(typeof ResourceSchemas)[K]>, ResourceProblem[]> {
    const parsed = ResourceSchemas[kind].safeParse(spec);
    return parsed.success ?
        Result.ok(parsed.data as z.infer<(typeof ResourceSchemas)[K]>) :
        Result.err(parsed.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })));
}

/** A resource from a file, with defaults filled in. */
export interface FileResource {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly spec: unknown;
}

const FileResourceSchema = z.strictObject({ kind: ResourceKindSchema, name: ResourceNameSchema, spec: z.unknown() });

/**
 * Parses the contents of a file: one `{kind, name, spec}` or an array of them.
 * @returns The resources with defaults filled in, or all problems with their paths.
 */
export function parseResourceFile(contents: unknown): Result<FileResource[], ResourceProblem[]> {
    const entries: unknown[] = Array.isArray(contents) ? contents : [contents];
    const resources: FileResource[] = [];
    const problems: ResourceProblem[] = [];
    for (const [index, entry] of entries.entries()) {
        const parsed = FileResourceSchema.safeParse(entry);
        if (!parsed.success) {
            const formatPath = (path: readonly PropertyKey[]): string => [`[${index}]`, ...path].join(".");
            problems.push(
                ...parsed.error.issues.map(issue => ({ path: formatPath(issue.path), message: issue.message })),
            );
            continue;
        }
        const { kind, name } = parsed.data;
        const spec = parseSpec(kind, parsed.data.spec);
        if (spec.isErr) {
            problems.push(...spec.error.map(({ path, message }) => ({ path: `${kind}/${name}: ${path}`, message })));
            continue;
        }
        if (resources.some(other => other.kind === kind && other.name === name)) {
            problems.push({ path: `${kind}/${name}`, message: "the file contains this resource twice" });
        }
        resources.push({ kind, name, spec: spec.value });
    }
    return problems.length > 0 ? Result.err(problems) : Result.ok(resources);
}

/** @returns The edit that changes a resource of the set to `after`; `undefined` deletes it. */
export function editOf(set: ResourceSet, kind: ResourceKind, name: string, after: unknown): ResourceEdit {
    const before = set.get(kind, name);
    return {
        kind,
        name,
        ...(before === undefined ? {} : { before }),
        ...(after === undefined ? {} : { after }),
    };
}
