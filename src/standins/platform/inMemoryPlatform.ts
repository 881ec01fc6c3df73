/** A platform store and host list in memory, with faults, for tests. */
import { type Clock, ManualClock } from "../../base/clock.js";
import { type Random, SeededRandom } from "../../base/random.js";
import {
    HostList,
    type HostsOutcome,
    type ListedHost,
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { type CallKind, type FaultDecision, FaultInjector } from "./faultInjector.js";
import type { ObjectStore } from "./objectStore.js";
import { PastStateReader } from "./pastStateReader.js";

/** What a local store is built from. All parts are optional. */
export interface InMemoryStoreOptions {
    /** Id of the calling host, as faults see it. */
    readonly hostId?: string;
    readonly clock?: Clock;
    readonly random?: Random;
    /** Shared between the stores of several hosts when given. */
    readonly faults?: FaultInjector;
    /** Performs the delay of the latency fault; without it calls are never delayed. */
    readonly sleep?: (durationMs: number) => Promise<void>;
}

/** The platform as one host sees it, in the same process. Watches answer at once and never wait. */
export class InMemoryPlatformStore extends PlatformStore {
    readonly faults: FaultInjector;
    readonly #objects: ObjectStore;
    readonly #stale: PastStateReader;
    readonly #hostId: string;
    readonly #sleep: (durationMs: number) => Promise<void>;
    #lateWrites: (() => void)[] = [];

    constructor(objects: ObjectStore, options: InMemoryStoreOptions = {}) {
        super();
        const clock = options.clock ?? new ManualClock();
        this.#objects = objects;
        this.#stale = new PastStateReader(objects, clock);
        this.#hostId = options.hostId ?? "";
        this.faults = options.faults ?? new FaultInjector(clock, options.random ?? new SeededRandom(1));
        this.#sleep = options.sleep ?? (() => Promise.resolve());
    }

    /** Performs the writes that the `appliedLate` fault holds back. */
    applyLateWrites(): void {
        for (const write of this.#lateWrites.splice(0)) {
            write();
        }
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#read("read", key, staleMs => this.#stale.get(key, staleMs));
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#write(key, () => this.#objects.put(key, value, expectedVersion));
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#write(key, () => this.#objects.delete(key, expectedVersion));
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.#read("read", prefix, staleMs => this.#stale.list(prefix, afterKey, limit, staleMs));
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        void waitMs;
        return this.#read("watch", prefix, () => this.#objects.changesAfter(prefix, afterRevision));
    }

    async #read<T>(kind: CallKind, key: string, read: (staleMs: number) => T): Promise<T | Unavailable> {
        const decision = await this.#decide(kind, key);
        if (decision.failure !== undefined) {
            return { status: "unavailable", reason: "the platform is not reachable" };
        }
        return read(decision.stateAgeMs);
    }

    async #write(key: string, write: () => WriteOutcome): Promise<WriteOutcome> {
        const decision = await this.#decide("write", key);
        if (decision.failure !== undefined) {
            const status = decision.failure === "refuse" ? "refused" : "unknown";
            return { status, reason: "the platform is not reachable" };
        }
        if (decision.lateWriteDelayMs !== undefined) {
            this.#lateWrites.push(write);
            return { status: "unknown", reason: "the connection was closed" };
        }
        const outcome = write();
        return decision.responseLost ? { status: "unknown", reason: "the connection was closed" } : outcome;
    }

    async #decide(kind: CallKind, key: string): Promise<FaultDecision> {
        const decision = this.faults.decide({ hostId: this.#hostId, kind, key });
        await this.#sleep(decision.delayMs);
        return decision;
    }
}

type Unavailable = { readonly status: "unavailable"; readonly reason: string; };

/** A host list in memory. */
export class InMemoryHostList extends HostList {
    #hosts: readonly ListedHost[] = [];
    #revision = 0;
    /** Whether calls fail. */
    isUnavailable = false;

    /** Replaces the list. */
    set(hosts: readonly ListedHost[]): void {
        this.#hosts = hosts;
        this.#revision++;
    }

    override hosts(sinceRevision: number): Promise<HostsOutcome> {
        if (this.isUnavailable) {
            return Promise.resolve({ status: "unavailable", reason: "the platform is not reachable" });
        }
        const revision = this.#revision;
        return Promise.resolve(
            sinceRevision === revision ?
                { status: "unchanged", revision } :
                { status: "changed", hosts: this.#hosts, revision },
        );
    }
}
