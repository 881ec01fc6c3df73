/**
 * The store with watches that go to a watcher of the zone where there is one. A watcher that does not answer, or has not heard
 * of the store itself, is passed over for a while, and the host watches the store until then.
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
 * Longest wait of a watch in a fleet with watchers, in milliseconds: a watcher that is cut off, and a host whose watcher is frozen,
 * notice it after this time.
 */
const RelayedWaitMs = 1_000;

/** Wait of a watch that makes up for a watcher's failure, in milliseconds; the next one asks a watcher again. */
const DirectWaitMs = 1_000;

/** Time for which a watcher that failed is passed over, in milliseconds; a process is replaced in one to three seconds. */
const AvoidFailedMs = 5_000;

/**
 * Time for which a watcher that has lost the store is passed over, in milliseconds. It answers at once and costs no call; after an
 * outage of all hosts a longer time would have each of them watch the store for itself.
 */
const AvoidStaleMs = 1_000;

/** What the store is built from. */
export interface RelayedStoreDependencies {
    readonly store: PlatformStore;
    readonly client: RelayClient;
    readonly clock: Clock;
    readonly counters: Counters;
    /** @returns Where this host's watches go now. */
    watchSource(): WatchSource<{ readonly peerAddress: string; }>;
}

/** An answer that does not help, of a watcher that is not sound. */
type RelayFailure = Extract<RelayOutcome, { status: "failed" | "stale"; }>;

/** Decides for each watch where it goes. */
export class RelayedStore extends PlatformStore {
    readonly #dependencies: RelayedStoreDependencies;
    readonly #logs = new Map<string, ChangeLog>();
    readonly #avoidedUntilMs = new Map<string, number>();

    constructor(dependencies: RelayedStoreDependencies) {
        super();
        this.#dependencies = dependencies;
    }

    /** @returns What this host's own watches of a prefix have seen. */
    changeLogFor(prefix: string): ChangeLog | undefined {
        return this.#logs.get(prefix);
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#dependencies.store.get(key);
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.put(key, value, expectedVersion);
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.delete(key, expectedVersion);
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.#dependencies.store.list(prefix, afterKey, limit);
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const choice = this.#dependencies.watchSource();
        if (choice.kind !== "ask") {
            const longestMs = choice.kind === "watchAll" ? waitMs : Math.min(waitMs, RelayedWaitMs);
            return await this.#watchStore(prefix, afterRevision, longestMs);
        }
        const nowMs = this.#dependencies.clock.monotonicMs();
        const watcher = choice.hosts
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
        // After a watcher was asked the call only tells what it did not.
        const directMs = watcher === undefined ? DirectWaitMs : 1;
        return await this.#watchStore(prefix, afterRevision, Math.min(waitMs, directMs));
    }

    async #watchStore(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const outcome = await this.#dependencies.store.watch(prefix, afterRevision, waitMs);
        let changes = this.#logs.get(prefix);
        if (changes === undefined) {
            changes = new ChangeLog();
            this.#logs.set(prefix, changes);
        }
        changes.recordOutcome(afterRevision, outcome, this.#dependencies.clock.monotonicMs());
        return outcome;
    }

    #avoid(watcher: string, prefix: string, outcome: RelayFailure): void {
        const forMs = outcome.status === "stale" ? AvoidStaleMs : AvoidFailedMs;
        this.#avoidedUntilMs.set(watcher, this.#dependencies.clock.monotonicMs() + forMs);
        this.#dependencies.counters.add(EdgeCounterNames.relayFailures);
        log.info("watcher passed over", { watcher, prefix, ...outcome, forMs });
    }
}
