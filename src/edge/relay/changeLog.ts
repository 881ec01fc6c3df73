/** The newest changes below one prefix as a watcher saw them, for the hosts that ask it. */
import type { WatchedChange, WatchOutcome } from "../../platform/platformStore.js";

/** Batches that are kept; hosts ask every second, so that far fewer are in use. */
const MostBatches = 200;

/**
 * Age of the store's last answer up to which a watcher's log counts as current, in milliseconds: the longest wait of a watcher's own
 * call and a slow answer. Hosts must learn of a leaving upstream within two seconds, also when their watcher is cut off.
 */
export const MaxConfirmationAgeMs = 1_400;

/** Changes between two revisions. */
interface Batch {
    readonly revision: number;
    readonly changes: readonly WatchedChange[];
}

/** What a log answers. */
export type ChangesSinceResult =
    /** Changes since the asked revision; none yet when the list is empty. */
    | {
        readonly kind: "changes";
        readonly changes: readonly WatchedChange[];
        readonly revision: number;
        readonly ageMs: number;
    }
    /** The asked revision is older than the log: the store knows what came since. */
    | { readonly kind: "olderThanLog"; }
    /** The store was not heard for too long. */
    | { readonly kind: "stale"; };

/** Log of one prefix. */
export class ChangeLog {
    readonly #batches: Batch[] = [];
    readonly #waiting = new Set<() => void>();
    /** Revision before the oldest batch; `undefined` before the first answer. */
    #firstRevision: number | undefined;
    #revision = 0;
    #confirmedMs = Number.NEGATIVE_INFINITY;

    /** Takes over an answer of the store to a watch from a revision. */
    recordOutcome(afterRevision: number, outcome: WatchOutcome, nowMs: number): void {
        if (outcome.status !== "changed") {
            return;
        }
        if (this.#firstRevision === undefined || afterRevision !== this.#revision) {
            this.#batches.length = 0;
            this.#firstRevision = afterRevision;
        }
        this.#confirmedMs = nowMs;
        this.#revision = outcome.revision;
        if (outcome.changes.length > 0) {
            this.#batches.push({ revision: outcome.revision, changes: outcome.changes });
        }
        if (this.#batches.length > MostBatches) {
            this.#firstRevision = this.#batches.shift()!.revision;
        }
        if (outcome.changes.length > 0) {
            [...this.#waiting].forEach(wake => wake());
        }
    }

    /** @returns Time for which the log is still good, in milliseconds; negative when it is too old. */
    timeUntilStaleMs(nowMs: number): number {
        return this.#confirmedMs + MaxConfirmationAgeMs - nowMs;
    }

    /** @returns What is known of the changes after a revision. */
    changesSince(afterRevision: number, nowMs: number): ChangesSinceResult {
        if (this.#firstRevision === undefined || this.timeUntilStaleMs(nowMs) < 0) {
            return { kind: "stale" };
        }
        if (afterRevision < this.#firstRevision) {
            return { kind: "olderThanLog" };
        }
        return {
            kind: "changes",
            changes: this.#batches.filter(({ revision }) => revision > afterRevision).flatMap(({ changes }) => changes),
            // A host that asked the store itself meanwhile may be ahead.
            revision: Math.max(afterRevision, this.#revision),
            ageMs: Math.max(0, nowMs - this.#confirmedMs),
        };
    }

    /** Calls back once at the next change. @returns Function that ends the wait. */
    onChange(callback: () => void): () => void {
        const wake = () => {
            this.#waiting.delete(wake);
            callback();
        };
        this.#waiting.add(wake);
        return () => this.#waiting.delete(wake);
    }
}
