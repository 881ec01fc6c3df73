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

/** A store in memory that can be out of reach. */
class MemoryStore extends PlatformStore {
    readonly objects = new ObjectStore();
    isDown = false;
    calls = 0;

    override get(): Promise<ReadOutcome> {
        throw new Error("not used");
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.calls++;
        return Promise.resolve(
            this.isDown ? { status: "refused", reason: "down" } : this.objects.put(key, value, expectedVersion),
        );
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        this.calls++;
        return Promise.resolve(this.objects.delete(key, expectedVersion));
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        this.calls++;
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

    const start = (hostId: string) =>
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
        it("knows all of them at once, and none before (guards against hosts that all hold every team's tokens)", async () => {
            const lists = [start("a"), start("b")];
            await run(lists, 500);
            expect(lists.map(idsOf)).toEqual([undefined, undefined]);
            await run(lists, 1_500);
            expect(lists.map(idsOf)).toEqual([["b"], ["a"]]);
        });
    });

    describe("given a fleet that is there", () => {
        let first: MemberList;

        beforeEach(async () => {
            first = start("a");
            await run([first], 10_000);
        });

        it("is known to a new host at once (guards against requests refused after a start)", async () => {
            const second = start("b");
            await run([second], 100);
            expect(idsOf(second)).toEqual(["a"]);
        });

        it("lists again when a stranger is heard of, but not at each message (guards against floods of calls)", async () => {
            const second = start("b");
            await run([second], 100);
            const calls = store.calls;
            for (let message = 0; message < 40; message++) {
                first.recordUnknownSender();
                await run([first], 50);
            }
            expect(idsOf(first)).toEqual(["b"]);
            expect(first.hasAddress("b:1")).toBe(true);
            expect(store.calls - calls).toBeLessThanOrEqual(2);
        });

        it("is known to a successor of one of its hosts at once, without a write that changes anything", async () => {
            const second = start("b");
            await run([second], 100);
            const successor = start("b");
            await run([successor], 100);
            expect(idsOf(successor)).toEqual(["a"]);
        });

        it("no longer has a host that left (guards against lenders that never answer)", async () => {
            const second = start("b");
            await run([second, first], 35_000);
            expect(idsOf(first)).toEqual(["b"]);
            await second.unregister();
            await run([first], 35_000);
            expect(idsOf(first)).toEqual([]);
        });
    });

    describe("while the store cannot be reached", () => {
        it("keeps what it knows and tries again", async () => {
            store.isDown = true;
            const list = start("a");
            await run([list], 2_000);
            expect(list.otherHosts).toBeUndefined();
            store.isDown = false;
            await run([list], 3_000);
            expect(list.otherHosts).toEqual([]);
        });
    });
});
