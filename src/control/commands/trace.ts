/** The command `toucanctl trace`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { defineCommand } from "../command.js";
import { fail, type Table } from "../commandResult.js";
import { readLogs } from "../trace/readLogs.js";
import { findAbruptEnds, type LogLine, traceRequest } from "../trace/requestTrace.js";

/** Collects a request's lines from the log files of several hosts and shows the decision that ended it. */
export const traceCommand = defineCommand({
    command: "trace <request> <files..>",
    describe: "collect a request's log lines from several hosts and show the decision that ended it",
    positionals: {
        request: { type: "string", demandOption: true, describe: "request id" },
        files: { type: "string", array: true, demandOption: true, describe: "log files" },
    },
    options: {},
    run: (_context, args) => {
        const logs = readLogs(args.files);
        if (logs.isErr) {
            return Promise.resolve(logs.cast());
        }
        const trace = traceRequest(args.request, logs.value);
        if (trace.decision === undefined) {
            const ended = findAbruptEnds(logs.value).map(({ host, lastLineMs, nextStartMs }) =>
                `${host} ended without a stop line between ${new Date(lastLineMs).toISOString()} and ` +
                `${new Date(nextStartMs).toISOString()}`
            );
            const hint = ended.length === 0 ?
                "" :
                `; it may have been open at a host that was killed: ${ended.join("; ")}`;
            return Promise.resolve(
                fail(ExitCodes.Failed, `no decision about request ${args.request} in these logs${hint}`),
            );
        }
        return Promise.resolve(Result.ok({
            value: trace,
            table: createTable([...trace.context, ...trace.lines].sort((a, b) => a.timeMs - b.timeMs)),
            lines: [`decided by: ${trace.decision.message} at ${trace.decision.host}: ${formatFields(trace.decision)}`],
        }));
    },
});

function createTable(lines: readonly LogLine[]): Table {
    return {
        columns: ["time", "host", "message", "facts"],
        rows: lines.map(line => [new Date(line.timeMs).toISOString(), line.host, line.message, formatFields(line)]),
    };
}

function formatFields(line: LogLine): string {
    return Object.entries(line.fields)
        .filter(([name]) => name !== "request" && name !== "shares")
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
}
