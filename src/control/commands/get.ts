/** The command `toucanctl get`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { defineCommand } from "../command.js";
import { combineResults, fail } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";
import { formatLabels, KindPositional, parseKind, selectResources } from "../config/resourceSelection.js";

/** Shows resources of a kind: one by name, or all that a label selector matches. */
export const getCommand = defineCommand({
    command: "get <kind> [name]",
    describe: "show resources",
    positionals: { kind: KindPositional, name: { type: "string", describe: "name of one resource" } },
    options: { selector: { type: "string", alias: "l", default: "", describe: "label selector" } },
    run: async (context, args) => {
        const chosen = combineResults(parseKind(args.kind), await loadResourceSet(context)).andThen(([kind, { set }]) =>
            selectResources(set, kind, args.selector).map(selected => ({ kind, selected }))
        );
        if (chosen.isErr) {
            return Result.err(chosen.error);
        }
        const { kind, selected } = chosen.value;
        const resources = selected.filter(({ name }) => args.name === undefined || name === args.name);
        if (args.name !== undefined && resources.length === 0) {
            return fail(ExitCodes.Failed, `no ${kind} "${args.name}" exists`);
        }
        const value = resources.map(({ name, value: spec }) => ({ kind, name, spec }));
        if (args.name !== undefined) {
            return Result.ok({ value, lines: [JSON.stringify(value[0], undefined, 4)] });
        }
        const rows = resources.map(
            resource => [resource.name, formatLabels(resource.value), formatSpec(resource.value)],
        );
        return Result.ok({ value, table: { columns: ["NAME", "LABELS", "SPEC"], rows } });
    },
});

function formatSpec(spec: unknown): string {
    const { labels, ...otherFields } = spec as Record<string, unknown>;
    void labels;
    return JSON.stringify(otherFields);
}
