/** The command `toucanctl balances`. */
import { Result } from "true-myth";
import { auditBudgets } from "../budgets/audit.js";
import { readBudgets } from "../budgets/budgetReader.js";
import { readHostBillingData } from "../budgets/hostBillingData.js";
import { defineCommand } from "../command.js";
import { combineResults } from "../commandResult.js";

/** Table columns for a `BudgetBalance`, in the order of its fields. */
export const BalanceColumns = ["BUDGET", "PAID", "SETTLED", "IN TRANSFER", "HELD", "AT RISK", "FREE"];

/** Shows the token sums of each budget. */
export const balancesCommand = defineCommand({
    command: "balances [budget]",
    describe: "show the tokens of each budget",
    positionals: { budget: { type: "string", describe: "only this budget" } },
    options: {},
    run: async (context, args) => {
        const read = combineResults(await readBudgets(context), await readHostBillingData(context));
        if (read.isErr) {
            return Result.err(read.error);
        }
        const [budgets, hosts] = read.value;
        const chosen = budgets.filter(({ name }) => args.budget === undefined || name === args.budget);
        const { budgets: sums } = auditBudgets(chosen, hosts);
        const rows = sums.map(sum => Object.values(sum) as (string | number)[]);
        return Result.ok({ value: sums, table: { columns: BalanceColumns, rows } });
    },
});
