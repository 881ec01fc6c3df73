import { describe, expect, it } from "vitest";
import { HeaderTimeout } from "./headerTimeout.js";

describe("HeaderTimeout", () => {
    describe("given a lower limit", () => {
        it("applies it when heads that began before it have had their time (guards against heads refused by a later limit)", () => {
            const timeout = new HeaderTimeout(3_000);
            timeout.set(1_000, 10_000);
            expect([10_000, 12_999, 13_000].map(nowMs => timeout.effectiveMs(nowMs))).toEqual([3_000, 3_000, 1_000]);
        });
    });

    describe("given a higher limit", () => {
        it("applies it at once (guards against heads refused by an earlier limit)", () => {
            const timeout = new HeaderTimeout(1_000);
            timeout.set(3_000, 10_000);
            expect(timeout.effectiveMs(10_000)).toBe(3_000);
        });
    });

    describe("given many changes in short order", () => {
        it("keeps each limit for its own heads only (guards against a limit that never falls)", () => {
            const timeout = new HeaderTimeout(3_000);
            for (let count = 0; count < 1_000; count++) {
                timeout.set(count % 2 === 0 ? 1_000 : 2_000, 10_000 + count * 10);
            }
            // The last change from 2000 to 1000 ms was at 19,980 ms, and one to 2000 ms followed.
            expect([19_990, 25_000].map(nowMs => timeout.effectiveMs(nowMs))).toEqual([2_000, 2_000]);
            timeout.set(1_000, 30_000);
            expect([31_999, 32_000].map(nowMs => timeout.effectiveMs(nowMs))).toEqual([2_000, 1_000]);
        });
    });
});
