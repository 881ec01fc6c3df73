/** The command `toucanctl history`. */
import { Result } from "true-myth";
import { readChanges } from "../../features/config/configSnapshot.js";
import { defineCommand } from "../command.js";
import { storeUnavailable } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";

/** Shows accepted changes of the configuration, newest first. */
export const historyCommand = defineCommand({
    command: "history",
    describe: "show accepted changes, newest first",
    positionals: {},
    options: {
        limit: { type: "number", default: 20, describe: "number of versions to read" },
        resource: { type: "string", describe: "only changes of KIND/NAME" },
    },
    run: async (context, args) => {
        const base = await loadResourceSet(context);
        if (base.isErr) {
            return Result.err(base.error);
        }
        const { version } = base.value.loaded;
        const changes = await readChanges(context.store, Math.max(0, version - args.limit), version);
        if (changes.isErr) {
            return storeUnavailable(changes.error);
        }
        const names = changes.value.map(change => change.changes.map(({ kind, name }) => `${kind}/${name}`));
        const value = changes.value.filter((_change, index) =>
            args.resource === undefined || names[index]!.includes(args.resource)
        ).reverse();
        const rows = value.map(change => [
            change.version,
            new Date(change.atMs).toISOString(),
            change.author,
            change.changes.map(({ kind, name }) => `${kind}/${name}`).join(" "),
            change.message,
        ]);
        return Result.ok({ value, table: { columns: ["VERSION", "TIME", "AUTHOR", "CHANGED", "MESSAGE"], rows } });
    },
});
