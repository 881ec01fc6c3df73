/** The command `toucanctl delete`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { defineCommand } from "../command.js";
import { fail } from "../commandResult.js";
import { EditOptions, runEdit } from "../config/editCommand.js";
import { KindPositional, parseKind } from "../config/resourceSelection.js";
import { editOf } from "../config/resourceSet.js";

/** Deletes a resource. */
export const deleteCommand = defineCommand({
    command: "delete <kind> <name>",
    describe: "delete a resource",
    positionals: { kind: KindPositional, name: { type: "string", demandOption: true } },
    options: EditOptions,
    run: async (context, args) => {
        const kind = parseKind(args.kind);
        if (kind.isErr) {
            return Result.err(kind.error);
        }
        return runEdit(context, args, set =>
            set.get(kind.value, args.name) === undefined ?
                fail(ExitCodes.Failed, `no ${kind.value} "${args.name}" exists`) :
                Result.ok([editOf(set, kind.value, args.name, undefined)]));
    },
});
