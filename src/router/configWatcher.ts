/** Loads the configuration from the store and watches its change log. */
import type { Result } from "true-myth";
import { log } from "../base/log.js";
import type { Random } from "../base/random.js";
import type { ConfigSnapshot } from "../features/config/configEvents.js";
import {
    configChangeKey,
    ConfigChangePrefix,
    type ReceivedChange,
    ReceivedChangeSchema,
} from "../features/config/configTypes.js";
import type { PlatformStore, StoredObject } from "../platform/platformStore.js";
import { PollingWatcher } from "./pollingWatcher.js";
import type { WatcherContext } from "./routerDependencies.js";

/** Average wait of one long poll, which counts as one call to the store; randomized by 20 % in both directions. */
const WatchWaitMs = 25_000;

/** Wait after a poll without changes, before jitter, for a store that responds at once instead of holding the poll. */
const EmptyPollDelayMs = 200;

/** Delay of `onLoaded` after the first load, in which the controllers build their indexes. */
const OnLoadedDelayMs = 3_000;

/** Bounds of the waits after a failure. */
const BackoffBounds = { minMs: 200, maxMs: 10_000 } as const;

/** Maximum number of changes read with one call. */
const PageLimit = 256;

/** Reads the newest snapshot, which has version 0 when there is none; fails with the reason. */
export type SnapshotLoader = (store: PlatformStore) => Promise<Result<ConfigSnapshot, string>>;

/** Collaborators of {@link ConfigWatcher}. */
export interface ConfigWatcherDependencies {
    readonly store: PlatformStore;
    readonly random: Random;
    readonly loadSnapshot: SnapshotLoader;
    /** Overrides {@link WatchWaitMs}. */
    readonly watchWaitMs?: number;
    /** Called {@link OnLoadedDelayMs} after the configuration was first read. */
    readonly onLoaded?: () => void;
}

/** Posts a configuration snapshot, then the changes after it, then each new change as it appears. */
export class ConfigWatcher extends PollingWatcher {
    readonly #dependencies: ConfigWatcherDependencies;
    #revision = 0;
    #isLoaded = false;
    #isReachable = true;

    constructor(dependencies: ConfigWatcherDependencies) {
        super(BackoffBounds, dependencies.random);
        this.#dependencies = dependencies;
    }

    protected override async run(context: WatcherContext): Promise<void> {
        while (!this.backoff.isStopped) {
            const failure = this.#isLoaded ? await this.#watch(context) : await this.#load(context);
            this.#recordOutcome(failure);
            if (failure === undefined) {
                this.backoff.reset();
            }
            else {
                await this.backoff.waitAfterFailure();
            }
        }
    }

    async #load(context: WatcherContext): Promise<string | undefined> {
        if (context.board.config.version === 0) {
            const snapshot = await this.#dependencies.loadSnapshot(this.#dependencies.store);
            if (snapshot.isErr) {
                return snapshot.error;
            }
            if (snapshot.value.version > 0 && !this.backoff.isStopped) {
                context.post({ type: "configSnapshotLoaded", snapshot: snapshot.value });
            }
        }
        const failure = await this.#readNewChanges(context);
        if (failure === undefined && this.#dependencies.onLoaded !== undefined) {
            setTimeout(this.#dependencies.onLoaded, OnLoadedDelayMs).unref();
        }
        return failure;
    }

    /** Reads the changes after the active version from the change log. */
    async #readNewChanges(context: WatcherContext): Promise<string | undefined> {
        let afterKey = configChangeKey(context.board.config.version);
        for (let hasMore = true; hasMore;) {
            const page = await this.#dependencies.store.list(ConfigChangePrefix, afterKey, PageLimit);
            if (page.status !== "listed") {
                return page.reason;
            }
            this.#post(context, page.objects, true);
            afterKey = page.objects.at(-1)?.key ?? afterKey;
            hasMore = page.more && page.objects.length > 0;
        }
        this.#isLoaded = true;
        return undefined;
    }

    async #watch(context: WatcherContext): Promise<string | undefined> {
        const waitMs = Math.round(
            (this.#dependencies.watchWaitMs ?? WatchWaitMs) * (0.8 + 0.4 * this.#dependencies.random.next()),
        );
        const outcome = await this.#dependencies.store.watch(ConfigChangePrefix, this.#revision, waitMs);
        if (outcome.status === "unavailable") {
            return outcome.reason;
        }
        if (outcome.status === "tooOld") {
            // The revision is taken before the log is read, so that no change between the two is missed.
            this.#revision = outcome.revision;
            return this.#readNewChanges(context);
        }
        this.#post(context, outcome.changes.map(change => change.object).filter(object => object !== undefined), false);
        this.#revision = Math.max(this.#revision, outcome.revision);
        if (outcome.changes.length === 0) {
            await this.backoff.wait(EmptyPollDelayMs);
        }
        return undefined;
    }

    #post(context: WatcherContext, objects: readonly StoredObject[], shouldPostEmpty: boolean): void {
        const changes: ReceivedChange[] = [];
        for (const object of objects) {
            this.#revision = Math.max(this.#revision, object.revision);
            const change = ReceivedChangeSchema.safeParse(object.value);
            if (change.success) {
                changes.push(change.data);
            }
            else {
                log.error("a configuration change cannot be read", { key: object.key });
            }
        }
        if ((changes.length > 0 || shouldPostEmpty) && !this.backoff.isStopped) {
            context.post({ type: "configChangesReceived", changes, fromStore: true });
        }
    }

    #recordOutcome(failure: string | undefined): void {
        const isReachable = failure === undefined;
        if (isReachable !== this.#isReachable && !this.backoff.isStopped) {
            this.#isReachable = isReachable;
            log.warn(isReachable ? "the store is reachable again" : "the store is unreachable", { reason: failure });
        }
    }
}
