/** Places the hosts on a ring by the hash of their ids, and finds the successors of a host. */
import { hash32 } from "../../base/hashing.js";

/** The next hosts after a given one on the ring. */
export interface Neighbours {
    /** Ids of the nearest hosts that are not suspected, nearest first. */
    readonly successors: readonly string[];
    /** Ids of the suspected hosts between them, which would be successors if they were not suspected. */
    readonly suspects: readonly string[];
}

/** A host with its place on the ring. */
interface RingEntry {
    readonly hostId: string;
    readonly position: number;
    isSuspected: boolean;
}

/**
 * Hosts in the order of their positions. A change moves part of an array instead of sorting all hosts again, so its cost
 * hardly depends on the size of the fleet.
 */
export class HostRing {
    readonly #entries: RingEntry[] = [];

    /** Adds a host, or changes whether it is suspected. */
    set(hostId: string, isSuspected: boolean): void {
        const position = hash32(hostId);
        const index = this.#findIndex(position, hostId);
        const entry = this.#entries[index];
        if (entry?.hostId === hostId) {
            entry.isSuspected = isSuspected;
        }
        else {
            this.#entries.splice(index, 0, { hostId, position, isSuspected });
        }
    }

    /** Removes a host; no effect if it is not on the ring. */
    remove(hostId: string): void {
        const index = this.#findIndex(hash32(hostId), hostId);
        if (this.#entries[index]?.hostId === hostId) {
            this.#entries.splice(index, 1);
        }
    }

    /**
     * Finds the next hosts on the ring.
     * @param ownHostId Id of the host whose successors are needed; it need not be on the ring.
     * @param count Number of successors; at most twice as many suspected hosts are returned.
     */
    findNeighbours(ownHostId: string, count: number): Neighbours {
        const start = this.#findIndex(hash32(ownHostId), "");
        const successors: string[] = [];
        const suspects: string[] = [];
        for (let offset = 0; offset < this.#entries.length && successors.length < count; offset++) {
            const { hostId, isSuspected } = this.#entries[(start + offset) % this.#entries.length]!;
            if (!isSuspected) {
                successors.push(hostId);
            }
            else if (suspects.length < 2 * count) {
                suspects.push(hostId);
            }
        }
        return { successors, suspects };
    }

    /** @returns Index of the first entry that is not before the given position and id. */
    #findIndex(position: number, hostId: string): number {
        let low = 0;
        let high = this.#entries.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            const entry = this.#entries[middle]!;
            const isBefore = entry.position < position || (entry.position === position && entry.hostId < hostId);
            low = isBefore ? middle + 1 : low;
            high = isBefore ? high : middle;
        }
        return low;
    }
}
