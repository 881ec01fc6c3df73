/** Counters and latency histograms of the edge in the usual text format. */
import { build, type Histogram } from "hdr-histogram-js";
import { createServer, type Server } from "node:http";
import type { Counters } from "../base/counters.js";

/** Quantiles that are served, in percent. */
const Percentiles = [50, 90, 95, 99] as const;

/** Largest latency that is told apart, in milliseconds; longer than any deadline. */
const MaxLatencyMs = 120_000;

const ContentType = "text/plain; version=0.0.4";

/** Names of all counters; `docs/operations.md` says what they count. */
export const EdgeCounterNames = {
    requestsComplete: "edge.requests.complete",
    requestsUpstreamFailure: "edge.requests.upstreamFailure",
    requestsCallerDisconnected: "edge.requests.callerGone",
    callersDisconnectedReading: "edge.callers.left.reading",
    callersDisconnectedWaiting: "edge.callers.left.waiting",
    callersDisconnectedConnecting: "edge.callers.left.connecting",
    callersDisconnectedSent: "edge.callers.left.sent",
    callersDisconnectedResponding: "edge.callers.left.answering",
    requestsFailed: "edge.requests.failed",
    requestsRefused: "edge.requests.refused",
    sends: "edge.sends",
    repeatedSends: "edge.sends.repeated",
    tokensCharged: "edge.tokens.charged",
    budgetRefusals: "edge.budget.refusals",
    budgetRecords: "edge.budget.records",
    budgetLedgerWrites: "edge.budget.ledger.writes",
    budgetLedgerConflicts: "edge.budget.ledger.conflicts",
    tokensBorrowed: "edge.tokens.borrowed",
    tokensLent: "edge.tokens.lent",
    relayFailures: "edge.relay.failures",
} as const;

/** Measurements of one process. */
export class EdgeMetrics {
    readonly counters: Counters;
    readonly #answerMs: Histogram = build({ highestTrackableValue: MaxLatencyMs });
    readonly #loopDelayMs: Histogram = build({ highestTrackableValue: MaxLatencyMs });
    #server: Server | undefined;

    constructor(counters: Counters) {
        this.counters = counters;
    }

    /** Records the time from a request's arrival to the first byte of its answer. */
    recordTimeToFirstByte(elapsedMs: number): void {
        record(this.#answerMs, elapsedMs);
    }

    /** Records by how much a turn of the event loop was late. */
    recordLoopDelay(delayMs: number): void {
        record(this.#loopDelayMs, delayMs);
    }

    /** @returns All figures as text. */
    render(): string {
        const counters = Object.entries(this.counters.snapshot()).map(([name, value]) => {
            const metric = metricName(name);
            return `# TYPE ${metric} counter\n${metric} ${value}`;
        });
        const summaries = [
            ...renderSummary("edge_answer_ms", this.#answerMs),
            ...renderSummary("edge_loop_delay_ms", this.#loopDelayMs),
        ];
        return `${[...counters, ...summaries].join("\n")}\n`;
    }

    /** Serves the figures. */
    async start(host: string, port: number): Promise<void> {
        const server = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": ContentType });
            response.end(this.render());
        });
        this.#server = server;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
    }

    /** Stops serving. */
    stop(): void {
        this.#server?.close();
        this.#server?.closeAllConnections();
    }
}

function record(histogram: Histogram, valueMs: number): void {
    histogram.recordValue(Math.min(MaxLatencyMs, Math.max(0, Math.round(valueMs))));
}

function renderSummary(name: string, histogram: Histogram): string[] {
    const quantiles = Percentiles.map(percent =>
        `${name}{quantile="${percent / 100}"} ${histogram.getValueAtPercentile(percent)}`
    );
    return [`# TYPE ${name} summary`, ...quantiles, `${name}_count ${histogram.totalCount}`];
}

/** @returns The name under which a counter is served. */
export function metricName(name: string): string {
    return name.replace(/[^a-zA-Z0-9]/g, "_").replace(/([a-z])([A-Z])/g, "$1_$2").toLowerCase();
}
