import { Result } from "true-myth";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SeededRandom } from "../base/random.js";
import type { ConfigEvent, ConfigSnapshot } from "../features/config/configEvents.js";
import { configChangeKey } from "../features/config/configTypes.js";
import { createBlackboard } from "../kernel/blackboard.js";
import type { RouterEvent } from "../kernel/events.js";
import type { ListedHost, ListOutcome, WatchOutcome } from "../platform/platformStore.js";
import { InMemoryHostList, InMemoryPlatformStore } from "../standins/platform/inMemoryPlatform.js";
import { ObjectStore } from "../standins/platform/objectStore.js";
import { ConfigWatcher } from "./configWatcher.js";
import { HostListPoller } from "./hostListPoller.js";
import type { Watcher } from "./routerDependencies.js";

const noSnapshot: ConfigSnapshot = { version: 0, resources: [] };

/** A store that can be unreachable, and that can report a watch's revision as too old. */
class FlakyStore extends InMemoryPlatformStore {
    isReachable = true;
    isRevisionTooOld = false;
    revision = 0;

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.isReachable ?
            super.list(prefix, afterKey, Math.min(limit, 2)) :
            Promise.resolve({ status: "unavailable", reason: "cut off" });
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        if (!this.isReachable) {
            return Promise.resolve({ status: "unavailable", reason: "cut off" });
        }
        if (this.isRevisionTooOld) {
            this.isRevisionTooOld = false;
            return Promise.resolve({ status: "tooOld", revision: this.revision });
        }
        return super.watch(prefix, afterRevision, waitMs);
    }
}

describe("watchers", () => {
    let objects: ObjectStore;
    let store: FlakyStore;
    let events: RouterEvent[];
    let watcher: Watcher | undefined;
    const board = createBlackboard("h0", "i0");

    beforeEach(() => {
        objects = new ObjectStore();
        store = new FlakyStore(objects);
        events = [];
        board.config.version = 0;
    });

    afterEach(() => watcher?.stop());

    function commit(version: number): void {
        objects.put(configChangeKey(version), { version, changes: [] }, 0);
    }

    function startWatcher(snapshot = noSnapshot): void {
        const loadSnapshot = (): Promise<Result<ConfigSnapshot, string>> => Promise.resolve(Result.ok(snapshot));
        watcher = new ConfigWatcher({ store, random: new SeededRandom(1), loadSnapshot });
        watcher.start({ board, post });
    }

    function post(event: RouterEvent): void {
        events.push(event);
        if (event.type === "configSnapshotLoaded") {
            board.config.version = event.snapshot.version;
        }
    }

    function receivedVersions(): number[] {
        const received = events.filter(event => event.type === "configChangesReceived") as ConfigEvent[];
        return received.flatMap(event =>
            event.type === "configChangesReceived" ? event.changes.map(change => change.version) : []
        );
    }

    describe("ConfigWatcher", () => {
        it("loads the snapshot, then all pages after it, then new changes (guards against a missed version)", async () => {
            [1, 2, 3, 4, 5, 6, 7].forEach(commit);
            startWatcher({ version: 2, resources: [] });
            await expect.poll(() => receivedVersions()).toEqual([3, 4, 5, 6, 7]);
            expect(events[0]).toMatchObject({ type: "configSnapshotLoaded", snapshot: { version: 2 } });
            commit(8);
            await expect.poll(() => receivedVersions().at(-1)).toBe(8);
        });

        it("posts an empty change log, so that a new fleet knows that it has read the store", async () => {
            startWatcher();
            await expect.poll(() => events).toEqual([{ type: "configChangesReceived", changes: [], fromStore: true }]);
        });

        it("continues after an outage (guards against a watch that ends at the first error)", async () => {
            store.isReachable = false;
            startWatcher();
            commit(1);
            await expect.poll(() => events.length).toBe(0);
            store.isReachable = true;
            await expect.poll(() => receivedVersions(), { timeout: 5_000 }).toEqual([1]);
        });

        it("reads the log again when the watch's revision is too old (guards against missed changes)", async () => {
            startWatcher();
            await expect.poll(() => events.length).toBe(1);
            store.isRevisionTooOld = true;
            commit(1);
            commit(2);
            store.revision = objects.revision;
            await expect.poll(() => receivedVersions()).toEqual([1, 2]);
        });

        it("ignores a change that cannot be read (guards against a watcher that stops at it)", async () => {
            objects.put(configChangeKey(1), { version: "one" }, 0);
            commit(2);
            startWatcher();
            await expect.poll(() => receivedVersions()).toEqual([2]);
        });
    });

    describe("HostListPoller", () => {
        it("polls from the known revision and survives an outage (guards against transferring the full list with each poll)", async () => {
            const hostList = new InMemoryHostList();
            const host: ListedHost = {
                hostId: "h1",
                zone: "",
                peerAddress: "127.0.0.1:1",
                operatorAddress: "",
                state: "live",
            };
            hostList.isUnavailable = true;
            watcher = new HostListPoller({ hostList, random: new SeededRandom(1) });
            watcher.start({ board, post });
            await expect.poll(() => events.length).toBeGreaterThan(0);
            hostList.isUnavailable = false;
            hostList.set([host]);
            const statuses = (): string[] =>
                events.map(event => event.type === "hostsListed" ? event.outcome.status : "");
            await expect.poll(statuses, { timeout: 5_000 }).toEqual(["unavailable", "changed", "unchanged"]);
        });
    });
});
