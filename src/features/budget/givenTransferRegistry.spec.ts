import { beforeEach, describe, expect, it } from "vitest";
import { Counters } from "../../base/counters.js";
import { type BudgetEntry, createBudgetEntry } from "./budgetBoard.js";
import { GivenTransferRegistry } from "./givenTransferRegistry.js";

const request = {
    transferId: "t1",
    budget: "b",
    receiver: "r~1",
    giver: "g~1",
    wantedTokens: 40,
    minimumTokens: 1,
};

describe("GivenTransferRegistry", () => {
    let giver: GivenTransferRegistry;
    let entry: BudgetEntry;
    beforeEach(() => {
        giver = new GivenTransferRegistry(100, new Counters());
        entry = createBudgetEntry();
    });

    describe("when a request is repeated", () => {
        it("has the same answer for it (guards against a second debit for one transfer)", () => {
            giver.debit(request, entry, 40);
            expect(giver.findGivenTokens("t1")).toBe(40);
            expect(entry.sentTokens).toBe(40);
        });
    });

    describe("when a transfer is cancelled", () => {
        it("takes it back once (guards against tokens that both sides have)", () => {
            giver.debit(request, entry, 40);
            expect(giver.cancel("t1", "g~1", true)).toBe(40);
            expect(giver.cancel("t1", "g~1", true)).toBe(0);
            expect(entry.sentTokens).toBe(0);
            expect(giver.findGivenTokens("t1")).toBe(0);
        });

        it("keeps the debit when the incarnation is accounted for (guards against a change after the closing record)", () => {
            giver.debit(request, entry, 40);
            expect(giver.cancel("t1", "g~1", false)).toBe(0);
            expect(entry.sentTokens).toBe(40);
        });
    });

    describe("when the cancel arrives before the request", () => {
        it("gives nothing to the request (guards against tokens lost by a late request)", () => {
            giver.cancel("t1", "g~1", true);
            expect(giver.findGivenTokens("t1")).toBe(0);
        });
    });
});
