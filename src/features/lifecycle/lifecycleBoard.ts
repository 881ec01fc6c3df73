/** Board section of readiness and shutdown. Written by the lifecycle controller only. */

/** Phases of a router process. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "closing" | "closed";

/** Readiness of this host. */
export interface LifecycleBoard {
    phase: LifecyclePhase;
    /** Whether a request admitted now could run. */
    ready: boolean;
    /** Whether new requests are served; false once the balancer's lag has passed during a shutdown. */
    accepting: boolean;
    /** Why not, for operators; empty when ready. */
    reasons: string[];
    /** Requests in the gateway. */
    requestsInFlight: number;
}

/** @returns The section of a process that has just started. */
export function createLifecycleBoard(): LifecycleBoard {
    return { phase: "starting", ready: false, accepting: true, reasons: ["starting"], requestsInFlight: 0 };
}
