/** Types that the flows of requests share. */
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";
import type { BudgetManager } from "../budget/budgetManager.js";
import type { EdgeTeam, RequestMetadata, Route } from "../edgeTypes.js";
import type { EdgeMetrics } from "../metrics.js";
import type { PeerLoad } from "../peers/peerLoadTracker.js";
import type { HeaderCodec, RawHeaders } from "../protocolCodec.js";
import type { PromptQuarantine } from "../quarantine/promptQuarantine.js";
import type { RateLimits } from "../rateLimit/rateLimits.js";
import type { RouteTable } from "../routing/routeTable.js";
import type { RequestDurations } from "../stop/requestDurations.js";
import type { StopAdmission } from "../stop/stopAdmission.js";
import type { Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";
import type { RetryBudgets } from "./retryBudgets.js";
import type { StopMonitor } from "./stopMonitor.js";

/** Load of the host; its fields are written to log entries. */
export interface HostLoad {
    /** Most recent delay of the event loop, in milliseconds. */
    readonly loopDelayMs: number;
    /** Fraction of the host's link in use, 0 to 1. */
    readonly linkUsedPart: number;
    /** Time for which bytes written now would wait for the link, in milliseconds. */
    readonly linkBacklogMs: number;
}

/** Collaborators that all request flows share. */
export interface FlowDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly codec: HeaderCodec;
    readonly directory: UpstreamDirectory;
    readonly budgets: BudgetManager;
    readonly retryBudgets: RetryBudgets;
    readonly metrics: EdgeMetrics;
    readonly quarantine: PromptQuarantine;
    readonly limits: RateLimits;
    /** What this host has lately seen of each service's response times. */
    readonly durations: RequestDurations;
    readonly stopAdmission: StopAdmission;
    readonly stopMonitor: StopMonitor;
    /** Availability zone of the host. */
    readonly zone: string;
    /** @returns Load that other hosts put on an upstream. */
    peerLoad(upstream: Upstream): PeerLoad;
    /** @returns Time between output events of an upstream by the samples of other hosts, in milliseconds; `undefined` when unknown. */
    peerEventTimeMs?(upstream: Upstream): number | undefined;
    /** Called after a request with a number of prompt tokens was sent to an upstream. */
    onSent(promptTokens: number): void;
    /** @returns Number of hosts of the fleet. */
    hostCount(): number;
    /** Backlog in the outgoing direction of the host's link. */
    readonly linkBacklog: OutgoingLinkBacklog;
    /** @returns The current load of the host. */
    hostLoad(): HostLoad;
}

/** A caller's request with its route, read completely. */
export interface EdgeRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query, unchanged from the caller. */
    readonly target: string;
    readonly headers: RawHeaders;
    readonly body: Buffer | undefined;
    readonly metadata: RequestMetadata;
    readonly route: Route;
    /** The service of the route that gets the request. */
    readonly service: string;
    /** `undefined` for a caller without a known API key, where the route needs none. */
    readonly team: EdgeTeam | undefined;
    readonly table: RouteTable;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    /** Monotonic time by which the response must be complete, in milliseconds. */
    readonly deadlineAtMs: number;
}
