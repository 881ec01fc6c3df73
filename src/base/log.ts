/** The one log of a process. A line marks a change of state; per-request facts go to counters. */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";

/** Output formats of the log. */
export type LogFormat = "text" | "json";

/** The process log. Writes to standard error, so that standard output stays free for results. */
export const log = createConsola({ level: LogLevels.info, stdout: process.stderr, stderr: process.stderr });

const jsonReporter: ConsolaReporter = {
    log: entry => {
        const [message, fields] = entry.args as [unknown, Record<string, unknown> | undefined];
        const line = { time: entry.date.toISOString(), level: entry.type, message: String(message), ...fields };
        process.stderr.write(`${JSON.stringify(line)}\n`);
    },
};

/**
 * Sets the level and the format of {@link log}.
 * @param level Name of the lowest level that is written.
 * @param format `json` writes one JSON object per line.
 */
export function configureLog(level: keyof typeof LogLevels, format: LogFormat): void {
    log.level = LogLevels[level];
    if (format === "json") {
        log.setReporters([jsonReporter]);
    }
}
