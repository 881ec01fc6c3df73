import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../base/clock.js";
import { CallerMemory, type MemoryHolder } from "./callerMemory.js";

const MaxBytes = 1_000_000;

describe("CallerMemory", () => {
    let clock: ManualClock;
    let memory: CallerMemory;
    let evicted: string[];

    /** Opens a holder that has delivered what it holds. */
    function openBody(name: string, bytes: number): MemoryHolder {
        const holder = memory.open(() => evicted.push(name));
        expect(memory.tryTake(holder, bytes)).toBe(true);
        memory.recordProgress(holder);
        return holder;
    }

    beforeEach(() => {
        clock = new ManualClock();
        memory = new CallerMemory(MaxBytes, clock);
        evicted = [];
    });

    describe("given room", () => {
        it("evicts nothing (guards against requests refused without need)", () => {
            openBody("large", MaxBytes);
            clock.advance(60_000);
            expect(evicted).toEqual([]);
            expect(memory.availableBytes).toBe(0);
        });
    });

    describe("when full of large unfinished bodies", () => {
        beforeEach(() => {
            for (let index = 0; index < 10; index++) {
                openBody(`large-${index}`, MaxBytes / 10);
            }
        });

        it("evicts one of them for a small body (guards against ordinary callers refused because of others)", () => {
            openBody("small", 500);
            expect(evicted).toHaveLength(1);
            expect(memory.heldBytes).toBe(MaxBytes * 0.9 + 500);
        });

        it("refuses another body like them (guards against uploads that evict each other and never complete)", () => {
            const holder = memory.open();
            expect(memory.tryTake(holder, MaxBytes / 10)).toBe(false);
            expect(memory.canTake(MaxBytes / 10)).toBe(false);
            expect(evicted).toEqual([]);
        });

        it("evicts one that has stalled for a new large one (guards against memory held by callers that have gone silent)", () => {
            clock.advance(600);
            expect(memory.canTake(MaxBytes / 10)).toBe(true);
            openBody("new", MaxBytes / 10);
            expect(evicted).toHaveLength(1);
        });

        it("does not evict one whose body is complete (guards against a second run of a request)", () => {
            const full = new CallerMemory(1_000, clock);
            const complete = full.open(() => evicted.push("complete"));
            full.tryTake(complete, 1_000);
            full.protect(complete);
            clock.advance(10_000);
            expect(full.tryTake(full.open(), 10)).toBe(false);
            expect(evicted).toEqual([]);
        });
    });

    describe("given bodies of one size", () => {
        it("evicts the one that delivered slowest (guards against slow senders that outlast ordinary ones)", () => {
            const slow = openBody("slow", 100_000);
            clock.advance(5_000);
            memory.recordProgress(slow);
            openBody("quick", 100_000);
            memory.protect(openBody("complete", 800_000));
            openBody("new", 50_000);
            expect(evicted).toEqual(["slow"]);
        });
    });

    describe("given bodies without an announced length", () => {
        it("evicts one for a body whose length is known (guards against ordinary bodies refused beside unfinished ones)", () => {
            for (let index = 0; index < 10; index++) {
                const unknown = memory.open(() => evicted.push(`unknown-${index}`), MaxBytes);
                memory.tryTake(unknown, MaxBytes / 10);
            }
            const known = memory.open(undefined, MaxBytes / 5);
            expect(memory.canTake(MaxBytes / 5)).toBe(true);
            expect(memory.tryTake(known, MaxBytes / 5)).toBe(true);
            expect(evicted).toHaveLength(2);
            const next = memory.open(undefined, MaxBytes);
            expect(memory.tryTake(next, MaxBytes / 10)).toBe(false);
        });
    });

    describe("when more is needed than can be freed", () => {
        it("evicts nothing (guards against evictions that help nobody)", () => {
            const complete = openBody("complete", 900_000);
            memory.protect(complete);
            openBody("stalled", 100_000);
            clock.advance(20_000);
            expect(memory.tryTake(memory.open(), 200_000)).toBe(false);
            expect(evicted).toEqual([]);
        });
    });

    describe("under pressure", () => {
        it("evicts holders without progress (guards against connections that stay open unread)", () => {
            openBody("stalled", 500_000);
            const active = openBody("active", 300_000);
            clock.advance(4_000);
            memory.recordProgress(active);
            memory.evictStalled(3_000);
            expect(evicted).toEqual(["stalled"]);
        });

        it("evicts them after a longer time at any load (guards against bodies that never end)", () => {
            openBody("stalled", 1_000);
            clock.advance(20_000);
            openBody("later", 1_000);
            memory.evictStalled(3_000, 20_000);
            expect(evicted).toEqual(["stalled"]);
        });

        it("leaves them otherwise (guards against slow callers closed without need)", () => {
            openBody("stalled", 500_000);
            clock.advance(60_000);
            memory.evictStalled(3_000);
            expect(evicted).toEqual([]);
        });
    });

    describe("after a holder was closed or evicted", () => {
        it("gives its bytes back once (guards against an account that drifts)", () => {
            const holder = openBody("body", 400_000);
            memory.release(holder, 100_000);
            expect(memory.heldBytes).toBe(300_000);
            memory.close(holder);
            memory.close(holder);
            memory.release(holder, 100_000);
            memory.take(holder, 5);
            expect(memory.tryTake(holder, 5)).toBe(false);
            expect([memory.heldBytes, holder.heldBytes, holder.isClosed]).toEqual([0, 0, true]);
        });
    });
});
