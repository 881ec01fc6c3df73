/** Reads the log files that a command is given. */
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { type CommandFailure, fail } from "../commandResult.js";
import { type LogLine, parseLog } from "./requestTrace.js";

/** @returns The parsed lines of all files; a failure when a file cannot be read. */
export function readLogs(files: readonly string[]): Result<LogLine[], CommandFailure> {
    const logs: LogLine[] = [];
    for (const file of files) {
        try {
            // Appended one by one: a large log has more lines than a call may have arguments.
            for (const line of parseLog(basename(file), readFileSync(file, "utf8"))) {
                logs.push(line);
            }
        }
        catch (error) {
            return fail(ExitCodes.Usage, `cannot read ${file}: ${(error as Error).message}`);
        }
    }
    return Result.ok(logs);
}
