import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../base/clock.js";
import { CircuitBreakerStore } from "../platform/circuitBreakerStore.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type StoredObject,
    type WatchOutcome,
    type WriteOutcome,
} from "../platform/platformStore.js";
import { StoreFeed } from "./storeFeed.js";

const object = (revision: number): StoredObject => ({ key: "k/a", version: revision, revision, value: revision });

class ScriptedStore extends PlatformStore {
    readonly watchRevisions: number[] = [];
    listCount = 0;
    listOutcome: ListOutcome = { status: "listed", objects: [object(5)], more: false, revision: 7 };
    watchOutcomes: WatchOutcome[] = [];

    override list(): Promise<ListOutcome> {
        this.listCount++;
        return Promise.resolve(this.listOutcome);
    }

    override watch(_prefix: string, afterRevision: number): Promise<WatchOutcome> {
        this.watchRevisions.push(afterRevision);
        const outcome = this.watchOutcomes.shift();
        return outcome === undefined ? new Promise(() => undefined) : Promise.resolve(outcome);
    }

    override get(): Promise<ReadOutcome> {
        return Promise.resolve({ status: "absent" });
    }

    override put(): Promise<WriteOutcome> {
        return Promise.resolve({ status: "refused", reason: "busy" });
    }

    override delete(): Promise<WriteOutcome> {
        return Promise.resolve({ status: "refused", reason: "busy" });
    }
}

describe("StoreFeed", () => {
    let store: ScriptedStore;
    let events: unknown[];
    let feed: StoreFeed;

    beforeEach(() => {
        vi.useFakeTimers();
        store = new ScriptedStore();
        events = [];
        feed = new StoreFeed(store, "k/", new ManualClock(), {
            onSnapshot: objects => events.push(["snapshot", ...objects.map(({ value }) => value)]),
            onChanges: changes => events.push(["changes", ...changes.map(change => change.object?.value)]),
        });
    });

    afterEach(() => {
        feed.stop();
        vi.useRealTimers();
    });

    describe("given changes", () => {
        it("watches from the listing's revision (guards against changes that are missed in between)", async () => {
            store.watchOutcomes = [{ status: "changed", changes: [{ key: "k/a", object: object(8) }], revision: 9 }];
            feed.start();
            await vi.advanceTimersByTimeAsync(200);
            expect(store.watchRevisions).toEqual([7, 9]);
            expect(events).toEqual([["snapshot", 5], ["changes", 8]]);
        });
    });

    describe("given a listener of confirmations", () => {
        it("tells it the revision after the changes, also without a change (guards against a revision that runs ahead)", async () => {
            store.watchOutcomes = [
                { status: "changed", changes: [{ key: "k/a", object: object(8) }], revision: 9 },
                { status: "unavailable", reason: "down" },
                { status: "changed", changes: [], revision: 12, ageMs: 300 },
            ];
            feed = new StoreFeed(store, "k/", new ManualClock(), {
                onSnapshot: () => events.push("snapshot"),
                onChanges: () => events.push("changes"),
                onConfirmed: (revision, ageMs) => events.push([revision, ageMs]),
            });
            feed.start();
            await vi.advanceTimersByTimeAsync(1_000);
            expect(events).toEqual(["snapshot", [7, 0], "changes", [9, 0], [12, 300]]);
        });
    });

    describe("given a revision whose history the store has discarded", () => {
        it("lists again (guards against an upstream that was removed in the gap)", async () => {
            store.watchOutcomes = [{ status: "tooOld", revision: 20 }];
            feed.start();
            await vi.advanceTimersByTimeAsync(200);
            expect(store.listCount).toBe(2);
            expect(events).toEqual([["snapshot", 5], ["snapshot", 5]]);
        });
    });

    describe("given a failed call", () => {
        it("continues from its last revision without listing (guards against listings in outages, which are charged for)", async () => {
            store.watchOutcomes = [
                { status: "unavailable", reason: "down" },
                { status: "changed", changes: [], revision: 12 },
            ];
            feed.start();
            await vi.advanceTimersByTimeAsync(100);
            expect(feed.isConnected).toBe(false);
            await vi.advanceTimersByTimeAsync(1_000);
            expect(feed.isConnected).toBe(true);
            expect(store.watchRevisions).toEqual([7, 7, 12]);
            expect(store.listCount).toBe(1);
        });
    });

    describe("given a first listing that fails", () => {
        it("reports nothing and retries", async () => {
            const listed = store.listOutcome;
            store.listOutcome = { status: "unavailable", reason: "down" };
            feed.start();
            await vi.advanceTimersByTimeAsync(100);
            expect(events).toEqual([]);
            store.listOutcome = listed;
            await vi.advanceTimersByTimeAsync(1_000);
            expect(events).toEqual([["snapshot", 5]]);
        });
    });
});

describe("CircuitBreakerStore", () => {
    describe("given an unreachable store", () => {
        it("probes it with one call at a time (guards against charges for calls of every writer in an outage)", async () => {
            const store = new ScriptedStore();
            const clock = new ManualClock();
            const circuitBreaker = new CircuitBreakerStore(store, clock);
            store.listOutcome = { status: "unavailable", reason: "down" };
            for (let call = 0; call < 2; call++) {
                await circuitBreaker.list("k/", "", 1);
            }
            clock.advance(1_000);
            for (let call = 0; call < 10; call++) {
                await circuitBreaker.list("k/", "", 1);
            }
            expect(store.listCount).toBe(3);
        });

        it("lists although other calls use up the probes (guards against a host that never gets a configuration)", async () => {
            const store = new ScriptedStore();
            const clock = new ManualClock();
            const circuitBreaker = new CircuitBreakerStore(store, clock);
            for (let call = 0; call < 30; call++) {
                await circuitBreaker.put("k/a", 1, 0);
                await circuitBreaker.put("k/a", 1, 0);
                clock.advance(500);
                await circuitBreaker.put("k/a", 1, 0);
                expect((await circuitBreaker.list("k/", "", 1)).status).toBe("listed");
            }
        });

        it("probes it at the interval that is set", async () => {
            const store = new ScriptedStore();
            const clock = new ManualClock();
            const circuitBreaker = new CircuitBreakerStore(store, clock);
            circuitBreaker.probeIntervalMs = 1_500;
            store.listOutcome = { status: "unavailable", reason: "down" };
            for (let call = 0; call < 32; call++) {
                await circuitBreaker.list("k/", "", 1);
                clock.advance(100);
            }
            expect(store.listCount).toBe(2 + 2);
        });

        it("passes calls on as soon as one succeeds", async () => {
            const store = new ScriptedStore();
            const clock = new ManualClock();
            const circuitBreaker = new CircuitBreakerStore(store, clock);
            await circuitBreaker.put("k/a", 1, 0);
            await circuitBreaker.put("k/a", 1, 0);
            clock.advance(1_000);
            expect((await circuitBreaker.list("k/", "", 1)).status).toBe("listed");
            expect((await circuitBreaker.get("k/a")).status).toBe("absent");
        });
    });
});
