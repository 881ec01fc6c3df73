/** In-memory object store with versions, conditional updates and a change history for watches. */
import {
    AbsentVersion,
    type ListOutcome,
    MaxValueBytes,
    type ReadOutcome,
    type StoredObject,
    type WatchedChange,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";

/** Minimum number of recent changes kept for watches; up to twice as many are held before old ones are dropped. */
const HistoryLength = 20_000;

interface HistoryEntry {
    readonly revision: number;
    readonly change: WatchedChange;
}

/** State of an {@link ObjectStore} at one time, from which it can be restored. */
export interface ObjectStoreCopy {
    readonly objects: ReadonlyMap<string, StoredObject>;
    readonly revision: number;
}

/** The objects of the platform stand-in. It injects no faults; the classes that use it add them. */
export class ObjectStore {
    readonly #objects = new Map<string, StoredObject>();
    readonly #history: HistoryEntry[] = [];
    readonly #listeners = new Set<(change: WatchedChange) => void>();
    /** Last version of each deleted key, so that a new object never reuses an old version. */
    readonly #deletedVersions = new Map<string, number>();
    #sortedKeys: string[] | undefined;
    #revision = 0;

    /** @returns Revision of the newest change. */
    get revision(): number {
        return this.#revision;
    }

    /** @returns The current state. */
    copy(): ObjectStoreCopy {
        return { objects: new Map(this.#objects), revision: this.#revision };
    }

    /** Goes back to an earlier state. Revisions and versions since then are given out again, and the history is gone. */
    restore({ objects, revision }: ObjectStoreCopy): void {
        this.#objects.clear();
        objects.forEach((object, key) => this.#objects.set(key, object));
        this.#deletedVersions.clear();
        this.#history.length = 0;
        this.#sortedKeys = undefined;
        this.#revision = revision;
    }

    /** @returns The object, or `absent` if there is none. */
    get(key: string): ReadOutcome {
        const object = this.#objects.get(key);
        return object === undefined ? { status: "absent" } : { status: "found", object };
    }

    /** Writes a key if its version is the expected one; refuses values that are too large. */
    put(key: string, value: unknown, expectedVersion: number): WriteOutcome {
        const text = JSON.stringify(value);
        if (text === undefined || Buffer.byteLength(text) > MaxValueBytes) {
            return { status: "refused", reason: "the value is too large" };
        }
        const current = this.#objects.get(key);
        if ((current?.version ?? AbsentVersion) !== expectedVersion) {
            return { status: "conflict", current };
        }
        const version = (current?.version ?? this.#deletedVersions.get(key) ?? AbsentVersion) + 1;
        if (current === undefined) {
            this.#sortedKeys = undefined;
        }
        this.#revision++;
        const object: StoredObject = { key, version, revision: this.#revision, value: JSON.parse(text) };
        this.#objects.set(key, object);
        this.#record({ key, object });
        return { status: "applied", version };
    }

    /** Deletes a key if its version is the expected one. */
    delete(key: string, expectedVersion: number): WriteOutcome {
        const current = this.#objects.get(key);
        if (current === undefined || current.version !== expectedVersion) {
            return { status: "conflict", current };
        }
        this.#objects.delete(key);
        this.#deletedVersions.set(key, current.version);
        this.#sortedKeys = undefined;
        this.#revision++;
        this.#record({ key, object: undefined });
        return { status: "applied", version: current.version };
    }

    /** Lists up to `limit` objects below a prefix, in the order of their keys, starting after `afterKey`. */
    list(prefix: string, afterKey: string, limit: number): ListOutcome {
        this.#sortedKeys ??= [...this.#objects.keys()].sort();
        const keys = this.#sortedKeys;
        const start = firstIndexAfter(keys, afterKey > prefix ? afterKey : prefix, afterKey > prefix);
        const objects: StoredObject[] = [];
        let index = start;
        while (index < keys.length && objects.length < limit && keys[index]!.startsWith(prefix)) {
            objects.push(this.#objects.get(keys[index]!)!);
            index++;
        }
        const more = index < keys.length && keys[index]!.startsWith(prefix);
        return { status: "listed", objects, more };
    }

    /**
     * Does not wait for changes.
     * @returns The newest change of each key below a prefix after a revision, or `tooOld` when the history does not reach back.
     */
    changesAfter(prefix: string, afterRevision: number): WatchOutcome {
        const oldest = this.#history[0]?.revision ?? this.#revision + 1;
        // A revision above the current one was issued before this store was restarted empty.
        if (afterRevision + 1 < oldest || afterRevision > this.#revision) {
            return { status: "tooOld", revision: this.#revision };
        }
        const newest = new Map<string, WatchedChange>();
        for (let index = this.#history.length - 1; index >= 0; index--) {
            const entry = this.#history[index]!;
            if (entry.revision <= afterRevision) {
                break;
            }
            if (entry.change.key.startsWith(prefix) && !newest.has(entry.change.key)) {
                newest.set(entry.change.key, entry.change);
            }
        }
        return { status: "changed", changes: [...newest.values()].reverse(), revision: this.#revision };
    }

    /**
     * Calls a listener after each change.
     * @returns A function that removes the listener.
     */
    onChange(listener: (change: WatchedChange) => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    #record(change: WatchedChange): void {
        this.#history.push({ revision: this.#revision, change });
        if (this.#history.length > HistoryLength * 2) {
            this.#history.splice(0, HistoryLength);
        }
        for (const listener of [...this.#listeners]) {
            listener(change);
        }
    }
}

/** @returns Index of the first sorted key that is not before the bound, or that is after it if the bound is exclusive. */
function firstIndexAfter(keys: readonly string[], bound: string, exclusive: boolean): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        const isBefore = exclusive ? keys[middle]! <= bound : keys[middle]! < bound;
        if (isBefore) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
