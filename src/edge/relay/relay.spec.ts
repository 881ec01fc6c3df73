import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { sleep } from "../../base/sleep.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchedChange,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { RelayClient } from "./relayClient.js";
import { RelayedStore } from "./relayedStore.js";
import { RelayServer } from "./relayServer.js";
import type { WatchSource } from "./watchSource.js";

const change = (revision: number, text = "x"): WatchedChange => (
    { key: "k/a", object: { key: "k/a", version: revision, revision, value: text } }
);

/** A store that answers watches as told and counts them. */
class ScriptedStore extends PlatformStore {
    readonly watches: { readonly after: number; readonly waitMs: number; }[] = [];
    next: WatchOutcome = { status: "changed", changes: [], revision: 10 };

    override watch(_prefix: string, after: number, waitMs: number): Promise<WatchOutcome> {
        this.watches.push({ after, waitMs });
        return Promise.resolve(this.next);
    }

    override get(): Promise<ReadOutcome> {
        throw new Error("not used");
    }

    override put(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override delete(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override list(): Promise<ListOutcome> {
        throw new Error("not used");
    }
}

describe("RelayedStore", () => {
    const clock = new ManualClock();
    let client: RelayClient;
    let server: RelayServer;
    let watcherStore: ScriptedStore;
    let watcher: RelayedStore;
    let store: ScriptedStore;
    let asker: RelayedStore;
    let counters: Counters;
    let choice: WatchSource<{ readonly peerAddress: string; }>;

    beforeEach(async () => {
        client = new RelayClient();
        watcherStore = new ScriptedStore();
        store = new ScriptedStore();
        counters = new Counters();
        watcher = new RelayedStore({
            store: watcherStore,
            client,
            clock,
            counters: new Counters(),
            watchSource: () => ({ kind: "watchForZone" }),
        });
        server = new RelayServer({ clock, changeLogFor: prefix => watcher.changeLogFor(prefix) });
        const port = await server.start("127.0.0.1", 0);
        choice = { kind: "ask", hosts: [{ peerAddress: `127.0.0.1:${port}` }] };
        asker = new RelayedStore({ store, client, clock, counters, watchSource: () => choice });
        await watcher.watch("k/", 10, 3_000);
    });

    afterEach(() => {
        client.close();
        server.stop();
    });

    async function seeChange(revision: number, text?: string): Promise<void> {
        const { revision: after } = watcherStore.next as { revision: number; };
        watcherStore.next = { status: "changed", changes: [change(revision, text)], revision };
        await watcher.watch("k/", after, 3_000);
    }

    describe("in a small fleet", () => {
        it("watches the store for as long as it was asked to", async () => {
            choice = { kind: "watchAll" };
            await asker.watch("k/", 10, 3_000);
            expect(store.watches).toEqual([{ after: 10, waitMs: 3_000 }]);
        });
    });

    describe("as a watcher", () => {
        it("watches for a second at most (guards against hosts that learn late of their watcher's cut)", () => {
            expect(watcherStore.watches).toEqual([{ after: 10, waitMs: 1_000 }]);
        });
    });

    describe("given a watcher that hears of changes", () => {
        it("gets them without a call to the store, with their age", async () => {
            await seeChange(12);
            clock.advance(300);
            const outcome = await asker.watch("k/", 10, 3_000);
            expect(outcome).toEqual({ status: "changed", changes: [change(12)], revision: 12, ageMs: 300 });
            expect(store.watches).toEqual([]);
        });

        it("is told as soon as there is one (guards against requests to upstreams that have left)", async () => {
            const outcome = asker.watch("k/", 10, 3_000);
            await sleep(100);
            await seeChange(11);
            expect(await outcome).toMatchObject({ revision: 11 });
            expect(store.watches).toEqual([]);
        });

        it("gets each change once and in order", async () => {
            await seeChange(12);
            await seeChange(15);
            expect(await asker.watch("k/", 10, 100)).toMatchObject({ changes: [change(12), change(15)], revision: 15 });
            expect(await asker.watch("k/", 12, 100)).toMatchObject({ changes: [change(15)], revision: 15 });
            expect(await asker.watch("k/", 15, 50)).toMatchObject({ changes: [], revision: 15 });
        });

        it("does not go back when it is ahead of the watcher", async () => {
            expect(await asker.watch("k/", 14, 50)).toMatchObject({ changes: [], revision: 14 });
        });

        it("reads a large change from the store, and asks the watcher again after it", async () => {
            await seeChange(12, "x".repeat(40_000));
            await asker.watch("k/", 10, 3_000);
            expect(store.watches).toEqual([{ after: 10, waitMs: 1 }]);
            await asker.watch("k/", 12, 50);
            expect(store.watches.length).toBe(1);
        });
    });

    describe("given a watcher whose log begins later", () => {
        it("catches up from the store, and asks the watcher again (guards against a fleet that watches after each start)", async () => {
            await asker.watch("k/", 9, 3_000);
            expect(store.watches).toEqual([{ after: 9, waitMs: 1 }]);
            expect(counters.snapshot()["edge.relay.failures"] ?? 0).toBe(0);
            await asker.watch("k/", 10, 50);
            expect(store.watches.length).toBe(1);
        });
    });

    describe("given a watcher that cannot be used", () => {
        const watchesStore = async () => {
            await asker.watch("k/", 10, 3_000);
            return store.watches;
        };

        it("watches the store when the watcher has not heard of it (guards against news that stop with one cut)", async () => {
            clock.advance(1_500);
            expect(await watchesStore()).toEqual([{ after: 10, waitMs: 1 }]);
        });

        it("asks it again soon after it heard of the store (guards against an outage after which all hosts watch)", async () => {
            clock.advance(1_500);
            await watchesStore();
            clock.advance(1_000);
            await watcher.watch("k/", 10, 3_000);
            await asker.watch("k/", 10, 50);
            expect(store.watches.length).toBe(1);
        });

        it("asks it again soon when it has just started", async () => {
            await asker.watch("other/", 10, 3_000);
            expect(store.watches).toEqual([{ after: 10, waitMs: 1 }]);
            clock.advance(1_000);
            await watcher.watch("other/", 10, 3_000);
            await asker.watch("other/", 10, 50);
            expect(store.watches.length).toBe(1);
        });

        it("is told when the watcher loses the store while it waits", async () => {
            const outcome = watchesStore();
            await sleep(100);
            clock.advance(1_500);
            expect(await outcome).toEqual([{ after: 10, waitMs: 1 }]);
        });

        it("watches the store when the watcher is dead, and asks it again after a while", async () => {
            server.stop();
            await watchesStore();
            await watchesStore();
            expect(store.watches).toEqual([{ after: 10, waitMs: 1 }, { after: 10, waitMs: 1_000 }]);
            expect(counters.snapshot()["edge.relay.failures"]).toBe(1);
            clock.advance(6_000);
            await watchesStore();
            expect(counters.snapshot()["edge.relay.failures"]).toBe(2);
        });

        it("watches the store when the watcher does not answer (guards against a frozen watcher)", async () => {
            const frozen = createServer(() => undefined);
            await new Promise<void>(resolve => frozen.listen(0, "127.0.0.1", resolve));
            choice = { kind: "ask", hosts: [{ peerAddress: `127.0.0.1:${(frozen.address() as AddressInfo).port}` }] };
            const startedMs = performance.now();
            await asker.watch("k/", 10, 100);
            expect(performance.now() - startedMs).toBeLessThan(1_000);
            expect(store.watches).toEqual([{ after: 10, waitMs: 1 }]);
            frozen.close();
            frozen.closeAllConnections();
        });
    });
});
