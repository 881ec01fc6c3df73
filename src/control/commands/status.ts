/** The command `toucanctl status`. */
import { Result } from "true-myth";
import { defineCommand } from "../command.js";
import { combineResults } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";
import { hostsBehind, readFleetStatus, statusTable } from "../fleetStatus.js";

/** Shows the configuration version in force on each host. */
export const statusCommand = defineCommand({
    command: "status",
    describe: "show the configuration version in force on each host",
    positionals: {},
    options: {},
    run: async context => {
        const read = combineResults(await loadResourceSet(context), await readFleetStatus(context));
        if (read.isErr) {
            return Result.err(read.error);
        }
        const [{ loaded: { version } }, hosts] = read.value;
        const behind = hostsBehind(hosts, version).map(({ hostId }) => hostId);
        const lines = [`newest version: ${version}; hosts behind: ${behind.length === 0 ? "none" : behind.join(", ")}`];
        return Result.ok({ value: { version, behind, hosts }, table: statusTable(hosts), lines });
    },
});
