/** The one log of a process. A line marks a decision about a request or a change of what the process believes. */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";
import { LineWriter, standardOutputWriter } from "./lineWriter.js";

/** Output formats of the log: `lines` writes JSON to standard output without blocking, the others to standard error. */
export type LogFormat = "text" | "json" | "lines";

/** The process log. Writes to standard error, so that standard output stays free for results. */
export const log = createConsola({ level: LogLevels.info, stdout: process.stderr, stderr: process.stderr });

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
 * @param level Name of the lowest level that is written.
 * @param format `json` and `lines` write one JSON object per line.
 * @returns The writer of the format `lines`, so that a process that ends can flush it.
 */
export function configureLog(level: keyof typeof LogLevels, format: LogFormat): LineWriter | undefined {
    log.level = LogLevels[level];
    if (format === "json") {
        log.setReporters([jsonReporter(line => process.stderr.write(`${line}\n`))]);
    }
    if (format === "lines") {
        const writer = standardOutputWriter();
        // Repeated lines count; consola would fold them.
        log.options.throttle = 0;
        log.setReporters([jsonReporter(line => writer.add(line))]);
        return writer;
    }
    return undefined;
}
