import { describe, expect, it } from "vitest";
import { historyOf, isHistory, numberInHistory, versionInHistory } from "./storeHistory.js";

describe("versions in a history", () => {
    describe("given a later history", () => {
        it("are greater than all of the earlier ones (guards against an old version that is taken for a new one)", () => {
            expect(versionInHistory(2, 1)).toBeGreaterThan(versionInHistory(1, 100_000_000_000));
            expect(historyOf(versionInHistory(2, 17))).toBe(2);
            expect(numberInHistory(versionInHistory(2, 17))).toBe(17);
        });

        it("are safe integers up to the last history (guards against versions that are rounded to the same one)", () => {
            const last = versionInHistory(32_767, 1_000_000_007);
            expect(Number.isSafeInteger(last)).toBe(true);
            expect([historyOf(last), numberInHistory(last)]).toEqual([32_767, 1_000_000_007]);
            expect([32_768, -1, 0.5, Number.NaN].filter(isHistory)).toEqual([]);
        });
    });

    describe("given a store without histories", () => {
        it("are its own numbers (guards against stored versions that change with a release)", () => {
            expect(versionInHistory(0, 17)).toBe(17);
        });
    });
});
