/** The command `toucanctl drain`. */
import { Result } from "true-myth";
import { defineCommand } from "../command.js";
import { callOperatorEndpoint } from "../operatorCalls.js";

/** Asks a router to drain: it finishes its requests, returns its shares and exits. */
export const drainCommand = defineCommand({
    command: "drain <host>",
    describe: "let a router finish its requests, return its shares and exit",
    positionals: { host: { type: "string", demandOption: true, describe: "host id" } },
    options: {},
    run: async (context, args) => {
        const result = await callOperatorEndpoint(context, args.host, "POST", "/drain");
        return result.andThen(output => Result.ok({ value: output.value, lines: [`${args.host} is draining`] }));
    },
});
