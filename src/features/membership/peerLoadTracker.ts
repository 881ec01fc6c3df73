/** What peers report of their upstreams, while it is fresh. */
import type { Digest } from "./membershipTypes.js";

interface PeerLoad {
    readonly receivedMs: number;
    readonly inFlight: Readonly<Record<string, number>>;
    readonly leavingUpstreams: readonly string[];
}

/** The newest report of each peer that was heard lately. */
export class PeerLoadTracker {
    readonly #ageLimitMs: number;
    readonly #loads = new Map<string, PeerLoad>();

    constructor(ageLimitMs: number) {
        this.#ageLimitMs = ageLimitMs;
    }

    /** Takes the report of a peer. */
    recordReport(digest: Digest, nowMs: number): void {
        const { inFlight, leavingUpstreams } = digest;
        this.#loads.set(digest.self.hostId, { receivedMs: nowMs, inFlight, leavingUpstreams });
    }

    /** Forgets a peer whose requests have ended. */
    removePeer(hostId: string): void {
        this.#loads.delete(hostId);
    }

    /** Forgets reports that are too old. */
    removeExpired(nowMs: number): void {
        for (const [hostId, load] of this.#loads) {
            if (nowMs - load.receivedMs > this.#ageLimitMs) {
                this.#loads.delete(hostId);
            }
        }
    }

    /**
     * Writes the requests in flight by upstream. In a fleet where only some peers are heard, their sum is extrapolated.
     * @param peerCount Number of live peers.
     */
    writeInFlightSums(target: Map<string, number>, peerCount: number): void {
        target.clear();
        const factor = Math.max(1, peerCount / Math.max(1, this.#loads.size));
        for (const load of this.#loads.values()) {
            for (const [upstream, count] of Object.entries(load.inFlight)) {
                target.set(upstream, (target.get(upstream) ?? 0) + count * factor);
            }
        }
        for (const [upstream, sum] of target) {
            target.set(upstream, Math.round(sum));
        }
    }

    /** Writes the upstreams that some peer sees leaving. */
    writeLeavingUpstreams(target: Set<string>): void {
        target.clear();
        for (const load of this.#loads.values()) {
            for (const upstream of load.leavingUpstreams) {
                target.add(upstream);
            }
        }
    }
}
