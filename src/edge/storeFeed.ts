/** Follows the objects below one prefix of the platform's store. */
import type { Clock } from "../base/clock.js";
import { log } from "../base/log.js";
import { sleep } from "../base/sleep.js";
import type { PlatformStore, StoredObject, WatchedChange } from "../platform/platformStore.js";

/** Longest wait of one watch call in milliseconds. A silent connection is noticed after it, within a few seconds. */
const WatchWaitMs = 3_000;

/** Wait of the first watch after a failure, in milliseconds: it only tells whether anything was missed. */
const ConfirmWaitMs = 1;

/** Pause after a failed call, in milliseconds; in step again well before the store counts as stable. */
const FailurePauseMs = 400;

/** Largest page of a listing. */
const PageSize = 500;

/** Shortest time between two watch calls, so that a storm of changes is read in batches, in milliseconds. */
const WatchSpacingMs = 30;

/** Shortest time between two log lines on a store that stays lost, in milliseconds. */
const LostLogSpacingMs = 1_000;

/** Receives the objects. */
export interface StoreFeedListener {
    /** All objects, after the start and after each gap. */
    onSnapshot(objects: readonly StoredObject[]): void;
    onChanges(changes: readonly WatchedChange[]): void;
}

/** Keeps a listener in step with the store. */
export class StoreFeed {
    readonly #store: PlatformStore;
    readonly #prefix: string;
    readonly #clock: Clock;
    readonly #listener: StoreFeedListener;
    #stopped = false;
    #confirmedMs = Number.NEGATIVE_INFINITY;
    #failedMs = Number.NEGATIVE_INFINITY;
    #isFailing = false;
    #loggedMs = Number.NEGATIVE_INFINITY;

    constructor(store: PlatformStore, prefix: string, clock: Clock, listener: StoreFeedListener) {
        this.#store = store;
        this.#prefix = prefix;
        this.#clock = clock;
        this.#listener = listener;
    }

    /** @returns Monotonic time of the last answer, in milliseconds. */
    get lastSuccessMs(): number {
        return this.#confirmedMs;
    }

    /** @returns Monotonic time of the last failure, in milliseconds. */
    get lastFailureMs(): number {
        return this.#failedMs;
    }

    /** @returns Whether the newest call was answered, or waits for its first change. */
    get isConnected(): boolean {
        return !this.#isFailing;
    }

    /** Starts following. */
    start(): void {
        void this.#run();
    }

    /** Stops following. */
    stop(): void {
        this.#stopped = true;
    }

    async #run(): Promise<void> {
        let revision: number | undefined;
        while (!this.#stopped) {
            try {
                revision = revision === undefined ? await this.#list() : await this.#watch(revision);
            }
            catch (error) {
                log.error("store feed failed", { prefix: this.#prefix, error: String(error) });
                revision = undefined;
            }
            await sleep(this.#isFailing || revision === undefined ? FailurePauseMs : WatchSpacingMs);
        }
    }

    /** @returns Revision to watch from; `undefined` when the listing failed. */
    async #list(): Promise<number | undefined> {
        const objects: StoredObject[] = [];
        let afterKey = "";
        let revision: number | undefined;
        for (let more = true; more;) {
            const page = await this.#store.list(this.#prefix, afterKey, PageSize);
            if (page.status === "unavailable") {
                this.#noteFailure(page.reason);
                return undefined;
            }
            objects.push(...page.objects);
            // The first page's revision is the oldest: changes during the listing are watched for again.
            revision ??= page.revision ?? 0;
            more = page.more && page.objects.length > 0;
            afterKey = page.objects.at(-1)?.key ?? "";
        }
        this.#noteAnswer();
        this.#listener.onSnapshot(objects);
        return revision;
    }

    async #watch(revision: number): Promise<number | undefined> {
        const waitMs = this.#isFailing ? ConfirmWaitMs : WatchWaitMs;
        const outcome = await this.#store.watch(this.#prefix, revision, waitMs);
        if (outcome.status === "unavailable") {
            this.#noteFailure(outcome.reason);
            return revision;
        }
        if (outcome.status === "tooOld") {
            log.info("store is listed again", { prefix: this.#prefix, revision });
            return await this.#list();
        }
        this.#noteAnswer(outcome.ageMs);
        if (outcome.changes.length > 0) {
            this.#listener.onChanges(outcome.changes);
        }
        return outcome.revision;
    }

    #noteAnswer(ageMs = 0): void {
        this.#confirmedMs = this.#clock.monotonicMs() - ageMs;
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("store regained", {
                prefix: this.#prefix,
                outageMs: Math.round(this.#confirmedMs - this.#failedMs),
            });
        }
    }

    #noteFailure(reason: string): void {
        const nowMs = this.#clock.monotonicMs();
        if (!this.#isFailing || nowMs - this.#loggedMs >= LostLogSpacingMs) {
            log.warn(this.#isFailing ? "store still lost" : "store lost", {
                prefix: this.#prefix,
                reason,
                confirmedAgeMs: Math.round(nowMs - this.#confirmedMs),
            });
            this.#loggedMs = nowMs;
        }
        this.#isFailing = true;
        this.#failedMs = nowMs;
    }
}
