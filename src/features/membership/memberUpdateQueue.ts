/** Queue of the updates about other hosts that digests still have to carry. */

/** Number of times that a host sends each update, as a multiple of the binary logarithm of the fleet size. */
const SendFactor = 3;
/**
 * Same factor for updates that introduce a new host. It is lower because the platform lists the host soon, and because
 * otherwise digests would stay full for a minute when many hosts are new.
 */
const NewHostSendFactor = 1;

/** Counts how many times the newest update about each host still has to be sent. */
export class MemberUpdateQueue {
    readonly #remainingSends = new Map<string, number>();

    /** @returns Number of hosts whose update still has to be sent. */
    get size(): number {
        return this.#remainingSends.size;
    }

    /**
     * Queues the newest update about a host; restarts the count if one is queued already.
     * @param hostCount Number of known hosts.
     * @param isNewHost Whether the update introduces a live host that was unknown.
     */
    add(hostId: string, hostCount: number, isNewHost: boolean): void {
        const factor = isNewHost ? NewHostSendFactor : SendFactor;
        this.#remainingSends.set(hostId, factor * Math.ceil(Math.log2(hostCount + 2)));
    }

    /** @returns Ids of the hosts with queued updates, those with the most remaining sends first. */
    getPendingHostIds(): string[] {
        return [...this.#remainingSends].sort((a, b) => b[1] - a[1]).map(([hostId]) => hostId);
    }

    /** Records that the update about a host was sent once. */
    recordSent(hostId: string): void {
        const remaining = (this.#remainingSends.get(hostId) ?? 0) - 1;
        if (remaining > 0) {
            this.#remainingSends.set(hostId, remaining);
        }
        else {
            this.#remainingSends.delete(hostId);
        }
    }
}
