/** The command `toucanctl audit`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { auditBudgets, type AuditFinding, type AuditReport, type BudgetBalance } from "../budgets/audit.js";
import { readBudgets } from "../budgets/budgetReader.js";
import { readHostBillingData } from "../budgets/hostBillingData.js";
import { defineCommand } from "../command.js";
import { combineResults, type CommandFailure } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { BalanceColumns } from "./balances.js";

/** Pause between two audits, so that they do not see the same write in progress: hosts write records every few seconds. */
const PauseBetweenAttemptsMs = 1_000;

/** Audits all budgets and reports findings that persist over several attempts. */
export const auditCommand = defineCommand({
    command: "audit",
    describe: "prove that paid = settled + in transfer + held + at risk + free for each budget",
    positionals: {},
    options: {
        attempts: { type: "number", default: 4, describe: "number of successive audits that must show a finding" },
    },
    run: async (context, args) => {
        const audited = await auditUntilClean(context, args.attempts);
        if (audited.isErr) {
            return Result.err(audited.error);
        }
        const { budgets, findings } = audited.value;
        const rows = budgets.map(sum => Object.values(sum) as (string | number)[]);
        const lines = [
            ...budgets.flatMap(formatTransferNote),
            ...findings.map(({ budget, hostKey, message }) => `${[budget, hostKey].join(" ").trim()}: ${message}`),
            findings.length === 0 ? `${budgets.length} budgets add up` : `${findings.length} findings`,
        ];
        const exitCode = findings.length === 0 ? ExitCodes.Done : ExitCodes.Failed;
        return Result.ok({ value: audited.value, table: { columns: BalanceColumns, rows }, lines, exitCode });
    },
});

/** @returns A note if a budget has received tokens whose sender has not recorded them yet. */
function formatTransferNote({ budget, inTransferTokens, atRiskTokens }: BudgetBalance): string[] {
    const unrecordedTokens = -inTransferTokens - atRiskTokens;
    return unrecordedTokens > 0 ?
        [`note: ${budget}: ${unrecordedTokens} tokens were received that no host record shows as sent yet`] :
        [];
}

/** Repeats the audit while it has findings, at most `attempts` times, and keeps the findings that every audit has. */
async function auditUntilClean(
    context: ControlContext,
    attempts: number,
): Promise<Result<AuditReport, CommandFailure>> {
    let persistent: readonly AuditFinding[] | undefined;
    for (let attempt = 1;; attempt++) {
        const read = combineResults(await readBudgets(context), await readHostBillingData(context));
        if (read.isErr) {
            return Result.err(read.error);
        }
        const report = auditBudgets(...read.value);
        const known = new Set(persistent?.map(findingKey));
        const findings = report.findings.filter(finding => persistent === undefined || known.has(findingKey(finding)));
        if (findings.length === 0 || attempt >= attempts) {
            return Result.ok({ budgets: report.budgets, findings });
        }
        persistent = findings;
        await context.sleep(PauseBetweenAttemptsMs);
    }
}

/** @returns A key that is equal for the same finding in repeated audits. */
function findingKey({ budget, hostKey, check }: AuditFinding): string {
    return JSON.stringify([budget, hostKey, check]);
}
