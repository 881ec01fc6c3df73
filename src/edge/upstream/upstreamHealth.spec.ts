import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Upstream } from "./upstream.js";
import type { DispatchOutcome } from "./upstreamHealth.js";

const SilentAfterMs = 300;

describe("UpstreamHealth", () => {
    let clock: ManualClock;
    let upstream: Upstream;

    beforeEach(() => {
        clock = new ManualClock();
        upstream = new Upstream({
            id: "u",
            service: "s",
            address: "10.0.0.1:80",
            zone: "a",
            slots: 8,
            isLeaving: false,
            startedAtMs: 0,
        }, clock);
    });

    const isAvoided = () => upstream.health.isAvoided(clock.monotonicMs());

    /** Starts requests, advances the clock and ends them with the same outcome. */
    const endAfter = (durationMs: number, outcome: DispatchOutcome, count = 1) => {
        const dispatches = Array.from({ length: count }, () => upstream.beginDispatch(0, SilentAfterMs));
        clock.advance(durationMs);
        for (const dispatch of dispatches) {
            upstream.endDispatch(dispatch, outcome);
        }
    };

    describe("given an upstream that was silent", () => {
        it("is avoided for a quarter of a second, and longer after each further silence (guards against requests to a dark upstream)", () => {
            endAfter(400, "silent");
            clock.advance(240);
            expect(isAvoided()).toBe(true);
            clock.advance(20);
            expect(isAvoided()).toBe(false);
            endAfter(400, "silent");
            clock.advance(490);
            expect(isAvoided()).toBe(true);
        });

        it("counts one silence of several requests once (guards against a pause that is treated as many failures)", () => {
            endAfter(400, "silent", 8);
            clock.advance(260);
            expect(isAvoided()).toBe(false);
            expect(upstream.health.failureRatio(clock.monotonicMs())).toBe(0);
        });

        it("is used again once bytes arrive (guards against an upstream that goes on and stays unused)", () => {
            const open = upstream.beginDispatch(0, SilentAfterMs);
            endAfter(400, "silent");
            endAfter(400, "silent");
            expect(isAvoided()).toBe(true);
            upstream.recordResponseBytes(open);
            expect(isAvoided()).toBe(false);
            clock.advance(1_000);
            endAfter(400, "silent");
            clock.advance(260);
            expect(isAvoided()).toBe(false);
        });

        it("is not avoided when other requests get bytes (guards against judging an upstream by one slow request)", () => {
            const open = upstream.beginDispatch(0, SilentAfterMs);
            const silent = upstream.beginDispatch(0, SilentAfterMs);
            clock.advance(400);
            upstream.recordResponseBytes(open);
            clock.advance(10);
            upstream.endDispatch(silent, "silent");
            expect(isAvoided()).toBe(false);
        });
    });

    describe("given an upstream to which no connection opens", () => {
        it("stays avoided when bytes arrive on open connections (guards against new requests that cannot be sent)", () => {
            const open = upstream.beginDispatch(0, SilentAfterMs);
            endAfter(10, "unreachable");
            upstream.recordResponseBytes(open);
            expect(isAvoided()).toBe(true);
        });
    });
});
