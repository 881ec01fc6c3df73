/** The command `toucanctl undo`. */
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { readChanges } from "../../features/config/configSnapshot.js";
import type { ConfigChange, ResourceEdit } from "../../features/config/configTypes.js";
import { defineCommand } from "../command.js";
import { type CommandFailure, fail, storeUnavailable } from "../commandResult.js";
import { EditOptions, runEdit } from "../config/editCommand.js";
import { editOf, type ResourceSet } from "../config/resourceSet.js";

/** Undoes one version by committing the earlier values as a new version. */
export const undoCommand = defineCommand({
    command: "undo <version>",
    describe: "undo one version as a new version",
    positionals: { version: { type: "number", demandOption: true, describe: "version to undo" } },
    options: EditOptions,
    run: async (context, args) => {
        const changes = await readChanges(context.store, args.version - 1, args.version);
        if (changes.isErr) {
            return storeUnavailable(changes.error);
        }
        const change = changes.value[0];
        if (change === undefined) {
            return fail(ExitCodes.Failed, `version ${args.version} does not exist`);
        }
        const message = args.message === "" ? `undo of version ${change.version}` : args.message;
        return runEdit(context, { ...args, message }, set => planUndo(set, change));
    },
});

/** @returns The edits that restore the values from before a change; a conflict if others changed them later. */
function planUndo(set: ResourceSet, change: ConfigChange): Result<ResourceEdit[], CommandFailure> {
    const changedLater = change.changes.filter(({ kind, name, before, after }) => {
        const current = set.get(kind, name);
        return ![before, after].some(side => isDeepStrictEqual(current, side ?? undefined));
    });
    if (changedLater.length > 0) {
        const names = changedLater.map(({ kind, name }) => `${kind}/${name}`).join(", ");
        const details = changedLater.map(({ kind, name, before, after }) => ({
            kind,
            name,
            base: after ?? null,
            mine: before ?? null,
            theirs: set.get(kind, name) ?? null,
        }));
        return fail(ExitCodes.Conflict, `a later version also changed ${names}`, details);
    }
    return Result.ok(change.changes.map(({ kind, name, before }) => editOf(set, kind, name, before ?? undefined)));
}
