import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { ObjectStore } from "../../standins/platform/objectStore.js";
import { MemberList } from "./memberList.js";

/** An in-memory store that can be made unreachable. */
class MemoryStore extends PlatformStore {
    readonly objects = new ObjectStore();
    isDown = false;
    callCount = 0;

    override get(): Promise<ReadOutcome> {
        throw new Error("not used");
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.callCount++;
        return Promise.resolve(
            this.isDown ? { status: "refused", reason: "down" } : this.objects.put(key, value, expectedVersion),
        );
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        this.callCount++;
        return Promise.resolve(this.objects.delete(key, expectedVersion));
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        this.callCount++;
        return Promise.resolve(
            this.isDown ?
                { status: "unavailable", reason: "down" } :
                this.objects.list(prefix, afterKey, limit),
        );
    }

    override watch(): Promise<WatchOutcome> {
        throw new Error("not used");
    }
}

describe("MemberList", () => {
    let clock: ManualClock;
    let store: MemoryStore;

    beforeEach(() => {
        clock = new ManualClock();
        store = new MemoryStore();
    });

    const createList = (hostId: string) =>
        new MemberList({ store, clock, prefix: "hosts/", ownHost: { hostId, zone: "z", peerAddress: `${hostId}:1` } });

    async function run(lists: readonly MemberList[], durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            clock.advance(50);
            lists.forEach(list => list.tick());
            for (let turn = 0; turn < 10; turn++) {
                await Promise.resolve();
            }
        }
    }

    const idsOf = (list: MemberList) => list.otherHosts?.map(({ hostId }) => hostId);

    describe("given hosts that start at the same time", () => {
        it("learns all of them in one listing, and none before (guards against hosts that all hold every team's tokens)", async () => {
            const lists = [createList("a"), createList("b")];
            await run(lists, 500);
            expect(lists.map(idsOf)).toEqual([undefined, undefined]);
            await run(lists, 1_500);
            expect(lists.map(idsOf)).toEqual([["b"], ["a"]]);
        });
    });

    describe("given a running fleet", () => {
        let first: MemberList;

        beforeEach(async () => {
            first = createList("a");
            await run([first], 10_000);
        });

        it("is known to a new host at once (guards against requests that are refused after a start)", async () => {
            const second = createList("b");
            await run([second], 100);
            expect(idsOf(second)).toEqual(["a"]);
        });

        it("lists again after a message from an unknown sender, but not for each message (guards against floods of calls)", async () => {
            const second = createList("b");
            await run([second], 100);
            const calls = store.callCount;
            for (let message = 0; message < 40; message++) {
                first.recordUnknownSender();
                await run([first], 50);
            }
            expect(idsOf(first)).toEqual(["b"]);
            expect(first.hasAddress("b:1")).toBe(true);
            expect(store.callCount - calls).toBeLessThanOrEqual(2);
        });

        it("is known at once to a restarted process of one of its hosts, without a write that changes anything", async () => {
            const second = createList("b");
            await run([second], 100);
            const successor = createList("b");
            await run([successor], 100);
            expect(idsOf(successor)).toEqual(["a"]);
        });

        it("drops a host that has unregistered (guards against lenders that never reply)", async () => {
            const second = createList("b");
            await run([second, first], 35_000);
            expect(idsOf(first)).toEqual(["b"]);
            await second.unregister();
            await run([first], 35_000);
            expect(idsOf(first)).toEqual([]);
        });
    });

    describe("given a store that has come back from a copy", () => {
        it("writes its entry again (guards against a host that starts later and does not know the others)", async () => {
            const first = createList("a");
            const copy = store.objects.copy();
            await run([first], 3_000);
            store.objects.restore(copy);
            first.onStoreRestored();
            await run([first], 500);
            const later = createList("b");
            await run([first, later], 8_000);
            expect(idsOf(later)).toEqual(["a"]);
        });
    });

    describe("while the store is unreachable", () => {
        it("has no list and retries", async () => {
            store.isDown = true;
            const list = createList("a");
            await run([list], 2_000);
            expect(list.otherHosts).toBeUndefined();
            store.isDown = false;
            await run([list], 3_000);
            expect(list.otherHosts).toEqual([]);
        });
    });
});
