/** Choosing resources on the command line: kind and label selector. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { type Labels, LabelsSchema, matchesSelector, parseSelector, selectorKeys } from "../../base/labels.js";
import type { SnapshotResource } from "../../features/config/configSnapshot.js";
import { type ResourceKind, ResourceKindSchema } from "../../features/config/configTypes.js";
import { type CommandFailure, fail } from "../commandResult.js";
import type { ResourceSet } from "./resourceSet.js";

/** The positional argument for a kind. */
export const KindPositional = {
    type: "string",
    demandOption: true,
    describe: `${ResourceKindSchema.options.join(", ")}; case does not matter`,
} as const;

/** @returns The kind, written in any case, singular or plural. */
export function parseKind(text: string): Result<ResourceKind, CommandFailure> {
    const wanted = text.toLowerCase();
    const kind = ResourceKindSchema.options.find(option =>
        [wanted, wanted.replace(/s$/, "")].includes(option.toLowerCase())
    );
    return kind === undefined ? fail(ExitCodes.Usage, `unknown kind "${text}"`) : Result.ok(kind);
}

/**
 * Selects resources of a kind.
 * @param selector Text form; empty selects all. A label that no resource of the kind carries is refused.
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

/** @returns The labels of a resource. */
export function labelsOf(spec: unknown): Labels {
    const labels = LabelsSchema.safeParse((spec as { labels?: unknown; } | undefined)?.labels);
    return labels.success ? labels.data : {};
}

/** @returns The labels as `key=value` pairs. */
export function formatLabels(spec: unknown): string {
    return Object.entries(labelsOf(spec)).map(([key, value]) => `${key}=${value}`).join(",");
}
