import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { sleep } from "../../base/sleep.js";
import { CircuitBreakerStore } from "../../platform/circuitBreakerStore.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchedChange,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { versionInHistory } from "../../platform/storeHistory.js";
import { RelayClient } from "./relayClient.js";
import { RelayedStore } from "./relayedStore.js";
import { RelayServer } from "./relayServer.js";
import { StoreProxyServer } from "./storeProxyServer.js";
import type { WatchSource } from "./watchSource.js";

const change = (revision: number, text = "x"): WatchedChange => (
    { key: "k/a", object: { key: "k/a", version: revision, revision, value: text } }
);

/** A store that returns a given outcome for each watch and records the calls. */
class ScriptedStore extends PlatformStore {
    readonly watchCalls: { readonly after: number; readonly waitMs: number; }[] = [];
    nextOutcome: WatchOutcome = { status: "changed", changes: [], revision: 10 };

    override watch(_prefix: string, after: number, waitMs: number): Promise<WatchOutcome> {
        this.watchCalls.push({ after, waitMs });
        return Promise.resolve(this.nextOutcome);
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

/** Sends text on a new connection and collects the received bytes until the connection closes. */
function sendRaw(port: number, text: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        socket.on("data", bytes => received += bytes.toString());
        socket.on("close", () => resolve(received));
    });
}

