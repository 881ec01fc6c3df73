/** Tracks the requests that this host has sent, or has decided to send, to upstreams. */
import type { WorkClass } from "../config/configTypes.js";

/** Number of requests of this host at one upstream, in total and by kind. */
export interface UpstreamLoad {
    readonly byClass: Record<WorkClass, number>;
    total: number;
    /** Long requests that are not urgent. */
    long: number;
    /** Preemptible requests, which the engine may pause for others: those sent with the priority of background work. */
    yielding: number;
    /** Preemptible requests of class `background`. */
    yieldingBackground: number;
}

/** One attempt of a request at one upstream, from the decision until it ends. */
export interface ActiveDispatch {
    readonly requestId: string;
    readonly upstream: string;
    readonly workClass: WorkClass;
    readonly long: boolean;
    /** Whether it is sent with the priority of background work. */
    readonly isPreemptible: boolean;
    /** Monotonic time of the decision, in milliseconds. */
    readonly decidedAtMs: number;
    /** Key of the pool whose service times include this dispatch; empty when no pool made the decision. */
    readonly poolKey: string;
}

interface TrackedDispatch {
    readonly dispatch: ActiveDispatch;
    hasStarted: boolean;
}

function createLoad(): UpstreamLoad {
    return { byClass: { urgent: 0, normal: 0, background: 0 }, total: 0, long: 0, yielding: 0, yieldingBackground: 0 };
}

const NoLoad: Readonly<UpstreamLoad> = createLoad();

/** Counts the dispatches of each upstream from the decision until they end. */
export class InFlightTracker {
    readonly #entries = new Map<string, TrackedDispatch>();
    readonly #loads = new Map<string, UpstreamLoad>();
    /** Dispatches that have not started, oldest decision first. */
    readonly #pending = new Map<string, TrackedDispatch>();

    /** @returns Load of an upstream; the caller must not change it. */
    loadOf(upstream: string): Readonly<UpstreamLoad> {
        return this.#loads.get(upstream) ?? NoLoad;
    }

    /** Records a decision to dispatch; ignored when the request is already counted at the upstream. */
    recordDecision(dispatch: ActiveDispatch, hasStarted = false): void {
        const key = keyOf(dispatch.requestId, dispatch.upstream);
        if (this.#entries.has(key)) {
            return;
        }
        const entry = { dispatch, hasStarted };
        this.#entries.set(key, entry);
        if (!hasStarted) {
            this.#pending.set(key, entry);
        }
        this.#updateLoad(dispatch, 1);
    }

    /** Records that a dispatch has started. @returns Whether the dispatch was known. */
    recordStart(requestId: string, upstream: string): boolean {
        const key = keyOf(requestId, upstream);
        const entry = this.#entries.get(key);
        if (entry !== undefined) {
            entry.hasStarted = true;
            this.#pending.delete(key);
        }
        return entry !== undefined;
    }

    /** Records that a dispatch has ended. @returns The dispatch, or `undefined` when it was unknown. */
    recordEnd(requestId: string, upstream: string): ActiveDispatch | undefined {
        const key = keyOf(requestId, upstream);
        const entry = this.#entries.get(key);
        if (entry === undefined) {
            return undefined;
        }
        this.#entries.delete(key);
        this.#pending.delete(key);
        this.#updateLoad(entry.dispatch, -1);
        return entry.dispatch;
    }

    /** Removes the dispatches of a request that have not started. */
    removePending(requestId: string): void {
        for (const { dispatch } of [...this.#pending.values()]) {
            if (dispatch.requestId === requestId) {
                this.recordEnd(requestId, dispatch.upstream);
            }
        }
    }

    /** Removes dispatches that were decided before the given time and have not started. */
    removeExpired(beforeMs: number): void {
        for (const { dispatch } of this.#pending.values()) {
            if (dispatch.decidedAtMs >= beforeMs) {
                return;
            }
            this.recordEnd(dispatch.requestId, dispatch.upstream);
        }
    }

    #updateLoad(dispatch: ActiveDispatch, change: 1 | -1): void {
        let load = this.#loads.get(dispatch.upstream);
        if (load === undefined) {
            load = createLoad();
            this.#loads.set(dispatch.upstream, load);
        }
        load.total += change;
        load.byClass[dispatch.workClass] += change;
        if (dispatch.long && dispatch.workClass !== "urgent") {
            load.long += change;
        }
        if (dispatch.isPreemptible) {
            load.yielding += change;
            load.yieldingBackground += dispatch.workClass === "background" ? change : 0;
        }
        if (load.total === 0) {
            this.#loads.delete(dispatch.upstream);
        }
    }
}

function keyOf(requestId: string, upstream: string): string {
    return `${requestId}\n${upstream}`;
}
