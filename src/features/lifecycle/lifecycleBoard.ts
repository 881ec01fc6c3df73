/** Board section of readiness and shutdown. Written by the lifecycle controller only. */

/** Phase of a router process; the lifecycle controller describes the transitions. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "closing" | "closed";

/** Readiness and shutdown of this host. */
export interface LifecycleBoard {
    phase: LifecyclePhase;
    /** Whether this host is ready: a request admitted now could run. False during a shutdown. */
    ready: boolean;
    /** Whether new requests are served; false once the balancer's lag has passed during a shutdown. */
    accepting: boolean;
    /** Monotonic time at which the shutdown was requested; `undefined` before. */
    shutdownRequestedAtMs: number | undefined;
    /** Monotonic time by which every request must have ended; `undefined` unless the shutdown has a timeout. */
    requestsEndAtMs: number | undefined;
    /** Reasons why this host is not ready, for operators; empty when ready. */
    reasons: string[];
    /** Number of requests that the gateway is handling. */
    requestsInFlight: number;
}

/** @returns The section of a process that has just started. */
export function createLifecycleBoard(): LifecycleBoard {
    return {
        phase: "starting",
        ready: false,
        accepting: true,
        shutdownRequestedAtMs: undefined,
        requestsEndAtMs: undefined,
        reasons: ["starting"],
        requestsInFlight: 0,
    };
}
