/** Board section of upstreams. Written by the upstream controller only. */

/** What this host knows of one upstream. */
export interface UpstreamStatus {
    /** Own requests in flight, and how many of them are long. */
    inFlight: number;
    longInFlight: number;
    /** Requests in flight through peers, from their digests. */
    peerInFlight: number;
    /** Requests of everybody else: the larger of the peers' sum and the report without this host's own part. */
    otherLoad: number;
    /** Running and waiting by the last report, and the monotonic time the figures were taken. */
    reportedLoad: number;
    reportedAtMs: number;
    /** Slowness relative to the median of upstreams with the same model; 1 is normal. */
    slownessFactor: number;
    /** Adaptive concurrency limit for this host. */
    concurrencyLimit: number;
    /** Whether no new work may be sent because the upstream is leaving. */
    leaving: boolean;
    /** Whether this host saw a sign itself. Only this is told to peers, so that their reports do not echo. */
    leavingSeenHere: boolean;
    /** Time without a first token after which a hedge is worth while; `undefined` while nothing is known. */
    hedgeAfterMs: number | undefined;
    /** Whether a slow upstream is due for a request that tests its recovery. */
    probeDue: boolean;
    /** Whether the upstream is usable at all; false after repeated failures until a probe succeeds. */
    usable: boolean;
}

/** Upstreams by name. */
export interface UpstreamBoard {
    statuses: Map<string, UpstreamStatus>;
}

/** @returns An empty section. */
export function createUpstreamBoard(): UpstreamBoard {
    return { statuses: new Map() };
}

/** @returns The status of an upstream of which nothing is known yet. */
export function createUpstreamStatus(slots: number): UpstreamStatus {
    return {
        inFlight: 0,
        longInFlight: 0,
        peerInFlight: 0,
        otherLoad: 0,
        reportedLoad: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
        slownessFactor: 1,
        concurrencyLimit: slots,
        leaving: false,
        leavingSeenHere: false,
        hedgeAfterMs: undefined,
        probeDue: false,
        usable: true,
    };
}
