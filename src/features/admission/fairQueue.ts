/** Queue that is fair between teams by weight and serves each team's earliest deadline first. */
import type { AdmissionRequest } from "./admissionTypes.js";

/** A waiting request. */
export interface QueuedRequest {
    readonly request: AdmissionRequest;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
}

interface TeamQueue {
    readonly team: string;
    /** Earliest deadline first. */
    readonly items: QueuedRequest[];
    weight: number;
    /** Service received so far, divided by the weight. */
    virtualTime: number;
}

/** Queue of one lane. Teams that wait get service in proportion to their weights. */
export class FairQueue {
    readonly #teams = new Map<string, TeamQueue>();
    #virtualTime = 0;
    #size = 0;

    /** @returns Number of waiting requests. */
    get size(): number {
        return this.#size;
    }

    /** Adds a request. */
    push(queued: QueuedRequest, weight: number): void {
        const { team } = queued.request;
        let queue = this.#teams.get(team);
        if (queue === undefined) {
            // A team that did not wait gets no credit for that time, otherwise it could starve the others.
            queue = { team, items: [], weight, virtualTime: this.#virtualTime };
            this.#teams.set(team, queue);
        }
        queue.weight = weight;
        let index = queue.items.length;
        while (index > 0 && queue.items[index - 1]!.deadlineAtMs > queued.deadlineAtMs) {
            index--;
        }
        queue.items.splice(index, 0, queued);
        this.#size++;
    }

    /**
     * @param limit Largest number of teams to consider.
     * @returns The next request of each team, in the order of service.
     */
    heads(limit: number): QueuedRequest[] {
        return [...this.#teams.values()]
            .sort((a, b) => a.virtualTime - b.virtualTime)
            .slice(0, limit)
            .map(queue => queue.items[0]!);
    }

    /** @returns The request that is next in the order of service. */
    head(): QueuedRequest | undefined {
        let first: TeamQueue | undefined;
        for (const queue of this.#teams.values()) {
            if (first === undefined || queue.virtualTime < first.virtualTime) {
                first = queue;
            }
        }
        return first?.items[0];
    }

    /** Removes a request that is served, and charges its team. */
    serve(queued: QueuedRequest, cost: number): void {
        const queue = this.#teams.get(queued.request.team);
        if (queue !== undefined && this.remove(queued)) {
            this.#virtualTime = Math.max(this.#virtualTime, queue.virtualTime);
            queue.virtualTime += cost / queue.weight;
        }
    }

    /** @returns Whether the request was waiting. */
    remove(queued: QueuedRequest): boolean {
        const queue = this.#teams.get(queued.request.team);
        const index = queue?.items.indexOf(queued) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.items.splice(index, 1);
        this.#size--;
        if (queue.items.length === 0) {
            this.#teams.delete(queue.team);
            this.#departed(queue);
        }
        return true;
    }

    /** @returns Requests of one team that wait, and the team's share of the service. */
    teamBacklog(team: string, weight: number): { readonly waiting: number; readonly share: number; } {
        let sum = this.#teams.has(team) ? 0 : weight;
        for (const queue of this.#teams.values()) {
            sum += queue.weight;
        }
        return { waiting: this.#teams.get(team)?.items.length ?? 0, share: weight / sum };
    }

    /** @returns All requests, grouped by team and in the team's order, with the team's share of the service. */
    *requestsByTeam(): Generator<{ readonly items: readonly QueuedRequest[]; readonly share: number; }> {
        const queues = [...this.#teams.values()];
        const sum = queues.reduce((total, queue) => total + queue.weight, 0);
        for (const queue of queues) {
            yield { items: [...queue.items], share: queue.weight / sum };
        }
    }

    /** @returns The last request of the team that waits most in relation to its weight. */
    lastOfLargestBacklog(): QueuedRequest | undefined {
        let heaviest: TeamQueue | undefined;
        for (const queue of this.#teams.values()) {
            if (heaviest === undefined || queue.items.length / queue.weight > heaviest.items.length / heaviest.weight) {
                heaviest = queue;
            }
        }
        return heaviest?.items.at(-1);
    }

    #departed(queue: TeamQueue): void {
        // The next arrival of this team starts at the queue's time, which must not lie before its last service.
        this.#virtualTime = this.#teams.size === 0 ? queue.virtualTime : this.#virtualTime;
    }
}
