/** The log of a process. A line records a decision about a request or a change in the state that the process knows of. */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";
import { LineWriter, standardOutputWriter } from "./lineWriter.js";

/** Output formats of the log: `lines` writes JSON to standard output without blocking, the others to standard error. */
export type LogFormat = "text" | "json" | "lines";

/** The process log. It writes to standard error by default, so that standard output contains results only. */
export const log = createConsola({ level: LogLevels.info, stdout: process.stderr, stderr: process.stderr });

/** @returns A reporter that writes each entry as one JSON object; its fields follow time, level and message. */
function jsonReporter(write: (line: string) => void): ConsolaReporter {
    return {
        log: entry => {
            const [message, fields] = entry.args as [unknown, Record<string, unknown> | undefined];
            write(JSON.stringify({
                time: entry.date.toISOString(),
                level: entry.type,
                message: String(message),
                ...fields,
            }));
        },
    };
}

/**
 * Sets the level and the format of {@link log}.
 * @param level Least severe level that is written.
 * @param format Output format; `json` and `lines` write one JSON object per line.
 * @returns The writer of the format `lines`, so that it can be flushed before the process exits; otherwise `undefined`.
 */
export function configureLog(level: keyof typeof LogLevels, format: LogFormat): LineWriter | undefined {
    log.level = LogLevels[level];
    if (format === "json") {
        log.setReporters([jsonReporter(line => process.stderr.write(`${line}\n`))]);
    }
    if (format === "lines") {
        const writer = standardOutputWriter();
        // Every line is written; consola would merge repeated lines.
        log.options.throttle = 0;
        log.setReporters([jsonReporter(line => writer.add(line))]);
        return writer;
    }
    return undefined;
}
