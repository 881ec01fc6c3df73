/** Watches of the platform stand-in that wait for a change. */
import type { WatchOutcome } from "../../platform/platformStore.js";
import type { ObjectStore } from "./objectStore.js";

interface Waiter {
    readonly hostId: string;
    readonly prefix: string;
    readonly afterRevision: number;
    readonly finish: (outcome: WatchOutcome | undefined) => void;
}

/** Completes watches when an object below their prefix changes or their wait ends. */
export class WatchRegistry {
    readonly #objects: ObjectStore;
    readonly #waiters = new Set<Waiter>();

    constructor(objects: ObjectStore) {
        this.#objects = objects;
        objects.onChange(change => {
            for (const waiter of this.#waiters) {
                if (change.key.startsWith(waiter.prefix)) {
                    waiter.finish(objects.changesAfter(waiter.prefix, waiter.afterRevision));
                }
            }
        });
    }

    /** @returns Number of watches that wait. */
    get waitingCount(): number {
        return this.#waiters.size;
    }

    /**
     * Waits up to `waitMs` for changes below a prefix after a revision.
     * @returns The changes, which may be none, or `undefined` when the watch was aborted.
     */
    wait(hostId: string, prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome | undefined> {
        const outcome = this.#objects.changesAfter(prefix, afterRevision);
        if (outcome.status !== "changed" || outcome.changes.length > 0 || waitMs <= 0) {
            return Promise.resolve(outcome);
        }
        return new Promise(resolve => {
            const waiter: Waiter = {
                hostId,
                prefix,
                afterRevision,
                finish: result => {
                    clearTimeout(timer);
                    this.#waiters.delete(waiter);
                    resolve(result);
                },
            };
            const timer = setTimeout(
                () => waiter.finish(this.#objects.changesAfter(prefix, afterRevision)),
                waitMs,
            );
            this.#waiters.add(waiter);
        });
    }

    /** Aborts the waiting watches for which `isAffected` returns true. */
    abort(isAffected: (hostId: string, prefix: string) => boolean): void {
        for (const waiter of [...this.#waiters]) {
            if (isAffected(waiter.hostId, waiter.prefix)) {
                waiter.finish(undefined);
            }
        }
    }
}
