/** Places the hosts on a ring by the hash of their ids, and finds the successors of a host. */
import { hash32 } from "../../base/hashing.js";

/** A host to place on the ring. */
export interface RingHost {
    readonly hostId: string;
    readonly isSuspected: boolean;
}

/** The next hosts after a given one on the ring. */
export interface Neighbours {
    /** Ids of the nearest hosts that are not suspected, nearest first. */
    readonly successors: readonly string[];
    /** Ids of the suspected hosts between them, which would be successors if they were not suspected. */
    readonly suspects: readonly string[];
}

/**
 * Finds the next hosts on the ring.
 * @param ownHostId Id of the host whose successors are needed.
 * @param hosts The other hosts that have not ended.
 * @param count Number of successors; at most twice as many suspected hosts are returned.
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
