/** `toucanctl audit`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { auditBudgets, type AuditFinding, type AuditReport, type BudgetBalance } from "../budgets/audit.js";
import { readBudgets } from "../budgets/budgetReader.js";
import { readHostBillingData } from "../budgets/hostBillingData.js";
import { defineCommand } from "../command.js";
import { combineResults, type CommandFailure } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { BalanceColumns } from "./balances.js";

/** Hosts write their records every few seconds; two audits apart from each other do not see the same write. */
const PausePerAttemptMs = 1_000;

export const auditCommand = defineCommand({
    command: "audit",
    describe: "prove that paid = settled + in transfer + held + at risk + free for each budget",
    positionals: {},
    options: {
        attempts: { type: "number", default: 4, describe: "audits in which a finding must appear to count" },
    },
    run: async (context, args) => {
        const audited = await auditUntilClean(context, args.attempts);
        if (audited.isErr) {
            return Result.err(audited.error);
        }
        const { budgets, findings } = audited.value;
        const rows = budgets.map(sum => Object.values(sum) as (string | number)[]);
        const lines = [
            ...budgets.flatMap(noteOf),
            ...findings.map(({ budget, hostKey, message }) => `${[budget, hostKey].join(" ").trim()}: ${message}`),
            findings.length === 0 ? `${budgets.length} budgets add up` : `${findings.length} findings`,
        ];
        const exitCode = findings.length === 0 ? ExitCodes.Done : ExitCodes.Failed;
        return Result.ok({ value: audited.value, table: { columns: BalanceColumns, rows }, lines, exitCode });
    },
});

function noteOf({ budget, inTransferTokens, atRiskTokens }: BudgetBalance): string[] {
    const unsentTokens = -inTransferTokens - atRiskTokens;
    return unsentTokens > 0 ?
        [`note: ${budget}: ${unsentTokens} tokens were received whose sending no host record shows yet`] :
        [];
}

/** Repeats the audit while it has findings, and keeps those that appear each time. */
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
        const known = new Set(persistent?.map(identityOf));
        const findings = report.findings.filter(finding => persistent === undefined || known.has(identityOf(finding)));
        if (findings.length === 0 || attempt >= attempts) {
            return Result.ok({ budgets: report.budgets, findings });
        }
        persistent = findings;
        await context.sleep(PausePerAttemptMs);
    }
}

function identityOf({ budget, hostKey, check }: AuditFinding): string {
    return JSON.stringify([budget, hostKey, check]);
}
