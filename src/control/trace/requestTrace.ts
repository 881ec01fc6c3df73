/** Collects the log lines of one request from the logs of several hosts. */

/** One parsed log line. */
export interface LogLine {
    /** Wall-clock time in milliseconds since the epoch. */
    readonly timeMs: number;
    readonly host: string;
    readonly level: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Log lines that explain how the hosts handled a request. */
export interface RequestTrace {
    /** Lines of the request in time order. */
    readonly lines: readonly LogLine[];
    /** Lines of the same hosts about unavailable dependencies and changes shortly before the request's last line. */
    readonly context: readonly LogLine[];
    /** The line with the decision that ended the request; `undefined` if the logs contain none. */
    readonly decision: LogLine | undefined;
}

/** Messages about the state on which a host's decision was based. */
const ContextMessages: ReadonlySet<string> = new Set([
    "store lost",
    "store regained",
    "budget ledger lost",
    "budget ledger regained",
    "budget shares of the previous process closed",
    "configuration in force",
    "configuration not readable",
    "upstream gone",
    "upstream leaves",
    "edge started",
    "edge stops",
]);

/** Messages that end a request, by precedence: a refused reservation is the cause of the failure logged after it. */
const DecisionOrder = ["reservation refused", "request refused", "request failed", "request ended"] as const;

/** Length of the context before the request's last line, in milliseconds; longer than a usual outage of the store. */
const ContextMs = 15_000;

/**
 * Parses the lines of one log. Before its JSON, a line may have a prefix whose last word is the host.
 * @param name Name of the log, used as the host of lines before the first one that names a host.
 */
export function parseLog(name: string, text: string): LogLine[] {
    let host = name;
    return text.split("\n").flatMap(line => {
        const parsed = parseLine(line);
        if (parsed === undefined) {
            return [];
        }
        const { prefix, fields } = parsed;
        const { time, level, message, ...otherFields } = fields;
        host = prefix === "" ?
            typeof otherFields["host"] === "string" && message === "edge started" ? otherFields["host"] : host :
            prefix;
        return [{
            timeMs: Date.parse(String(time)),
            host,
            level: String(level),
            message: String(message),
            fields: otherFields,
        }];
    });
}

/** @returns The request's lines in time order, with their context and the decision that ended the request. */
export function traceRequest(requestId: string, logs: readonly LogLine[]): RequestTrace {
    const lines = logs.filter(line => line.fields["request"] === requestId).sort((a, b) => a.timeMs - b.timeMs);
    const decision = DecisionOrder.map(message => lines.findLast(line => line.message === message))
        .find(line => line !== undefined);
    const hosts = new Set(lines.map(line => line.host));
    const endMs = lines.at(-1)?.timeMs ?? 0;
    const context = logs.filter(line =>
        hosts.has(line.host) && ContextMessages.has(line.message) && line.timeMs <= endMs &&
        line.timeMs >= endMs - ContextMs
    ).sort((a, b) => a.timeMs - b.timeMs);
    return { lines, context: keepLastConfigurations(context), decision };
}

/** @returns The lines with only the last `configuration in force` of each host, as earlier ones no longer applied. */
function keepLastConfigurations(context: readonly LogLine[]): LogLine[] {
    const isConfiguration = ({ message }: LogLine) => message === "configuration in force";
    return context.filter((line, index) =>
        !isConfiguration(line) ||
        !context.slice(index + 1).some(later => isConfiguration(later) && later.host === line.host)
    );
}

/** End of a process that logged no stop: a kill, a loss of power or a crash. */
export interface AbruptEnd {
    readonly host: string;
    /** Time of the last line of the process, and of the start of the next one, in milliseconds since the epoch. */
    readonly lastLineMs: number;
    readonly nextStartMs: number;
}

/** @returns The abrupt ends that are followed by another start of the same host, in time order. */
export function findAbruptEnds(logs: readonly LogLine[]): AbruptEnd[] {
    const lastLines = new Map<string, LogLine>();
    const ends: AbruptEnd[] = [];
    for (const line of logs.toSorted((left, right) => left.timeMs - right.timeMs)) {
        const last = lastLines.get(line.host);
        if (line.message === "edge started" && last !== undefined && last.message !== "edge stopped") {
            ends.push({ host: line.host, lastLineMs: last.timeMs, nextStartMs: line.timeMs });
        }
        lastLines.set(line.host, line);
    }
    return ends;
}

function parseLine(line: string): { prefix: string; fields: Record<string, unknown>; } | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
        return { prefix: line.slice(0, start).trim().split(/\s+/).at(-1) ?? "", fields };
    }
    catch {
        // Lines of other programs and lines that a crash truncated are skipped.
        return undefined;
    }
}
