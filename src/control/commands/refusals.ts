/** The command `toucanctl refusals`. */
import { defineCommand } from "../command.js";
import type { CommandOutput } from "../commandResult.js";
import { readLogs } from "../trace/readLogs.js";
import { analyseRefusals, type RefusalAnalysis } from "../trace/refusalAnalysis.js";

/** Compares the refusals in the logs of a whole fleet with a central counter of the tokens. */
export const refusalsCommand = defineCommand({
    command: "refusals <files..>",
    describe: "count refusals for lack of tokens that a central counter would not have made",
    positionals: {
        files: { type: "string", array: true, demandOption: true, describe: "log files of all hosts" },
    },
    options: {},
    run: (_context, args) => Promise.resolve(readLogs(args.files).map(logs => toOutput(analyseRefusals(logs)))),
});

function toOutput(analysis: RefusalAnalysis): CommandOutput {
    const falseCount = analysis.refusals.reduce((sum, refusal) => sum + refusal.falseCount, 0);
    const trueCount = analysis.refusals.reduce((sum, refusal) => sum + refusal.trueCount, 0);
    const callCount = Object.values(analysis.storeCalls).reduce((sum, count) => sum + count, 0);
    const percent = (count: number): string =>
        analysis.requestCount === 0 ? "0" : (100 * count / analysis.requestCount).toFixed(2);
    return {
        value: analysis,
        table: {
            columns: ["team", "prepaid", "charged", "at risk", "false refusals", "true refusals"],
            rows: analysis.teams.map(team => [
                team.team,
                team.prepaidTokens,
                team.chargedTokens,
                team.atRiskTokens ?? "unknown",
                team.falseCount,
                team.trueCount,
            ]),
        },
        lines: [
            ...analysis.refusals.map(({ reason, falseCount, trueCount }) =>
                `${reason}: ${falseCount} false, ${trueCount} true`
            ),
            `${analysis.requestCount} requests; ${falseCount} refusals false (${percent(falseCount)} %), ` +
            `${trueCount} true (${percent(trueCount)} %)`,
            ...Object.entries(analysis.storeCalls).map(([purpose, count]) => `store calls, ${purpose}: ${count}`),
            `${callCount} calls to the store`,
        ],
    };
}
