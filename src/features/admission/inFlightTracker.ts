/** Requests that this host has sent, or decided to send, to upstreams. */
import type { WorkClass } from "../config/configTypes.js";

/** Numbers of requests at one upstream. */
export interface UpstreamLoad {
    readonly byClass: Record<WorkClass, number>;
    total: number;
    /** Long requests that are not urgent. */
    long: number;
    /** Requests that the engine pauses for others: sent with the priority of background work. */
    yielding: number;
    /** Those of them that are background work. */
    yieldingBackground: number;
}

/** One dispatch. */
export interface ActiveDispatch {
    readonly requestId: string;
    readonly upstream: string;
    readonly workClass: WorkClass;
    readonly long: boolean;
    /** Whether it is sent with the priority of background work. */
    readonly isPreemptible: boolean;
    readonly decidedAtMs: number;
    /** Pool whose durations it contributes to; empty when the decision was not made here. */
    readonly poolKey: string;
}

interface Entry {
    readonly dispatch: ActiveDispatch;
    started: boolean;
}

function emptyLoad(): UpstreamLoad {
    return { byClass: { urgent: 0, normal: 0, background: 0 }, total: 0, long: 0, yielding: 0, yieldingBackground: 0 };
}

const NoLoad: Readonly<UpstreamLoad> = emptyLoad();

/** Counts dispatches from the decision to the end. */
export class InFlightTracker {
    readonly #entries = new Map<string, Entry>();
    readonly #loads = new Map<string, UpstreamLoad>();
    /** Dispatches that have not started, oldest first. */
    readonly #pending = new Map<string, Entry>();

    /** @returns Load of an upstream; must not be changed. */
    loadOf(upstream: string): Readonly<UpstreamLoad> {
        return this.#loads.get(upstream) ?? NoLoad;
    }

    /** Records a decision. */
    recordDecision(dispatch: ActiveDispatch, started = false): void {
        const key = keyOf(dispatch.requestId, dispatch.upstream);
        if (this.#entries.has(key)) {
            return;
        }
        const entry = { dispatch, started };
        this.#entries.set(key, entry);
        if (!started) {
            this.#pending.set(key, entry);
        }
        this.#count(dispatch, 1);
    }

    /** @returns Whether the dispatch was known. */
    recordStart(requestId: string, upstream: string): boolean {
        const key = keyOf(requestId, upstream);
        const entry = this.#entries.get(key);
        if (entry !== undefined) {
            entry.started = true;
            this.#pending.delete(key);
        }
        return entry !== undefined;
    }

    /** @returns The dispatch that ended, or `undefined` when it was unknown. */
    recordEnd(requestId: string, upstream: string): ActiveDispatch | undefined {
        const key = keyOf(requestId, upstream);
        const entry = this.#entries.get(key);
        if (entry === undefined) {
            return undefined;
        }
        this.#entries.delete(key);
        this.#pending.delete(key);
        this.#count(entry.dispatch, -1);
        return entry.dispatch;
    }

    /** Forgets decisions of a request whose dispatch has not started. */
    removePending(requestId: string): void {
        for (const { dispatch } of [...this.#pending.values()]) {
            if (dispatch.requestId === requestId) {
                this.recordEnd(requestId, dispatch.upstream);
            }
        }
    }

    /** Forgets decisions made before a time whose dispatch has not started. */
    removeExpired(beforeMs: number): void {
        for (const { dispatch } of this.#pending.values()) {
            if (dispatch.decidedAtMs >= beforeMs) {
                return;
            }
            this.recordEnd(dispatch.requestId, dispatch.upstream);
        }
    }

    #count(dispatch: ActiveDispatch, change: 1 | -1): void {
        let load = this.#loads.get(dispatch.upstream);
        if (load === undefined) {
            load = emptyLoad();
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
