/** Facts about other hosts that are still to be told. */

/**
 * Factors of the logarithm of the fleet's size: the number of times that a host tells a fact. A new host is told less
 * often, because the platform lists it soon; with many new hosts, digests would stay full for a minute.
 */
const TellFactor = 3;
const NewHostTellFactor = 1;

/** Counts how often each fact is still to be told. */
export class MemberUpdateQueue {
    readonly #tellsLeft = new Map<string, number>();

    /** @returns Number of facts that are still to be told. */
    get size(): number {
        return this.#tellsLeft.size;
    }

    /**
     * Starts to tell a changed fact.
     * @param hostCount Number of known hosts.
     * @param isNewHost Whether the fact introduces a live host.
     */
    add(hostId: string, hostCount: number, isNewHost: boolean): void {
        const factor = isNewHost ? NewHostTellFactor : TellFactor;
        this.#tellsLeft.set(hostId, factor * Math.ceil(Math.log2(hostCount + 2)));
    }

    /** @returns Ids of the hosts with facts to tell, the least told first. */
    getPendingHostIds(): string[] {
        return [...this.#tellsLeft].sort((a, b) => b[1] - a[1]).map(([hostId]) => hostId);
    }

    /** Records that a fact was told. */
    recordSent(hostId: string): void {
        const left = (this.#tellsLeft.get(hostId) ?? 0) - 1;
        if (left > 0) {
            this.#tellsLeft.set(hostId, left);
        }
        else {
            this.#tellsLeft.delete(hostId);
        }
    }
}
