/** Gathers the log lines of one request from the logs of several hosts. */

/** One line of a log. */
export interface LogLine {
    readonly timeMs: number;
    readonly host: string;
    readonly level: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A request's way through the fleet. */
export interface RequestTrace {
    /** Lines of the request in time order. */
    readonly lines: readonly LogLine[];
    /** What the hosts that decided believed: lost dependencies and changes shortly before the end. */
    readonly context: readonly LogLine[];
    /** The line that ended the request. */
    readonly decision: LogLine | undefined;
}

/** Messages that explain a decision by what the host believed. */
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

/** Messages that end a request. A refused reservation is the reason behind the failure that follows it. */
const DecisionOrder = ["reservation refused", "request refused", "request failed", "request ended"] as const;

/** How far back the context reaches, in milliseconds: longer than the usual outage of the store. */
const ContextMs = 15_000;

/**
 * Reads the lines of one log. A line may have a prefix before its JSON, for example a time and a host.
 * @param name Name of the log, used as the host where no line names one.
 */
export function parseLog(name: string, text: string): LogLine[] {
    let host = name;
    return text.split("\n").flatMap(line => {
        const parsed = parseLine(line);
        if (parsed === undefined) {
            return [];
        }
        const { prefix, fields } = parsed;
        const { time, level, message, ...rest } = fields;
        host = prefix === "" ?
            typeof rest["host"] === "string" && message === "edge started" ? rest["host"] : host :
            prefix;
        return [{
            timeMs: Date.parse(String(time)),
            host,
            level: String(level),
            message: String(message),
            fields: rest,
        }];
    });
}

/** @returns The request's lines with the decision that ended it. */
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
    return { lines, context, decision };
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
        // Lines of other programs, and lines that a crash cut, are no log lines.
        return undefined;
    }
}
