/** The configuration that operator commands edit: resources by kind and name. */
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

/** Resources at one version. */
export class ResourceSet {
    readonly #resources: Map<string, SnapshotResource>;

    private constructor(resources: Map<string, SnapshotResource>) {
        this.#resources = resources;
    }

    /** @returns The resources of a loaded configuration. */
    static of(loaded: Pick<LoadedConfiguration, "resources">): ResourceSet {
        return new ResourceSet(new Map(loaded.resources.map(entry => [resourceId(entry.kind, entry.name), entry])));
    }

    /** @returns A copy with the edits applied. */
    withEdits(edits: readonly ResourceEdit[]): ResourceSet {
        const copy = new Map(this.#resources);
        applyChange(copy, { changes: [...edits] });
        return new ResourceSet(copy);
    }

    /** Applies an accepted change. */
    applyChange(change: ConfigChange): void {
        applyChange(this.#resources, change);
    }

    /** @returns The value of a resource, or `undefined`. */
    get(kind: string, name: string): unknown {
        return this.#resources.get(resourceId(kind, name))?.value;
    }

    /** @returns All resources, sorted by kind and name. */
    list(): SnapshotResource[] {
        return [...this.#resources].sort(([a], [b]) => a < b ? -1 : 1).map(([, resource]) => resource);
    }

    /** @returns Resources of one kind, sorted by name. */
    listByKind(kind: ResourceKind): SnapshotResource[] {
        return [...this.#resources.values()].filter(resource => resource.kind === kind)
            .sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** @returns The resources in the form that routers use. Values that this release cannot read are left out. */
    toConfigResources(): ConfigResources {
        const table = <K extends ResourceKind>(kind: K): Map<string, z.infer<(typeof ResourceSchemas)[K]>> => {
            const entries = this.listByKind(kind).map(({ name, value }) => ({ name, parsed: parseSpec(kind, value) }));
            return new Map(entries.flatMap(({ name, parsed }) => parsed.isOk ? [[name, parsed.value]] : []));
        };
        return {
            teams: table("Team"),
            budgets: table("Budget"),
            grants: table("Grant"),
            requestKinds: table("RequestKind"),
            rules: table("Rule"),
            upstreams: table("Upstream"),
        };
    }
}

/** A problem of a resource. */
export interface ResourceProblem {
    /** Resource and field, for example `Rule/orders: upstreams`. */
    readonly path: string;
    readonly message: string;
}

/** @returns The resource with its defaults, or every problem with its path. */
export function parseSpec<K extends ResourceKind>(
    kind: K,
    spec: unknown,
): Result<z.infer<(typeof ResourceSchemas)[K]>, ResourceProblem[]> {
    const parsed = ResourceSchemas[kind].safeParse(spec);
    return parsed.success ?
        Result.ok(parsed.data as z.infer<(typeof ResourceSchemas)[K]>) :
        Result.err(parsed.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })));
}

/** A resource as it stands in a file. */
export interface FileResource {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly spec: unknown;
}

const FileResourceSchema = z.strictObject({ kind: ResourceKindSchema, name: ResourceNameSchema, spec: z.unknown() });

/**
 * Checks the contents of a file: one `{kind, name, spec}` or a list of them.
 * @returns The resources with their defaults filled in, or every problem with its path.
 */
export function parseResourceFile(contents: unknown): Result<FileResource[], ResourceProblem[]> {
    const entries: unknown[] = Array.isArray(contents) ? contents : [contents];
    const resources: FileResource[] = [];
    const problems: ResourceProblem[] = [];
    for (const [index, entry] of entries.entries()) {
        const parsed = FileResourceSchema.safeParse(entry);
        if (!parsed.success) {
            const at = (path: readonly PropertyKey[]): string => [`[${index}]`, ...path].join(".");
            problems.push(...parsed.error.issues.map(issue => ({ path: at(issue.path), message: issue.message })));
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

/** @returns The edit that sets a resource. */
export function editOf(set: ResourceSet, kind: ResourceKind, name: string, after: unknown): ResourceEdit {
    const before = set.get(kind, name);
    return {
        kind,
        name,
        ...(before === undefined ? {} : { before }),
        ...(after === undefined ? {} : { after }),
    };
}
