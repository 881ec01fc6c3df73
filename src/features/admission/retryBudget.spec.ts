import { describe, expect, it } from "vitest";
import { RetryBudget } from "./retryBudget.js";

const settings = { retryRatio: 0.1, hedgeRatio: 0.03, probeRatio: 0.01, retryWindowMs: 10_000 };

function budgetWith(requests: number): RetryBudget {
    const budget = new RetryBudget(settings);
    for (let index = 0; index < requests; index++) {
        budget.countRequest(0);
    }
    return budget;
}

function take(budget: RetryBudget, kind: "retries" | "hedges", nowMs: number): number {
    let taken = 0;
    while (taken < 1_000 && budget[kind].take(budget.requests(nowMs), nowMs)) {
        taken++;
    }
    return taken;
}

describe("RetryBudget", () => {
    it("allows shares of the recent requests (guards against retries that multiply an overload)", () => {
        const budget = budgetWith(1_000);
        expect([take(budget, "retries", 0), take(budget, "hedges", 0)]).toEqual([100, 30]);
    });

    it("forgets after the window (guards against a budget that is spent for ever)", () => {
        const budget = budgetWith(1_000);
        take(budget, "retries", 0);
        expect(take(budget, "retries", 9_000)).toBe(0);
        expect(take(budget, "retries", 11_000)).toBe(10);
    });

    it("allows a few on a quiet host (guards against failures that a single retry would hide)", () => {
        expect(take(budgetWith(1), "retries", 0)).toBe(10);
    });
});
