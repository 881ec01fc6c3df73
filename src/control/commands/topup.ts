/** The command `toucanctl topup`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { topUp } from "../budgets/topUp.js";
import { defineCommand, OperationOptions, resolveOperationId } from "../command.js";
import { fail } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";

/** Adds prepaid tokens to a budget, or uses to a priority grant. */
export const topupCommand = defineCommand({
    command: "topup <budget> <tokens>",
    describe: "add prepaid tokens to a budget, or uses to a grant (grant/NAME)",
    positionals: {
        budget: { type: "string", demandOption: true, describe: "budget name, or grant/NAME" },
        tokens: { type: "number", demandOption: true, describe: "number of tokens to add" },
    },
    options: OperationOptions,
    run: async (context, args) => {
        if (!Number.isSafeInteger(args.tokens) || args.tokens <= 0) {
            return fail(ExitCodes.Usage, "the number of tokens must be a positive integer");
        }
        const base = await loadResourceSet(context);
        if (base.isErr) {
            return Result.err(base.error);
        }
        const grant = args.budget.startsWith("grant/") ? args.budget.slice("grant/".length) : undefined;
        const isKnown = grant === undefined ?
            base.value.set.get("Budget", args.budget) !== undefined :
            base.value.set.get("Grant", grant) !== undefined;
        if (!isKnown) {
            return fail(ExitCodes.Failed, `no budget or grant "${args.budget}" is configured`);
        }
        const operationId = resolveOperationId(context, args["operation-id"]);
        const result = await topUp(context, { budget: args.budget, tokens: args.tokens, operationId });
        return result.map(({ status, paidTokens }) => ({
            value: { status, budget: args.budget, tokens: args.tokens, operationId, paidTokens },
            lines: [
                status === "added" ?
                    `added ${args.tokens} to ${args.budget}, paid in total: ${paidTokens}` :
                    `operation ${operationId} was already applied, paid in total: ${paidTokens}`,
            ],
        }));
    },
});
