/** Platform store and host list in memory, with fault injection, for tests. */
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

/** Options of an in-memory store. */
export interface InMemoryStoreOptions {
    /** Id of the calling host that faults are matched against. */
    readonly hostId?: string;
    /** Clock of the faults and of the stale reads; a manual clock by default. */
    readonly clock?: Clock;
    readonly random?: Random;
    /** Faults, which the stores of several hosts may share; by default the store has its own. */
    readonly faults?: FaultInjector;
    /** Waits for the delay of the `latency` fault; without it calls are never delayed. */
    readonly sleep?: (durationMs: number) => Promise<void>;
}

/** The platform as one host reaches it, in the same process. Watches return at once instead of waiting for a change. */
export class InMemoryPlatformStore extends PlatformStore {
    readonly faults: FaultInjector;
    readonly #objects: ObjectStore;
    readonly #pastStates: PastStateReader;
    readonly #hostId: string;
    readonly #sleep: (durationMs: number) => Promise<void>;
    #lateWrites: (() => void)[] = [];

    constructor(objects: ObjectStore, options: InMemoryStoreOptions = {}) {
        super();
        const clock = options.clock ?? new ManualClock();
        this.#objects = objects;
        this.#pastStates = new PastStateReader(objects, clock);
        this.#hostId = options.hostId ?? "";
        this.faults = options.faults ?? new FaultInjector(clock, options.random ?? new SeededRandom(1));
        this.#sleep = options.sleep ?? (() => Promise.resolve());
    }

    /** Performs the writes that the `appliedLate` fault has delayed. */
    applyLateWrites(): void {
        for (const write of this.#lateWrites.splice(0)) {
            write();
        }
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#read("read", key, ageMs => this.#pastStates.get(key, ageMs));
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#write(key, () => this.#objects.put(key, value, expectedVersion));
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#write(key, () => this.#objects.delete(key, expectedVersion));
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.#read("read", prefix, ageMs => this.#pastStates.list(prefix, afterKey, limit, ageMs));
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        void waitMs;
        return this.#read("watch", prefix, () => this.#objects.changesAfter(prefix, afterRevision));
    }

    async #read<T>(kind: CallKind, key: string, read: (ageMs: number) => T): Promise<T | Unavailable> {
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
    /** Whether calls fail as unavailable. */
    isUnavailable = false;

    /** Replaces the list and increments its revision. */
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
