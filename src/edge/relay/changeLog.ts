/** The latest changes below one prefix as a watcher received them, for the hosts that ask it. */
import type { WatchedChange, WatchOutcome } from "../../platform/platformStore.js";
import { historyOf } from "../../platform/storeHistory.js";

/** Maximum number of batches that are kept; hosts ask every second, so far fewer are needed. */
const MaxBatches = 200;

/**
 * Maximum age of the store's last response for which a watcher's log counts as current, in milliseconds: the maximum wait of the
 * watcher's own call plus a slow response. Hosts must learn of a leaving upstream within two seconds, even when their watcher is
 * disconnected from the store.
 */
export const MaxConfirmationAgeMs = 1_400;

/** Changes of one watch response, up to a revision. */
interface Batch {
    readonly revision: number;
    readonly changes: readonly WatchedChange[];
}

/** Outcome of a query for the changes after a revision. */
export type ChangesSinceResult =
    /** Changes after the requested revision up to `revision`; `ageMs`: milliseconds since the store's last response. */
    | {
        readonly kind: "changes";
        readonly changes: readonly WatchedChange[];
        readonly revision: number;
        readonly ageMs: number;
    }
    /** The requested revision precedes the log or belongs to another history, so the store must be asked. */
    | { readonly kind: "olderThanLog"; }
    /** The store has not responded to the watcher for too long. */
    | { readonly kind: "stale"; };

/** Keeps the latest changes below one prefix, bounded in number, and notifies waiting calls of new ones. */
export class ChangeLog {
    readonly #batches: Batch[] = [];
    readonly #changeCallbacks = new Set<() => void>();
    /** Revision before the oldest batch; `undefined` before the first response. */
    #firstRevision: number | undefined;
    #revision = 0;
    #lastConfirmedMs = Number.NEGATIVE_INFINITY;

    /** Records the store's response to a watch from a revision. Failed watches are ignored; a gap discards the older changes. */
    recordOutcome(afterRevision: number, outcome: WatchOutcome, nowMs: number): void {
        if (outcome.status !== "changed") {
            return;
        }
        if (this.#firstRevision === undefined || afterRevision !== this.#revision) {
            this.#batches.length = 0;
            this.#firstRevision = afterRevision;
        }
        this.#lastConfirmedMs = nowMs;
        this.#revision = outcome.revision;
        if (outcome.changes.length > 0) {
            this.#batches.push({ revision: outcome.revision, changes: outcome.changes });
        }
        if (this.#batches.length > MaxBatches) {
            this.#firstRevision = this.#batches.shift()!.revision;
        }
        if (outcome.changes.length > 0) {
            [...this.#changeCallbacks].forEach(wake => wake());
        }
    }

    /** @returns Time until the log counts as stale, in milliseconds; negative when it already does. */
    timeUntilStaleMs(nowMs: number): number {
        return this.#lastConfirmedMs + MaxConfirmationAgeMs - nowMs;
    }

    /** @returns The changes after a revision, or why the log does not have them. */
    changesSince(afterRevision: number, nowMs: number): ChangesSinceResult {
        if (this.#firstRevision === undefined || this.timeUntilStaleMs(nowMs) < 0) {
            return { kind: "stale" };
        }
        if (afterRevision < this.#firstRevision || historyOf(afterRevision) !== historyOf(this.#revision)) {
            return { kind: "olderThanLog" };
        }
        return {
            kind: "changes",
            changes: this.#batches.filter(({ revision }) => revision > afterRevision).flatMap(({ changes }) => changes),
            // A host that has asked the store directly in the meantime may be ahead of this log.
            revision: Math.max(afterRevision, this.#revision),
            ageMs: Math.max(0, nowMs - this.#lastConfirmedMs),
        };
    }

    /**
     * Calls the callback once, at the next change.
     * @returns Function that cancels the callback.
     */
    onChange(callback: () => void): () => void {
        const wake = () => {
            this.#changeCallbacks.delete(wake);
            callback();
        };
        this.#changeCallbacks.add(wake);
        return () => this.#changeCallbacks.delete(wake);
    }
}
