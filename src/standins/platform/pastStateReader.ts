/** Past states of an object store, for stale reads. */
import type { Clock } from "../../base/clock.js";
import type { ListOutcome, ReadOutcome, StoredObject } from "../../platform/platformStore.js";
import type { ObjectStore } from "./objectStore.js";

/** Time for which past states are kept, in milliseconds; reads of older states are not exact. */
const RetentionMs = 60_000;

/** A state of a key before a change; `undefined` means that the key did not exist. */
interface PastState {
    /** Monotonic time at which the state was replaced. */
    readonly untilMs: number;
    readonly key: string;
    readonly object: StoredObject | undefined;
}

/** Reads an object store as it was at a past time. */
export class PastStateReader {
    readonly #objects: ObjectStore;
    readonly #clock: Clock;
    readonly #current = new Map<string, StoredObject>();
    #past: PastState[] = [];

    constructor(objects: ObjectStore, clock: Clock) {
        this.#objects = objects;
        this.#clock = clock;
        objects.onChange(change => {
            this.#past.push({ untilMs: clock.monotonicMs(), key: change.key, object: this.#current.get(change.key) });
            if (change.object === undefined) {
                this.#current.delete(change.key);
            }
            else {
                this.#current.set(change.key, change.object);
            }
            this.#dropExpired();
        });
    }

    /**
     * Reads one object.
     * @param ageMs Age of the state to read, in milliseconds; 0 reads the current state.
     */
    get(key: string, ageMs: number): ReadOutcome {
        const cutoffMs = this.#clock.monotonicMs() - ageMs;
        const past = ageMs === 0 ? undefined : this.#past.find(state => state.untilMs > cutoffMs && state.key === key);
        if (past === undefined) {
            return this.#objects.get(key);
        }
        return past.object === undefined ? { status: "absent" } : { status: "found", object: past.object };
    }

    /**
     * Lists objects below a prefix.
     * @param ageMs Age of the state to read, in milliseconds; 0 reads the current state.
     */
    list(prefix: string, afterKey: string, limit: number, ageMs: number): ListOutcome {
        if (ageMs === 0) {
            return this.#objects.list(prefix, afterKey, limit);
        }
        const cutoffMs = this.#clock.monotonicMs() - ageMs;
        const states = new Map<string, StoredObject | undefined>(this.#current);
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

    #dropExpired(): void {
        const oldestMs = this.#clock.monotonicMs() - RetentionMs;
        // Dropping in batches keeps the amortized cost of a change constant.
        if (this.#past.length > 1_000 && this.#past[this.#past.length >>> 1]!.untilMs < oldestMs) {
            this.#past = this.#past.filter(state => state.untilMs >= oldestMs);
        }
    }
}
