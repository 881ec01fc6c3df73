/** The command `toucanctl state`. */
import { defineCommand } from "../command.js";
import { callOperatorEndpoint } from "../operatorCalls.js";

/** Shows the state dump of a router. */
export const stateCommand = defineCommand({
    command: "state <host>",
    describe: "show the state of a router",
    positionals: { host: { type: "string", demandOption: true, describe: "host id" } },
    options: {},
    run: (context, args) => callOperatorEndpoint(context, args.host, "GET", "/state"),
});
