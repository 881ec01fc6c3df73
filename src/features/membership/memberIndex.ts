/** Views of the member table that are needed many times a second, kept up to date with each change of a member. */
import { isTerminalState } from "./memberPrecedence.js";
import type { KnownMember } from "./membershipBoard.js";
import { HostRing, type Neighbours } from "./ring.js";

/** Ids without duplicates, with access by position; the order is arbitrary. */
class IdList {
    readonly #ids: string[] = [];
    readonly #indexById = new Map<string, number>();

    get ids(): readonly string[] {
        return this.#ids;
    }

    setIncluded(id: string, isIncluded: boolean): void {
        const index = this.#indexById.get(id);
        if (isIncluded && index === undefined) {
            this.#indexById.set(id, this.#ids.length);
            this.#ids.push(id);
        }
        else if (!isIncluded && index !== undefined) {
            const lastId = this.#ids.pop()!;
            this.#indexById.delete(id);
            if (lastId !== id) {
                this.#ids[index] = lastId;
                this.#indexById.set(lastId, index);
            }
        }
    }
}

/**
 * Indexes the members by what the controller asks for. Scanning the table after each change would make every digest with a
 * new host cost as much as the fleet has hosts.
 */
export class MemberIndex {
    readonly #ownHostId: string;
    readonly #successorCount: number;
    readonly #ring = new HostRing();
    readonly #candidates = new IdList();
    readonly #withIncarnation = new IdList();
    readonly #listedOnly = new IdList();
    readonly #live = new IdList();
    readonly #forgettable = new IdList();
    readonly #addressById = new Map<string, string>();
    readonly #idsByAddress = new Map<string, Set<string>>();
    #neighbours: Neighbours | undefined;

    constructor(ownHostId: string, successorCount: number) {
        this.#ownHostId = ownHostId;
        this.#successorCount = successorCount;
    }

    /** @returns Successors of this host on the ring, and the suspected hosts between them. */
    get neighbours(): Neighbours {
        this.#neighbours ??= this.#ring.findNeighbours(this.#ownHostId, this.#successorCount);
        return this.#neighbours;
    }

    /** @returns Ids of the hosts that have not ended. */
    get candidateHostIds(): readonly string[] {
        return this.#candidates.ids;
    }

    /** @returns Ids of the hosts whose incarnation is known. */
    get hostIdsWithIncarnation(): readonly string[] {
        return this.#withIncarnation.ids;
    }

    /** @returns Ids of the hosts that are known from the host list only. */
    get listedOnlyHostIds(): readonly string[] {
        return this.#listedOnly.ids;
    }

    /** @returns Ids of the hosts that are removed from the table when nothing is heard of them for long. */
    get forgettableHostIds(): readonly string[] {
        return this.#forgettable.ids;
    }

    get liveCount(): number {
        return this.#live.ids.length;
    }

    /** @returns Ids of the hosts whose messages are received at an address. */
    hostIdsAt(peerAddress: string): readonly string[] {
        return [...this.#idsByAddress.get(peerAddress) ?? []];
    }

    /**
     * Updates the index after a host was added to the table, changed or removed.
     * @param member The host as it is in the table now; `undefined` when it was removed.
     */
    update(hostId: string, member: KnownMember | undefined): void {
        const hasEnded = member !== undefined && isTerminalState(member.state);
        const isCandidate = member !== undefined && !hasEnded;
        const isSuspected = member?.state === "suspect";
        const hasIncarnation = member !== undefined && member.incarnation !== "";
        if (isCandidate) {
            this.#ring.set(hostId, isSuspected);
        }
        else {
            this.#ring.remove(hostId);
        }
        this.#neighbours = undefined;
        this.#setAddress(hostId, member?.peerAddress);
        this.#candidates.setIncluded(hostId, isCandidate);
        this.#withIncarnation.setIncluded(hostId, hasIncarnation);
        this.#listedOnly.setIncluded(hostId, member !== undefined && !hasIncarnation);
        this.#live.setIncluded(hostId, member?.state === "live");
        this.#forgettable.setIncluded(hostId, hasEnded || (isSuspected && !hasIncarnation));
    }

    #setAddress(hostId: string, peerAddress: string | undefined): void {
        const previous = this.#addressById.get(hostId);
        if (previous === peerAddress) {
            return;
        }
        if (previous !== undefined) {
            this.#addressById.delete(hostId);
            const ids = this.#idsByAddress.get(previous)!;
            ids.delete(hostId);
            if (ids.size === 0) {
                this.#idsByAddress.delete(previous);
            }
        }
        if (peerAddress !== undefined) {
            this.#addressById.set(hostId, peerAddress);
            const ids = this.#idsByAddress.get(peerAddress) ?? new Set();
            this.#idsByAddress.set(peerAddress, ids.add(hostId));
        }
    }
}
