/** Loads the configuration from the store and follows its change log. */
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

/** Longest wait of one long poll. A waiting watch counts as one call. */
const WatchWaitMs = 25_000;

/** Least time between two polls without changes, for a store that does not hold its answer back. */
const QuietWaitMs = 200;

/** Time in which the controllers build their indexes after the first load. */
const LoadedDelayMs = 3_000;

/** Bounds of the waits after a failure. */
const BackoffBounds = { minMs: 200, maxMs: 10_000 } as const;

/** Number of changes read with one call. */
const PageLimit = 256;

/** Reads the newest snapshot; its version is 0 when there is none. */
export type SnapshotLoader = (store: PlatformStore) => Promise<Result<ConfigSnapshot, string>>;

/** What the watcher works with. */
export interface ConfigWatcherDependencies {
    readonly store: PlatformStore;
    readonly random: Random;
    readonly loadSnapshot: SnapshotLoader;
    readonly watchWaitMs?: number;
    /** Called once, some time after the configuration was first read. */
    readonly onLoaded?: () => void;
}

/** Posts a snapshot, the changes after it, and then each change as it appears. */
export class ConfigWatcher extends PollingWatcher {
    readonly #dependencies: ConfigWatcherDependencies;
    #revision = 0;
    #isLoaded = false;
    #isReachable = true;

    constructor(dependencies: ConfigWatcherDependencies) {
        super(BackoffBounds, dependencies.random);
        this.#dependencies = dependencies;
    }

    protected override async run(target: WatcherContext): Promise<void> {
        while (!this.backoff.isStopped) {
            const failure = this.#isLoaded ? await this.#watch(target) : await this.#load(target);
            this.#noteOutcome(failure);
            if (failure === undefined) {
                this.backoff.reset();
            }
            else {
                await this.backoff.waitAfterFailure();
            }
        }
    }

    async #load(target: WatcherContext): Promise<string | undefined> {
        if (target.board.config.version === 0) {
            const snapshot = await this.#dependencies.loadSnapshot(this.#dependencies.store);
            if (snapshot.isErr) {
                return snapshot.error;
            }
            if (snapshot.value.version > 0 && !this.backoff.isStopped) {
                target.post({ type: "configSnapshotLoaded", snapshot: snapshot.value });
            }
        }
        const failure = await this.#readTail(target);
        if (failure === undefined && this.#dependencies.onLoaded !== undefined) {
            setTimeout(this.#dependencies.onLoaded, LoadedDelayMs).unref();
        }
        return failure;
    }

    /** Reads the change log after the version in force. */
    async #readTail(target: WatcherContext): Promise<string | undefined> {
        let afterKey = configChangeKey(target.board.config.version);
        for (let more = true; more;) {
            const page = await this.#dependencies.store.list(ConfigChangePrefix, afterKey, PageLimit);
            if (page.status !== "listed") {
                return page.reason;
            }
            this.#post(target, page.objects, true);
            afterKey = page.objects.at(-1)?.key ?? afterKey;
            more = page.more && page.objects.length > 0;
        }
        this.#isLoaded = true;
        return undefined;
    }

    async #watch(target: WatcherContext): Promise<string | undefined> {
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
            return this.#readTail(target);
        }
        this.#post(target, outcome.changes.map(change => change.object).filter(object => object !== undefined), false);
        this.#revision = Math.max(this.#revision, outcome.revision);
        if (outcome.changes.length === 0) {
            await this.backoff.wait(QuietWaitMs);
        }
        return undefined;
    }

    #post(target: WatcherContext, objects: readonly StoredObject[], postEmpty: boolean): void {
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
        if ((changes.length > 0 || postEmpty) && !this.backoff.isStopped) {
            target.post({ type: "configChangesReceived", changes, fromStore: true });
        }
    }

    #noteOutcome(failure: string | undefined): void {
        const isReachable = failure === undefined;
        if (isReachable !== this.#isReachable && !this.backoff.isStopped) {
            this.#isReachable = isReachable;
            log.warn(isReachable ? "the store answers again" : "the store does not answer", { reason: failure });
        }
    }
}
