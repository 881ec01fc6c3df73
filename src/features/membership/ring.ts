/** Order of the hosts on a ring by hash of their ids. */
import { hash32 } from "../../base/hashing.js";

/** A host as the ring sees it. */
export interface RingHost {
    readonly hostId: string;
    readonly isSuspected: boolean;
}

/** The hosts that follow a host on the ring. */
export interface Neighbours {
    /** Nearest hosts that are not suspected. */
    readonly successors: readonly string[];
    /** Suspected hosts between them: this host would exchange digests with them if they were heard. */
    readonly suspects: readonly string[];
}

/**
 * @param ownHostId Id of the host that asks.
 * @param hosts The other hosts that have not ended.
 * @param count Number of successors; at most twice as many suspected hosts are watched.
 */
export function findNeighbours(ownHostId: string, hosts: Iterable<RingHost>, count: number): Neighbours {
    const ownPosition = hash32(ownHostId);
    const distance = (hostId: string): number => (hash32(hostId) - ownPosition) >>> 0;
    const ordered = [...hosts].map(host => ({ host, distance: distance(host.hostId) }))
        .sort((a, b) => a.distance - b.distance || (a.host.hostId < b.host.hostId ? -1 : 1));
    const successors: string[] = [];
    const suspects: string[] = [];
    for (const { host } of ordered) {
        if (successors.length === count) {
            break;
        }
        if (!host.isSuspected) {
            successors.push(host.hostId);
        }
        else if (suspects.length < 2 * count) {
            suspects.push(host.hostId);
        }
    }
    return { successors, suspects };
}
