import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import type { StatedLimit } from "../edgeTypes.js";
import { LimitTracker } from "./limitTracker.js";

const Engine = { id: "engine", startedAtMs: 1 };
const none: StatedLimit = { kind: "none" };
const rate = (requestsPerS: number): StatedLimit => ({ kind: "rate", requestsPerS });

describe("LimitTracker", () => {
    let clock: ManualClock;
    let tracker: LimitTracker;

    /** Records a response whose request was written some time ago, in milliseconds. */
    const respond = (stated: StatedLimit, writtenAgoMs = 20) =>
        tracker.recordResponse(Engine, stated, clock.monotonicMs() - writtenAgoMs);

    beforeEach(() => {
        clock = new ManualClock();
        clock.advance(1_000);
        tracker = new LimitTracker(clock);
    });

    describe("given an upstream that states a limit", () => {
        beforeEach(() => respond(rate(2.9)));

        it("follows each change (guards against a limit that is stated once and kept)", () => {
            expect(tracker.limitOf(Engine)).toBe(2.9);
            clock.advance(100);
            expect(respond(rate(2.9))).toBe(false);
            expect(respond(rate(1.5))).toBe(true);
            expect(tracker.limitOf(Engine)).toBe(1.5);
        });

        it("ends it with a response to a later request only (guards against a response from before that arrives late)", () => {
            clock.advance(100);
            expect(respond(none, 150)).toBe(false);
            expect(tracker.limitOf(Engine)).toBe(2.9);
            expect(respond(none, 50)).toBe(true);
            expect(tracker.limitOf(Engine)).toBeUndefined();
        });

        it("begins a new incarnation without it (guards against a limit that outlives its upstream)", () => {
            expect(tracker.limitOf({ ...Engine, startedAtMs: 2 })).toBeUndefined();
        });

        it("keeps it when another one cannot be read (guards against a typing error that lifts a limit)", () => {
            clock.advance(100);
            expect(respond({ kind: "unreadable", text: "-1" }, 50)).toBe(false);
            expect(tracker.limitOf(Engine)).toBe(2.9);
        });

        it("lets it lapse when nothing confirms it (guards against a limit whose end was missed)", () => {
            clock.advance(14_000);
            expect(tracker.limitOf(Engine)).toBe(2.9);
            clock.advance(2_000);
            expect(tracker.limitOf(Engine)).toBeUndefined();
        });
    });

    describe("given an upstream that takes no requests", () => {
        it("keeps a small rate (guards against a limit whose end cannot be learnt)", () => {
            respond(rate(0));
            expect(tracker.limitOf(Engine)).toBeGreaterThan(0);
            expect(tracker.limitOf(Engine)).toBeLessThan(0.5);
        });
    });

    describe("given statements that other hosts heard", () => {
        it("takes the latest one, whichever arrives last (guards against an old limit that comes back)", () => {
            const statement = (requestsPerS: number | undefined, atMs: number) =>
                tracker.record({ upstream: Engine, requestsPerS, atMs }, "host");
            expect(statement(3, 500)).toBe(true);
            expect(statement(2, 400)).toBe(false);
            expect(statement(undefined, 450)).toBe(false);
            expect(tracker.limitOf(Engine)).toBe(3);
            expect(statement(undefined, 600)).toBe(true);
            expect(statement(3, 550)).toBe(false);
            expect(tracker.limitOf(Engine)).toBeUndefined();
        });
    });
});
