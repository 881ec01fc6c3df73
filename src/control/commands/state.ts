/** `toucanctl state`. */
import { defineCommand } from "../command.js";
import { callHost } from "../operatorCalls.js";

export const stateCommand = defineCommand({
    command: "state <host>",
    describe: "show the state of a router",
    positionals: { host: { type: "string", demandOption: true, describe: "host id" } },
    options: {},
    run: (context, args) => callHost(context, args.host, "GET", "/state"),
});
