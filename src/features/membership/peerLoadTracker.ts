/** Loads of the upstreams as reported by peers. */
import type { Digest } from "./membershipTypes.js";

/** Report of one peer, with the monotonic time of its arrival. */
interface PeerLoad {
    readonly receivedMs: number;
    readonly inFlight: Readonly<Record<string, number>>;
    readonly leavingUpstreams: readonly string[];
}

/** Keeps the newest report of each peer until it is too old, and sums the reports up by upstream. */
export class PeerLoadTracker {
    readonly #ageLimitMs: number;
    readonly #loads = new Map<string, PeerLoad>();

    constructor(ageLimitMs: number) {
        this.#ageLimitMs = ageLimitMs;
    }

    /** Records the load report in the digest of a peer; replaces an earlier one. */
    recordReport(digest: Digest, nowMs: number): void {
        const { inFlight, leavingUpstreams } = digest;
        this.#loads.set(digest.self.hostId, { receivedMs: nowMs, inFlight, leavingUpstreams });
    }

    /** Removes the report of a peer that has ended and thus has no requests in flight. */
    removePeer(hostId: string): void {
        this.#loads.delete(hostId);
    }

    /** Removes reports that are older than the age limit. */
    removeExpired(nowMs: number): void {
        for (const [hostId, load] of this.#loads) {
            if (nowMs - load.receivedMs > this.#ageLimitMs) {
                this.#loads.delete(hostId);
            }
        }
    }

    /**
     * Writes the requests in flight of all peers by upstream. If only some peers have a report, the sum is extrapolated.
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

    /** Writes the names of the upstreams that at least one peer reports as leaving. */
    writeLeavingUpstreams(target: Set<string>): void {
        target.clear();
        for (const load of this.#loads.values()) {
            for (const upstream of load.leavingUpstreams) {
                target.add(upstream);
            }
        }
    }
}
