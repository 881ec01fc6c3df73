import { describe, expect, it } from "vitest";
import { type BudgetObject, unallocatedTokens } from "../budget/budgetTypes.js";
import { foldShareByExactConsumption, foldShareByRecord } from "./foldShare.js";

const object: BudgetObject = {
    paidTokens: 1_000,
    closedTokens: 100,
    atRiskTokens: {},
    shares: { "a~1": { grantedTokens: 300, sequence: 2 }, "b~1": { grantedTokens: 200, sequence: 1 } },
    topUps: [],
};
const entry = { limitTokens: 250, settledTokens: 120, sentTokens: 50, receivedTokens: 20 };

describe("folding the share of an ended incarnation", () => {
    describe("when its record is sealed", () => {
        it("closes the consumed tokens and keeps the remainder of the limit at risk (guards against overspend)", () => {
            const folded = foldShareByRecord(object, "a~1", entry, true)!;
            expect(folded).toMatchObject({ closedTokens: 250, atRiskTokens: { "a~1": 100 } });
            expect(unallocatedTokens(folded)).toBe(unallocatedTokens(object) + 50);
        });

        it("is done once (guards against a second fold that releases tokens)", () => {
            const folded = foldShareByRecord(object, "a~1", entry, true)!;
            expect(foldShareByRecord(folded, "a~1", entry, true)).toBeUndefined();
        });

        it("returns the share in full without an entry (guards against tokens lost with a first draw)", () => {
            const folded = foldShareByRecord(object, "a~1", undefined, true)!;
            expect(folded).toMatchObject({ closedTokens: 100, atRiskTokens: {} });
        });
    });

    describe("when its record is closed", () => {
        it("leaves nothing at risk (guards against charging tokens for a shutdown)", () => {
            expect(foldShareByRecord(object, "a~1", entry, false)).toMatchObject({
                closedTokens: 250,
                atRiskTokens: {},
            });
        });
    });

    describe("when the exact consumption becomes known", () => {
        it("has the same result before and after the fold by the record (guards against dependence on the order)", () => {
            const before = foldShareByExactConsumption(object, "a~1", entry, 180)!;
            const after = foldShareByExactConsumption(
                foldShareByRecord(object, "a~1", entry, true)!,
                "a~1",
                entry,
                180,
            )!;
            expect(after).toEqual(before);
            expect(before).toMatchObject({ closedTokens: 280, atRiskTokens: {} });
            expect(foldShareByExactConsumption(after, "a~1", entry, 180)).toBeUndefined();
        });
    });
});
