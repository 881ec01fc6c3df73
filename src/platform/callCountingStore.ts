/** A store that reports each call before it forwards it. */
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "./platformStore.js";

/** Kind of a call to the store. */
export type StoreOperation = "read" | "write" | "list" | "watch";

/** Forwards all calls and reports each with its key or prefix. */
export class CallCountingStore extends PlatformStore {
    readonly #store: PlatformStore;
    readonly #onCall: (operation: StoreOperation, key: string) => void;

    /** @param store Store that receives the calls. */
    constructor(store: PlatformStore, onCall: (operation: StoreOperation, key: string) => void) {
        super();
        this.#store = store;
        this.#onCall = onCall;
    }

    override get(key: string): Promise<ReadOutcome> {
        this.#onCall("read", key);
        return this.#store.get(key);
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.#onCall("write", key);
        return this.#store.put(key, value, expectedVersion);
    }

    override putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.#onCall("write", key);
        return this.#store.putStatus(key, status, expectedVersion);
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        this.#onCall("write", key);
        return this.#store.delete(key, expectedVersion);
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        this.#onCall("list", prefix);
        return this.#store.list(prefix, afterKey, limit);
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        this.#onCall("watch", prefix);
        return this.#store.watch(prefix, afterRevision, waitMs);
    }
}
