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
    let registry: GivenTransferRegistry;
    let entry: BudgetEntry;
    beforeEach(() => {
        registry = new GivenTransferRegistry(100, new Counters());
        entry = createBudgetEntry();
    });

    describe("when a request is repeated", () => {
        it("finds the same result (guards against a second debit for one transfer)", () => {
            registry.debit(request, entry, 40);
            expect(registry.findGivenTokens("t1")).toBe(40);
            expect(entry.sentTokens).toBe(40);
        });
    });

    describe("when a transfer is cancelled", () => {
        it("takes the tokens back once (guards against tokens that both hosts count as theirs)", () => {
            registry.debit(request, entry, 40);
            expect(registry.cancel("t1", "g~1", true)).toBe(40);
            expect(registry.cancel("t1", "g~1", true)).toBe(0);
            expect(entry.sentTokens).toBe(0);
            expect(registry.findGivenTokens("t1")).toBe(0);
        });

        it("keeps the debit when the entry may not change any more (guards against a change after the closing record)", () => {
            registry.debit(request, entry, 40);
            expect(registry.cancel("t1", "g~1", false)).toBe(0);
            expect(entry.sentTokens).toBe(40);
        });
    });

    describe("when the cancel arrives before the request", () => {
        it("gives no tokens to the request (guards against tokens lost by a late request)", () => {
            registry.cancel("t1", "g~1", true);
            expect(registry.findGivenTokens("t1")).toBe(0);
        });
    });
});
