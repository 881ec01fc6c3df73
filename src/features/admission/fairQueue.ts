/** Weighted fair queue: teams are served in proportion to their weights, each team's requests by earliest deadline. */
import type { AdmissionRequest } from "./admissionTypes.js";

/** A waiting request. Times are monotonic, in milliseconds. */
export interface QueuedRequest {
    readonly request: AdmissionRequest;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
}

interface TeamQueue {
    readonly team: string;
    /** Earliest deadline first. */
    readonly requests: QueuedRequest[];
    weight: number;
    /** Cost of the served requests divided by the weight; the team with the lowest value is served next. */
    virtualTime: number;
}

/** Queue of the requests of one class and length. Waiting teams are served in proportion to their weights. */
export class FairQueue {
    readonly #teams = new Map<string, TeamQueue>();
    #virtualTime = 0;
    #size = 0;

    /** @returns Number of waiting requests. */
    get size(): number {
        return this.#size;
    }

    /** Adds a request. `weight` is the weight of its team from now on. */
    push(queued: QueuedRequest, weight: number): void {
        const { team } = queued.request;
        let queue = this.#teams.get(team);
        if (queue === undefined) {
            // A team gets no credit for the time in which it did not wait; otherwise it could starve the others.
            queue = { team, requests: [], weight, virtualTime: this.#virtualTime };
            this.#teams.set(team, queue);
        }
        queue.weight = weight;
        let index = queue.requests.length;
        while (index > 0 && queue.requests[index - 1]!.deadlineAtMs > queued.deadlineAtMs) {
            index--;
        }
        queue.requests.splice(index, 0, queued);
        this.#size++;
    }

    /**
     * @param limit Maximum number of teams to consider.
     * @returns The next request of each team, in the order of service.
     */
    heads(limit: number): QueuedRequest[] {
        return [...this.#teams.values()]
            .sort((a, b) => a.virtualTime - b.virtualTime)
            .slice(0, limit)
            .map(queue => queue.requests[0]!);
    }

    /** @returns The request that is served next, or `undefined` when the queue is empty. */
    head(): QueuedRequest | undefined {
        let first: TeamQueue | undefined;
        for (const queue of this.#teams.values()) {
            if (first === undefined || queue.virtualTime < first.virtualTime) {
                first = queue;
            }
        }
        return first?.requests[0];
    }

    /** Removes a request that is served and charges its cost to its team. */
    serve(queued: QueuedRequest, cost: number): void {
        const queue = this.#teams.get(queued.request.team);
        if (queue !== undefined && this.remove(queued)) {
            this.#virtualTime = Math.max(this.#virtualTime, queue.virtualTime);
            queue.virtualTime += cost / queue.weight;
        }
    }

    /** Removes a request without charging its team. @returns Whether the request was waiting. */
    remove(queued: QueuedRequest): boolean {
        const queue = this.#teams.get(queued.request.team);
        const index = queue?.requests.indexOf(queued) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.requests.splice(index, 1);
        this.#size--;
        if (queue.requests.length === 0) {
            this.#teams.delete(queue.team);
            this.#updateVirtualTime(queue);
        }
        return true;
    }

    /** @returns Number of waiting requests of a team, and the fraction of the service that the team gets. */
    teamBacklog(team: string, weight: number): { readonly waitingCount: number; readonly serviceFraction: number; } {
        let totalWeight = this.#teams.has(team) ? 0 : weight;
        for (const queue of this.#teams.values()) {
            totalWeight += queue.weight;
        }
        return { waitingCount: this.#teams.get(team)?.requests.length ?? 0, serviceFraction: weight / totalWeight };
    }

    /** @returns All requests grouped by team, earliest deadline first, with the fraction of the service that the team gets. */
    *requestsByTeam(): Generator<{ readonly requests: readonly QueuedRequest[]; readonly serviceFraction: number; }> {
        const queues = [...this.#teams.values()];
        const totalWeight = queues.reduce((total, queue) => total + queue.weight, 0);
        for (const queue of queues) {
            yield { requests: [...queue.requests], serviceFraction: queue.weight / totalWeight };
        }
    }

    /** @returns The last request of the team with the most waiting requests in relation to its weight. */
    lastOfLargestBacklog(): QueuedRequest | undefined {
        let heaviest: TeamQueue | undefined;
        for (const queue of this.#teams.values()) {
            if (
                heaviest === undefined ||
                queue.requests.length / queue.weight > heaviest.requests.length / heaviest.weight
            ) {
                heaviest = queue;
            }
        }
        return heaviest?.requests.at(-1);
    }

    /** Updates the virtual time of the whole queue after the last waiting request of a team was removed. */
    #updateVirtualTime(queue: TeamQueue): void {
        // The team's next request starts at the queue's virtual time, which must not lie before the team's last service.
        this.#virtualTime = this.#teams.size === 0 ? queue.virtualTime : this.#virtualTime;
    }
}