describe("RelayedStore", () => {
    const clock = new ManualClock();
    let client: RelayClient;
    let server: RelayServer;
    let watcherStore: ScriptedStore;
    let watcher: RelayedStore;
    let store: ScriptedStore;
    let follower: RelayedStore;
    let counters: Counters;
    let watchSource: WatchSource<{ readonly peerAddress: string; }>;

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
        server = new RelayServer({
            clock,
            changeLogFor: prefix => watcher.changeLogFor(prefix),
            storeProxy: new StoreProxyServer(new CircuitBreakerStore(watcherStore, clock)),
        });
        const port = await server.start("127.0.0.1", 0);
        watchSource = { kind: "askWatchers", hosts: [{ peerAddress: `127.0.0.1:${port}` }] };
        follower = new RelayedStore({ store, client, clock, counters, watchSource: () => watchSource });
        await watcher.watch("k/", 10, 3_000);
    });

    afterEach(() => {
        client.close();
        server.stop();
    });

    async function sendChangeToWatcher(revision: number, text?: string): Promise<void> {
        const { revision: after } = watcherStore.nextOutcome as { revision: number; };
        watcherStore.nextOutcome = { status: "changed", changes: [change(revision, text)], revision };
        await watcher.watch("k/", after, 3_000);
    }

    describe("in a small fleet", () => {
        it("watches the store for the requested time", async () => {
            watchSource = { kind: "everyHostWatches" };
            await follower.watch("k/", 10, 3_000);
            expect(store.watchCalls).toEqual([{ after: 10, waitMs: 3_000 }]);
        });
    });

    describe("as a watcher", () => {
        it("watches for at most one second (guards against hosts that detect late that their watcher lost the store)", () => {
            expect(watcherStore.watchCalls).toEqual([{ after: 10, waitMs: 1_000 }]);
        });
    });

    describe("given a watcher that receives changes", () => {
        it("gets them from the watcher without a call to the store, with their age", async () => {
            await sendChangeToWatcher(12);
            clock.advance(300);
            const outcome = await follower.watch("k/", 10, 3_000);
            expect(outcome).toEqual({ status: "changed", changes: [change(12)], revision: 12, ageMs: 300 });
            expect(store.watchCalls).toEqual([]);
        });

        it("gets a change as soon as there is one (guards against requests to upstreams that are gone)", async () => {
            const outcome = follower.watch("k/", 10, 3_000);
            await sleep(100);
            await sendChangeToWatcher(11);
            expect(await outcome).toMatchObject({ revision: 11 });
            expect(store.watchCalls).toEqual([]);
        });

        it("gets each change once and in order", async () => {
            await sendChangeToWatcher(12);
            await sendChangeToWatcher(15);
            expect(await follower.watch("k/", 10, 100)).toMatchObject({
                changes: [change(12), change(15)],
                revision: 15,
            });
            expect(await follower.watch("k/", 12, 100)).toMatchObject({ changes: [change(15)], revision: 15 });
            expect(await follower.watch("k/", 15, 50)).toMatchObject({ changes: [], revision: 15 });
        });

        it("keeps its revision when it is ahead of the watcher", async () => {
            expect(await follower.watch("k/", 14, 50)).toMatchObject({ changes: [], revision: 14 });
        });

        it("reads changes after a restore of the store from the store (guards against revisions of two histories that are compared)", async () => {
            const restored = versionInHistory(1, 9);
            await follower.watch("k/", restored, 50);
            expect(store.watchCalls).toEqual([{ after: restored, waitMs: 1 }]);
        });

        it("reads a large change from the store, and asks the watcher again afterwards", async () => {
            await sendChangeToWatcher(12, "x".repeat(40_000));
            await follower.watch("k/", 10, 3_000);
            expect(store.watchCalls).toEqual([{ after: 10, waitMs: 1 }]);
            await follower.watch("k/", 12, 50);
            expect(store.watchCalls.length).toBe(1);
        });
    });

    describe("given a watcher whose log starts at a later revision", () => {
        it("catches up from the store, and asks the watcher again (guards against a fleet in which every host watches the store after each start)", async () => {
            await follower.watch("k/", 9, 3_000);
            expect(store.watchCalls).toEqual([{ after: 9, waitMs: 1 }]);
            expect(counters.snapshot()["edge.relay.failures"] ?? 0).toBe(0);
            await follower.watch("k/", 10, 50);
            expect(store.watchCalls.length).toBe(1);
        });
    });

    describe("given a request whose target is not valid", () => {
        it.each(["//", "http://["])(
            "refuses %s and goes on (guards against one request that ends the process)",
            async target => {
                const [{ peerAddress = "" } = {}] = watchSource.kind === "askWatchers" ? watchSource.hosts : [];
                const port = Number(peerAddress.split(":")[1]);
                const text = `GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;
                expect(await sendRaw(port, text)).toContain("HTTP/1.1 400 ");
                watcherStore.nextOutcome = { status: "changed", changes: [change(11)], revision: 11 };
                await watcher.watch("k/", 10, 3_000);
                expect(await follower.watch("k/", 10, 3_000)).toMatchObject({ status: "changed" });
            },
        );
    });

    describe("given a watcher that cannot be used", () => {
        const watchThenGetStoreCalls = async () => {
            await follower.watch("k/", 10, 3_000);
            return store.watchCalls;
        };

        it("watches the store when the watcher gets no responses from it (guards against changes missed because of one disconnected host)", async () => {
            clock.advance(1_500);
            expect(await watchThenGetStoreCalls()).toEqual([{ after: 10, waitMs: 1 }]);
        });

        it("asks it again soon after its store has recovered (guards against an outage after which all hosts watch the store)", async () => {
            clock.advance(1_500);
            await watchThenGetStoreCalls();
            clock.advance(1_000);
            await watcher.watch("k/", 10, 3_000);
            await follower.watch("k/", 10, 50);
            expect(store.watchCalls.length).toBe(1);
        });

        it("asks it again soon when the watcher has just started", async () => {
            await follower.watch("other/", 10, 3_000);
            expect(store.watchCalls).toEqual([{ after: 10, waitMs: 1 }]);
            clock.advance(1_000);
            await watcher.watch("other/", 10, 3_000);
            await follower.watch("other/", 10, 50);
            expect(store.watchCalls.length).toBe(1);
        });

        it("stops waiting when the watcher loses the store in the meantime", async () => {
            const outcome = watchThenGetStoreCalls();
            await sleep(100);
            clock.advance(1_500);
            expect(await outcome).toEqual([{ after: 10, waitMs: 1 }]);
        });

        it("watches the store when the watcher is down, and asks it again after five seconds", async () => {
            server.stop();
            await watchThenGetStoreCalls();
            await watchThenGetStoreCalls();
            expect(store.watchCalls).toEqual([{ after: 10, waitMs: 1 }, { after: 10, waitMs: 1_000 }]);
            expect(counters.snapshot()["edge.relay.failures"]).toBe(1);
            clock.advance(6_000);
            await watchThenGetStoreCalls();
            expect(counters.snapshot()["edge.relay.failures"]).toBe(2);
        });

        it("watches the store when the watcher does not respond (guards against a frozen watcher)", async () => {
            const frozen = createServer(() => undefined);
            await new Promise<void>(resolve => frozen.listen(0, "127.0.0.1", resolve));
            watchSource = {
                kind: "askWatchers",
                hosts: [{ peerAddress: `127.0.0.1:${(frozen.address() as AddressInfo).port}` }],
            };
            const startedMs = performance.now();
            await follower.watch("k/", 10, 100);
            expect(performance.now() - startedMs).toBeLessThan(1_000);
            expect(store.watchCalls).toEqual([{ after: 10, waitMs: 1 }]);
            frozen.close();
            frozen.closeAllConnections();
        });
    });
});
