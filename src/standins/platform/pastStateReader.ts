/** Past states of an object store, for stale reads. */
import type { Clock } from "../../base/clock.js";
import type { ListOutcome, ReadOutcome, StoredObject } from "../../platform/platformStore.js";
import type { ObjectStore } from "./objectStore.js";

/** Longest time for which past states are kept. */
const KeptMs = 60_000;

interface PastState {
    /** Time at which the object was replaced. */
    readonly untilMs: number;
    readonly key: string;
    readonly object: StoredObject | undefined;
}

/** Reads an object store as it was some time ago. */
export class PastStateReader {
    readonly #objects: ObjectStore;
    readonly #clock: Clock;
    readonly #newest = new Map<string, StoredObject>();
    #past: PastState[] = [];

    constructor(objects: ObjectStore, clock: Clock) {
        this.#objects = objects;
        this.#clock = clock;
        objects.onChange(change => {
            this.#past.push({ untilMs: clock.monotonicMs(), key: change.key, object: this.#newest.get(change.key) });
            if (change.object === undefined) {
                this.#newest.delete(change.key);
            }
            else {
                this.#newest.set(change.key, change.object);
            }
            this.#forgetOld();
        });
    }

    /** @param ageMs Age of the state to read; 0 reads the current state. */
    get(key: string, ageMs: number): ReadOutcome {
        const cutoffMs = this.#clock.monotonicMs() - ageMs;
        const past = ageMs === 0 ? undefined : this.#past.find(state => state.untilMs > cutoffMs && state.key === key);
        if (past === undefined) {
            return this.#objects.get(key);
        }
        return past.object === undefined ? { status: "absent" } : { status: "found", object: past.object };
    }

    /** @param ageMs Age of the state to read; 0 reads the current state. */
    list(prefix: string, afterKey: string, limit: number, ageMs: number): ListOutcome {
        if (ageMs === 0) {
            return this.#objects.list(prefix, afterKey, limit);
        }
        const cutoffMs = this.#clock.monotonicMs() - ageMs;
        const states = new Map<string, StoredObject | undefined>(this.#newest);
        const changed = new Set<string>();
        for (const state of this.#past) {
            if (state.untilMs > cutoffMs && !changed.has(state.key)) {
                changed.add(state.key);
                states.set(state.key, state.object);
            }
        }
        const objects = [...states.values()].filter(object => object !== undefined)
            .filter(object => object.key.startsWith(prefix) && object.key > afterKey)
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return { status: "listed", objects: objects.slice(0, limit), more: objects.length > limit };
    }

    #forgetOld(): void {
        const oldestMs = this.#clock.monotonicMs() - KeptMs;
        // Dropping in batches keeps the cost of a change constant.
        if (this.#past.length > 1_000 && this.#past[this.#past.length >>> 1]!.untilMs < oldestMs) {
            this.#past = this.#past.filter(state => state.untilMs >= oldestMs);
        }
    }
}
