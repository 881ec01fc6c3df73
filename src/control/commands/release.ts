/** The command `toucanctl release`. */
import { ExitCodes } from "../../base/exitCodes.js";
import { releaseAtRiskTokens } from "../budgets/release.js";
import { defineCommand } from "../command.js";
import { fail } from "../commandResult.js";

/** Settles the at-risk tokens of a dead host with the number of tokens that its requests used. */
export const releaseCommand = defineCommand({
    command: "release <host-key> <budget>",
    describe: "settle the at-risk tokens of a dead host according to the upstreams' records",
    positionals: {
        "host-key": { type: "string", demandOption: true, describe: "HOST~INCARNATION" },
        budget: { type: "string", demandOption: true },
    },
    options: { settled: { type: "number", demandOption: true, describe: "tokens that were used" } },
    run: async (context, args) => {
        if (!Number.isSafeInteger(args.settled) || args.settled < 0) {
            return fail(ExitCodes.Usage, "the number of tokens must be a whole number");
        }
        const request = { hostKey: args["host-key"], budget: args.budget, settledTokens: args.settled };
        const result = await releaseAtRiskTokens(context, request);
        return result.map(value => ({
            value,
            lines: [`${value.status}: ${value.settledTokens} tokens billed, ${value.freedTokens} free again`],
        }));
    },
});
