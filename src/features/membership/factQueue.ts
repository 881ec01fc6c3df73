/** Facts about other hosts that are still to be told. */

/** Factor of the logarithm of the fleet's size: the number of times that a host tells a fact. */
const TellFactor = 3;

/** Counts how often each fact is still to be told. */
export class FactQueue {
    readonly #tellsLeft = new Map<string, number>();

    /** @returns Number of facts that are still to be told. */
    get size(): number {
        return this.#tellsLeft.size;
    }

    /**
     * Starts to tell a changed fact.
     * @param hostCount Number of known hosts.
     */
    add(hostId: string, hostCount: number): void {
        this.#tellsLeft.set(hostId, TellFactor * Math.ceil(Math.log2(hostCount + 2)));
    }

    /** @returns Ids of the hosts with facts to tell, the least told first. */
    next(): string[] {
        return [...this.#tellsLeft].sort((a, b) => b[1] - a[1]).map(([hostId]) => hostId);
    }

    /** Records that a fact was told. */
    told(hostId: string): void {
        const left = (this.#tellsLeft.get(hostId) ?? 0) - 1;
        if (left > 0) {
            this.#tellsLeft.set(hostId, left);
        }
        else {
            this.#tellsLeft.delete(hostId);
        }
    }
}
