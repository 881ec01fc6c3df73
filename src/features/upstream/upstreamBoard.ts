/** Board section of the upstreams. Written by the upstream controller only. */

/** Load and health of one upstream as known to this host. */
export interface UpstreamStatus {
    /** Requests that this host has in flight there. */
    inFlight: number;
    /** Those of them that are long. */
    longInFlight: number;
    /** Estimated requests in flight through peers, from their digests. */
    peerInFlight: number;
    /** Requests of all other hosts: the larger of the sum of the peers and the reported load without this host's requests. */
    otherLoad: number;
    /** Requests running and waiting according to the newest load report; 0 without one. */
    reportedLoad: number;
    /** Monotonic time at which the upstream took the figures of that report. */
    reportedAtMs: number;
    /** Slowness relative to the median of the upstreams with the same models; 1 is normal. */
    slownessFactor: number;
    /** Adaptive limit on the requests that this host may have in flight there. */
    concurrencyLimit: number;
    /** Whether no new work may be sent because the upstream is leaving. */
    leaving: boolean;
    /** Whether this host itself observed that it is leaving. Only this is sent to peers, so that they do not echo each other. */
    leavingSeenHere: boolean;
    /** Time without a first token after which a hedge should be sent, in milliseconds; `undefined` while not known. */
    hedgeAfterMs: number | undefined;
    /** Whether a slow upstream should be sent a request that tests its recovery. */
    probeDue: boolean;
    /** Whether requests may be sent to it; false for the ejection time after repeated failures. */
    usable: boolean;
}

/** Board section of the upstreams. */
export interface UpstreamBoard {
    /** Status of each configured upstream, by name. */
    statuses: Map<string, UpstreamStatus>;
}

/** @returns An empty section. */
export function createUpstreamBoard(): UpstreamBoard {
    return { statuses: new Map() };
}

/** @returns The status of an upstream without observations: idle, healthy and with its slots as the limit. */
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
