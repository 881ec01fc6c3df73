import { describe, expect, it } from "vitest";
import { isSlotContended } from "./contention.js";
import { UrgentReserve } from "./urgentReserve.js";

describe("UrgentReserve", () => {
    describe("given demand of three ranks", () => {
        const reserve = new UrgentReserve();
        for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
            reserve.recordDemand(0, 100, nowMs);
            reserve.recordDemand(1, 300, nowMs);
            reserve.recordDemand(2, 900, nowMs);
        }

        it("keeps the demand of more urgent requests for the time asked for (guards against prompts that take the tokens of urgent ones)", () => {
            expect(reserve.tokensAbove(1, 1_500, 60_000) / 1_500).toBeCloseTo(0.95, 1);
            expect(reserve.tokensAbove(2, 1_500, 60_000) / 6_000).toBeCloseTo(0.95, 1);
        });

        it("keeps nothing for requests as urgent or less (guards against a reserve that nobody may use)", () => {
            expect(reserve.tokensAbove(0, 1_500, 60_000)).toBe(0);
        });

        it("releases what is no longer asked for (guards against refusals on account of urgent requests that do not come)", () => {
            expect(reserve.tokensAbove(2, 1_500, 180_000)).toBeLessThan(20);
        });
    });
});

describe("isSlotContended", () => {
    it("holds where a host's share of an engine is below half a slot", () => {
        expect([isSlotContended(24, 64), isSlotContended(12, 72), isSlotContended(128, 6)]).toEqual([
            true,
            true,
            false,
        ]);
        expect(isSlotContended(undefined, 64)).toBe(false);
    });
});
