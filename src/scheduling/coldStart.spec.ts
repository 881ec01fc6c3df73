import { beforeEach, describe, expect, it } from "vitest";
import { ColdStarts, MaxColdMs } from "./coldStart.js";

const Engine = { id: "engine", startedAtMs: 10 };
const RatePerS = 11;

describe("ColdStarts", () => {
    let starts: ColdStarts;
    const limitAt = (nowMs: number, upstream = Engine) => starts.limitOf(upstream, RatePerS, nowMs);

    beforeEach(() => {
        starts = new ColdStarts();
    });

    describe("given a cold upstream", () => {
        beforeEach(() => starts.record(Engine, 3_000, 1_000));

        it("limits it, raises the limit in two steps and ends it (guards against full load on a cold upstream)", () => {
            const limits = [1_000, 3_999, 4_000, 4_999, 5_000, 5_999, 6_000].map(nowMs => limitAt(nowMs));
            expect(limits).toEqual([11, 11, 22, 22, 44, 44, undefined]);
            expect([3_999, 4_000, 6_000].map(nowMs => starts.phaseOf("engine", nowMs))).toEqual([
                "cold",
                "warming",
                "warm",
            ]);
        });

        it("does not limit a service without a cold rate (guards against a component that is active where nobody asked for it)", () => {
            expect(starts.limitOf(Engine, undefined, 1_000)).toBeUndefined();
            expect(starts.limitOf(Engine, 0, 1_000)).toBeUndefined();
        });

        it("follows a shorter and a longer remaining time (guards against a time that is read once)", () => {
            starts.record(Engine, 0, 2_000);
            expect(limitAt(2_000)).toBe(22);
            starts.record(Engine, 5_000, 2_500);
            expect(limitAt(7_400)).toBe(11);
        });

        it("applies to requests for an earlier start, but not for a later one (guards against a crash through a host with an old list)", () => {
            expect(limitAt(1_000, { id: "engine", startedAtMs: 5 })).toBe(11);
            expect(limitAt(1_000, { id: "engine", startedAtMs: 11 })).toBeUndefined();
        });

        it("ignores what concerns an earlier start (guards against messages that arrive late)", () => {
            starts.record({ id: "engine", startedAtMs: 5 }, 0, 2_000);
            expect(limitAt(2_000)).toBe(11);
        });

        it("forgets it once it is warm (guards against growth)", () => {
            starts.forgetWarm(5_999);
            expect(starts.isEmpty).toBe(false);
            starts.forgetWarm(6_000);
            expect(starts.isEmpty).toBe(true);
        });

        it("limits it again when it becomes cold again (guards against a cold period only after the start)", () => {
            starts.forgetWarm(10_000);
            starts.record(Engine, 2_000, 10_000);
            expect(limitAt(11_999)).toBe(11);
        });
    });

    describe("given an upstream that was never cold", () => {
        it("does not warm it up (guards against limits on upstreams that state 0)", () => {
            starts.record(Engine, 0, 1_000);
            expect(limitAt(1_000)).toBeUndefined();
            expect(starts.isEmpty).toBe(true);
        });
    });

    describe("given times out of range", () => {
        it.each([[-5, undefined], [Number.NaN, undefined], [Number.POSITIVE_INFINITY, RatePerS], [1e9, RatePerS]])(
            "limits %d to its range (guards against an upstream that stays cold for ever)",
            (coldLeftMs, limitPerS) => {
                starts.record(Engine, coldLeftMs, 0);
                expect(limitAt(MaxColdMs - 1)).toBe(limitPerS);
                expect(limitAt(MaxColdMs + 2_000)).toBeUndefined();
            },
        );
    });
});
