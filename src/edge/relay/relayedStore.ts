/**
 * The store, with watches that go to a watcher of the zone where there is one. A watcher that does not respond, or cannot reach
 * the store itself, is skipped for one to five seconds. The host then asks the other watcher of the zone, and watches the store
 * directly while all watchers are skipped.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { EdgeCounterNames } from "../metrics.js";
import { ChangeLog } from "./changeLog.js";
import type { RelayClient, RelayOutcome } from "./relayClient.js";
import type { WatchSource } from "./watchSource.js";

/**
 * Maximum wait of a watch in a fleet with watchers, in milliseconds: a watcher that is disconnected from the store, and a host
 * whose watcher is frozen, detect it after this time.
 */
const RelayedWaitMs = 1_000;

/** Wait of a watch of the store while all watchers are skipped, in milliseconds; then the host checks for a watcher again. */
const DirectWaitMs = 1_000;

/** Time for which a watcher that failed is skipped, in milliseconds; a process is replaced in one to three seconds. */
const FailedAvoidanceMs = 5_000;

/**
 * Time for which a watcher that cannot reach the store is skipped, in milliseconds. Asking it again is cheap: it responds at once
 * and needs no call to the store. With a longer time every host would watch the store itself after an outage of all hosts.
 */
const StaleAvoidanceMs = 1_000;

/** Collaborators of {@link RelayedStore}. */
export interface RelayedStoreDependencies {
    readonly store: PlatformStore;
    readonly client: RelayClient;
    readonly clock: Clock;
    readonly counters: Counters;
    /** @returns Where this host's watches currently go. */
    watchSource(): WatchSource<{ readonly peerAddress: string; }>;
}

/** Outcome of a request to a watcher that is down or cannot reach the store. */
type RelayFailure = Extract<RelayOutcome, { status: "failed" | "stale"; }>;

/** Sends each watch to a watcher of the zone or to the store, and all other calls to the store. */
export class RelayedStore extends PlatformStore {
    readonly #dependencies: RelayedStoreDependencies;
    readonly #changeLogs = new Map<string, ChangeLog>();
    readonly #avoidedUntilMs = new Map<string, number>();

    constructor(dependencies: RelayedStoreDependencies) {
        super();
        this.#dependencies = dependencies;
    }

    /** @returns Changes that this host's own watches of a prefix have received; `undefined` when it has not watched it. */
    changeLogFor(prefix: string): ChangeLog | undefined {
        return this.#changeLogs.get(prefix);
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#dependencies.store.get(key);
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.put(key, value, expectedVersion);
    }

    override putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.putStatus(key, status, expectedVersion);
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.delete(key, expectedVersion);
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.#dependencies.store.list(prefix, afterKey, limit);
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const source = this.#dependencies.watchSource();
        if (source.kind !== "askWatchers") {
            const maxWaitMs = source.kind === "everyHostWatches" ? waitMs : Math.min(waitMs, RelayedWaitMs);
            return await this.#watchStore(prefix, afterRevision, maxWaitMs);
        }
        const nowMs = this.#dependencies.clock.monotonicMs();
        const watcher = source.hosts
            .map(({ peerAddress }) => peerAddress)
            .find(address => nowMs >= (this.#avoidedUntilMs.get(address) ?? 0));
        if (watcher !== undefined) {
            const relayed = await this.#dependencies.client.watch(
                watcher,
                prefix,
                afterRevision,
                Math.min(waitMs, RelayedWaitMs),
            );
            if (relayed.status === "changed") {
                return relayed.outcome;
            }
            if (relayed.status !== "askStore") {
                this.#avoid(watcher, prefix, relayed);
            }
        }
        // After a watcher has been asked, this call only fetches the changes that the watcher did not deliver.
        const directWaitMs = watcher === undefined ? DirectWaitMs : 1;
        return await this.#watchStore(prefix, afterRevision, Math.min(waitMs, directWaitMs));
    }

    async #watchStore(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const outcome = await this.#dependencies.store.watch(prefix, afterRevision, waitMs);
        let changeLog = this.#changeLogs.get(prefix);
        if (changeLog === undefined) {
            changeLog = new ChangeLog();
            this.#changeLogs.set(prefix, changeLog);
        }
        changeLog.recordOutcome(afterRevision, outcome, this.#dependencies.clock.monotonicMs());
        return outcome;
    }

    #avoid(watcher: string, prefix: string, outcome: RelayFailure): void {
        const forMs = outcome.status === "stale" ? StaleAvoidanceMs : FailedAvoidanceMs;
        this.#avoidedUntilMs.set(watcher, this.#dependencies.clock.monotonicMs() + forMs);
        this.#dependencies.counters.add(EdgeCounterNames.relayFailures);
        log.info("watcher skipped", { watcher, prefix, ...outcome, forMs });
    }
}
