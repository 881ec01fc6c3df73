/** Types that the flows of requests share. */
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";
import type { BudgetManager } from "../budget/budgetManager.js";
import type { EdgeTeam, RequestMetadata, Route } from "../edgeTypes.js";
import type { EdgeMetrics } from "../metrics.js";
import type { PeerLoad } from "../peers/peerLoadTracker.js";
import type { HeaderCodec, RawHeaders } from "../protocolCodec.js";
import type { RouteTable } from "../routing/routeTable.js";
import type { Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";
import type { RetryBudgets } from "./retryBudgets.js";

/** How busy the host is. */
export interface HostLoad {
    /** Newest delay of the event loop, in milliseconds. */
    readonly loopDelayMs: number;
    /** Part of the host's link in use, 0 to 1. */
    readonly linkUsedPart: number;
    /** Time that bytes written now wait for the link, in milliseconds. */
    readonly linkBacklogMs: number;
}

/** What all requests share. */
export interface FlowDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly codec: HeaderCodec;
    readonly directory: UpstreamDirectory;
    readonly budgets: BudgetManager;
    readonly retryBudgets: RetryBudgets;
    readonly metrics: EdgeMetrics;
    readonly zone: string;
    /** @returns Load that other hosts put on an upstream. */
    peerLoad(upstream: Upstream): PeerLoad;
    /** Outgoing direction of the host's link. */
    readonly linkBacklog: OutgoingLinkBacklog;
    /** @returns How busy the host is now. */
    hostLoad(): HostLoad;
}

/** A caller's request, routed and read. */
export interface EdgeRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    readonly headers: RawHeaders;
    readonly body: Buffer | undefined;
    readonly facts: RequestMetadata;
    readonly route: Route;
    readonly team: EdgeTeam | undefined;
    readonly table: RouteTable;
    /** Monotonic time of arrival and of the latest answer, in milliseconds. */
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
}
