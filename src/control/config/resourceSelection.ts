/** Selects resources by the kind and label selector given on the command line. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { type Labels, LabelsSchema, matchesSelector, parseSelector, selectorKeys } from "../../base/labels.js";
import type { SnapshotResource } from "../../features/config/configSnapshot.js";
import { type ResourceKind, ResourceKindSchema } from "../../features/config/configTypes.js";
import { type CommandFailure, fail } from "../commandResult.js";
import type { ResourceSet } from "./resourceSet.js";

/** Definition of the positional argument that names a resource kind. */
export const KindPositional = {
    type: "string",
    demandOption: true,
    describe: `${ResourceKindSchema.options.join(", ")}; case does not matter`,
} as const;

/** @returns The kind that the text names, in any case, singular or plural; fails for an unknown kind. */
export function parseKind(text: string): Result<ResourceKind, CommandFailure> {
    const lowerCased = text.toLowerCase();
    const kind = ResourceKindSchema.options.find(option =>
        [lowerCased, lowerCased.replace(/s$/, "")].includes(option.toLowerCase())
    );
    return kind === undefined ? fail(ExitCodes.Usage, `unknown kind "${text}"`) : Result.ok(kind);
}

/**
 * Selects resources of a kind. Fails if the selector is malformed or uses a label key that no resource of the kind has.
 * @param selector Label selector as text; empty selects all.
 */
export function selectResources(
    set: ResourceSet,
    kind: ResourceKind,
    selector: string,
): Result<SnapshotResource[], CommandFailure> {
    const parsed = parseSelector(selector);
    if (parsed === undefined) {
        return fail(ExitCodes.Usage, `malformed selector "${selector}"`);
    }
    const resources = set.listByKind(kind);
    const unknown = selectorKeys(parsed).find(key => !resources.some(({ value }) => key in labelsOf(value)));
    if (unknown !== undefined) {
        return fail(ExitCodes.Failed, `no ${kind} carries the label "${unknown}"`);
    }
    return Result.ok(resources.filter(({ value }) => matchesSelector(parsed, labelsOf(value))));
}

/** @returns The labels of a resource; none if they are absent or invalid. */
export function labelsOf(spec: unknown): Labels {
    const labels = LabelsSchema.safeParse((spec as { labels?: unknown; } | undefined)?.labels);
    return labels.success ? labels.data : {};
}

/** @returns The labels of a resource as comma-separated `key=value` pairs. */
export function formatLabels(spec: unknown): string {
    return Object.entries(labelsOf(spec)).map(([key, value]) => `${key}=${value}`).join(",");
}
