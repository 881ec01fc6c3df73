/** The command `toucanctl explain`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { explainRoute, formatExplanation } from "../../routing/explainRoute.js";
import { defineCommand } from "../command.js";
import { fail } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";

/** Shows how the stored configuration routes a request, without sending it. */
export const explainCommand = defineCommand({
    command: "explain",
    describe: "show which rule, budget and upstreams serve a request, and why",
    positionals: {},
    options: {
        team: { type: "string", demandOption: true, describe: "name of the team" },
        model: { type: "string", describe: "model of a model request" },
        service: { type: "string", describe: "name of a plain service" },
        method: { type: "string", default: "POST", describe: "HTTP method of a call to a service" },
        kind: { type: "string", describe: "request kind that the request names" },
        grant: { type: "string", describe: "priority grant that the request claims" },
        "prompt-bytes": { type: "number", default: 0, describe: "bytes of all messages" },
        "max-tokens": { type: "number", describe: "max_tokens of the request" },
    },
    run: async (context, args) => {
        if ((args.model === undefined) === (args.service === undefined)) {
            return fail(ExitCodes.Usage, "either --model or --service is needed");
        }
        const base = await loadResourceSet(context);
        return base.andThen(({ set }) => {
            const explanation = explainRoute(set.toConfigResources(), {
                team: args.team,
                model: args.model,
                service: args.service,
                method: args.method,
                requestKind: args.kind,
                grant: args.grant,
                promptBytes: args["prompt-bytes"],
                messageCount: 1,
                maxOutputTokens: args["max-tokens"],
                promptPrefix: undefined,
            });
            const exitCode = explanation.refusal === undefined ? ExitCodes.Done : ExitCodes.Failed;
            return Result.ok({ value: explanation, lines: [formatExplanation(explanation)], exitCode });
        });
    },
});
