/** The command `toucanctl bills`. */
import { Result } from "true-myth";
import { listBillLines, readHostBillingData } from "../budgets/hostBillingData.js";
import { defineCommand } from "../command.js";

/** Shows bill lines, or their sums per team, budget and model. */
export const billsCommand = defineCommand({
    command: "bills",
    describe: "show bill lines, or their sums per team, budget and model",
    positionals: {},
    options: {
        team: { type: "string", describe: "only this team" },
        budget: { type: "string", describe: "only this budget" },
        lines: { type: "boolean", default: false, describe: "show each line" },
    },
    run: async (context, args) => {
        const hosts = await readHostBillingData(context);
        if (hosts.isErr) {
            return Result.err(hosts.error);
        }
        const lines = hosts.value.flatMap(host => listBillLines(host).map(line => ({ hostKey: host.hostKey, ...line })))
            .filter(line => args.team === undefined || line.team === args.team)
            .filter(line => args.budget === undefined || line.budget === args.budget);
        if (args.lines) {
            const rows = lines.map(line => [
                new Date(line.atMs).toISOString(),
                line.requestId,
                line.team,
                line.budget,
                line.model,
                line.tokens,
                line.outcome,
            ]);
            const columns = ["TIME", "REQUEST", "TEAM", "BUDGET", "MODEL", "TOKENS", "OUTCOME"];
            return Result.ok({ value: lines, table: { columns, rows } });
        }
        const sums = new Map<string, { team: string; budget: string; model: string; lines: number; tokens: number; }>();
        for (const { team, budget, model, tokens } of lines) {
            const id = JSON.stringify([team, budget, model]);
            const sum = sums.get(id) ?? { team, budget, model, lines: 0, tokens: 0 };
            sum.lines++;
            sum.tokens += tokens;
            sums.set(id, sum);
        }
        const value = [...sums.entries()].sort(([a], [b]) => a < b ? -1 : 1).map(([, sum]) => sum);
        const rows = value.map(sum => Object.values(sum));
        return Result.ok({ value, table: { columns: ["TEAM", "BUDGET", "MODEL", "LINES", "TOKENS"], rows } });
    },
});
