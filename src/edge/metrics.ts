/** Counters and latency histograms of the edge, served in the Prometheus text format. */
import { build, type Histogram } from "hdr-histogram-js";
import { createServer, type Server } from "node:http";
import type { Counters } from "../base/counters.js";

/** Percentiles that are served for each histogram. */
const Percentiles = [50, 90, 95, 99] as const;

/** Largest latency that is recorded, in milliseconds; longer ones count as this. It exceeds any deadline. */
const MaxLatencyMs = 120_000;

const ContentType = "text/plain; version=0.0.4";

/** Names of all counters; `docs/operations.md` describes what they count. */
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
    requestsRefusedByStop: "edge.requests.stop.refused",
    requestsCutByStop: "edge.requests.stop.cut",
    requestsAfterClose: "edge.requests.afterClose",
    responsesAborted: "edge.responses.aborted",
    connectionsClosedIdle: "edge.connections.closed.idle",
    connectionsClosedHeadTimeout: "edge.connections.closed.headTimeout",
    connectionsClosedUnreadable: "edge.connections.closed.unreadable",
    connectionsClosedStop: "edge.connections.closed.stop",
    connectionsClosedLink: "edge.connections.closed.link",
    connectionsClosedLimit: "edge.connections.closed.limit",
    connectionsClosedRequests: "edge.connections.closed.requests",
    connectionsClosedMemory: "edge.connections.closed.memory",
    connectionsClosedUnread: "edge.connections.closed.unread",
    connectionsClosedParsing: "edge.connections.closed.parsing",
    connectionsClosedStray: "edge.connections.closed.stray",
    bodiesEvicted: "edge.bodies.evicted",
    sends: "edge.sends",
    repeatedSends: "edge.sends.repeated",
    parallelSends: "edge.sends.parallel",
    upstreamProbes: "edge.upstreams.probes",
    upstreamProbeFailures: "edge.upstreams.probes.failed",
    tokensCharged: "edge.tokens.charged",
    budgetRefusals: "edge.budget.refusals",
    budgetRecords: "edge.budget.records",
    budgetLedgerWrites: "edge.budget.ledger.writes",
    budgetLedgerConflicts: "edge.budget.ledger.conflicts",
    tokensBorrowed: "edge.tokens.borrowed",
    tokensLent: "edge.tokens.lent",
    relayFailures: "edge.relay.failures",
    storeCallsThroughHosts: "edge.store.calls.throughHosts",
    partsQuarantined: "edge.quarantine.parts",
    quarantineRefusals: "edge.quarantine.refusals",
    repeatsWithheld: "edge.quarantine.repeatsWithheld",
    crashProbes: "edge.quarantine.probes",
    evidenceSent: "edge.quarantine.evidence.sent",
    evidenceReceived: "edge.quarantine.evidence.received",
    limitRefusals: "edge.limits.refusals",
    limitStatementsSent: "edge.limits.statements.sent",
    slotRequests: "edge.limits.slots.requested",
    slotsBorrowed: "edge.limits.slots.borrowed",
    slotsLent: "edge.limits.slots.lent",
    evacuationsStarted: "edge.evacuations.started",
    evacuationsEnded: "edge.evacuations.ended",
    evacuationsIgnored: "edge.evacuations.ignored",
    evacuationsConfirmed: "edge.evacuations.confirmed",
    evacuationsSent: "edge.evacuations.sent",
    evacuationSuspensions: "edge.evacuations.suspensions",
    evacuationRefusals: "edge.evacuations.refusals",
    placementsAffinity: "edge.placements.affinity",
    placementsLeastCost: "edge.placements.leastCost",
    placementsOtherZone: "edge.placements.otherZone",
    coldUpstreams: "edge.limits.cold.upstreams",
    coldIsolations: "edge.limits.cold.isolations",
    coldStatementsSent: "edge.limits.cold.statements.sent",
} as const;

/** Counters and histograms of one process, with an HTTP listener that serves them. */
export class EdgeMetrics {
    readonly counters: Counters;
    readonly #timeToFirstByteMs: Histogram = build({ highestTrackableValue: MaxLatencyMs });
    readonly #eventLoopDelayMs: Histogram = build({ highestTrackableValue: MaxLatencyMs });
    #server: Server | undefined;

    constructor(counters: Counters) {
        this.counters = counters;
    }

    /** Records the time from a request's arrival to the first byte of its response, in milliseconds. */
    recordTimeToFirstByte(elapsedMs: number): void {
        recordDuration(this.#timeToFirstByteMs, elapsedMs);
    }

    /** Records the delay of one tick of the event loop, in milliseconds. */
    recordLoopDelay(delayMs: number): void {
        recordDuration(this.#eventLoopDelayMs, delayMs);
    }

    /** @returns All counters and histograms as text. */
    render(): string {
        const counters = Object.entries(this.counters.snapshot()).map(([name, value]) => {
            const metric = metricName(name);
            return `# TYPE ${metric} counter\n${metric} ${value}`;
        });
        const summaries = [
            ...renderSummary("edge_answer_ms", this.#timeToFirstByteMs),
            ...renderSummary("edge_loop_delay_ms", this.#eventLoopDelayMs),
        ];
        return `${[...counters, ...summaries].join("\n")}\n`;
    }

    /**
     * Serves the metrics over HTTP, on any path. Rejects when the listener cannot be opened.
     * @param onServer Called with the server before it listens.
     */
    async start(host: string, port: number, onServer: (server: Server) => void = () => undefined): Promise<void> {
        const server = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": ContentType });
            response.end(this.render());
        });
        this.#server = server;
        onServer(server);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
    }

    /** Closes the listener and all its connections. */
    stop(): void {
        this.#server?.close();
        this.#server?.closeAllConnections();
    }
}

function recordDuration(histogram: Histogram, valueMs: number): void {
    histogram.recordValue(Math.min(MaxLatencyMs, Math.max(0, Math.round(valueMs))));
}

function renderSummary(name: string, histogram: Histogram): string[] {
    const quantiles = Percentiles.map(percent =>
        `${name}{quantile="${percent / 100}"} ${histogram.getValueAtPercentile(percent)}`
    );
    return [`# TYPE ${name} summary`, ...quantiles, `${name}_count ${histogram.totalCount}`];
}

/** @returns The metric name under which a counter is served: snake case, with underscores for dots. */
export function metricName(name: string): string {
    return name.replace(/[^a-zA-Z0-9]/g, "_").replace(/([a-z])([A-Z])/g, "$1_$2").toLowerCase();
}
