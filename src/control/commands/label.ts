/** The command `toucanctl label`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { LabelsSchema } from "../../base/labels.js";
import { defineCommand } from "../command.js";
import { combineResults, type CommandFailure, fail } from "../commandResult.js";
import { EditOptions, runEdit } from "../config/editCommand.js";
import { KindPositional, labelsOf, parseKind, selectResources } from "../config/resourceSelection.js";
import { editOf } from "../config/resourceSet.js";

/** Labels to set, and keys of labels to remove. */
interface LabelEdits {
    readonly set: Readonly<Record<string, string>>;
    readonly removed: readonly string[];
}

/** Sets or removes labels on all resources of a kind that a selector matches. */
export const labelCommand = defineCommand({
    command: "label <kind> <labels..>",
    describe: "set labels (key=value) or remove them (key-) on all resources that a selector matches",
    positionals: {
        kind: KindPositional,
        labels: { type: "string", array: true, demandOption: true, describe: "key=value or key-" },
    },
    options: {
        selector: { type: "string", alias: "l", demandOption: true, describe: "label selector; empty matches all" },
        ...EditOptions,
    },
    run: async (context, args) => {
        const parsed = combineResults(parseKind(args.kind), parseLabelEdits(args.labels));
        if (parsed.isErr) {
            return Result.err(parsed.error);
        }
        const [kind, { set: added, removed }] = parsed.value;
        return runEdit(
            context,
            args,
            set =>
                selectResources(set, kind, args.selector).andThen(selected =>
                    selected.length === 0 ?
                        fail(ExitCodes.Failed, `the selector matches no ${kind}`) :
                        Result.ok(selected.map(({ name, value }) => {
                            const kept = Object.entries(labelsOf(value)).filter(([key]) => !removed.includes(key));
                            const labels = { ...Object.fromEntries(kept), ...added };
                            return editOf(set, kind, name, { ...value as object, labels });
                        }))
                ),
        );
    },
});

/** Parses arguments of the forms `key=value` and `key-`. */
function parseLabelEdits(texts: readonly string[]): Result<LabelEdits, CommandFailure> {
    const set: Record<string, string> = {};
    const removed: string[] = [];
    for (const text of texts) {
        const separator = text.indexOf("=");
        if (separator > 0) {
            set[text.slice(0, separator)] = text.slice(separator + 1);
        }
        else if (separator < 0 && text.length > 1 && text.endsWith("-")) {
            removed.push(text.slice(0, -1));
        }
        else {
            return fail(ExitCodes.Usage, `malformed label "${text}"; use key=value or key-`);
        }
    }
    return LabelsSchema.safeParse(set).success ?
        Result.ok({ set, removed }) :
        fail(ExitCodes.Usage, "label keys and values have at most 63 characters");
}
