import { describe, expect, it } from "vitest";
import { type CostInput, costOfRequest } from "./requestCost.js";

const complete: CostInput = {
    tokens: { promptTokens: 1_000, maxOutputTokens: 400 },
    reservedTokens: 1_400,
    tokensPerEvent: 4,
    eventCount: 10,
    isComplete: true,
    isCancelled: false,
};

describe("costOfRequest", () => {
    describe("given a complete stream", () => {
        it("charges the prompt and the delivered output", () => {
            expect(costOfRequest(complete)).toBe(1_040);
        });
    });

    describe("given a request without any output", () => {
        const failed = { ...complete, eventCount: 0, isComplete: false };

        it("charges nothing (guards against failing upstreams that use up budgets)", () => {
            expect(costOfRequest(failed)).toBe(0);
            expect(costOfRequest({ ...failed, isCancelled: true })).toBe(0);
        });
    });

    describe("given a stream that broke off", () => {
        it("charges the prompt and the delivered output (guards against charging whole reservations for broken streams)", () => {
            expect(costOfRequest({ ...complete, isComplete: false })).toBe(1_040);
        });
    });

    describe("given a stream whose caller disconnected", () => {
        it("charges delivered output and output that may be in flight (guards against free streams)", () => {
            const cost = costOfRequest({ ...complete, isComplete: false, isCancelled: true });
            expect(cost).toBeGreaterThan(1_040);
            expect(cost).toBeLessThan(1_400);
        });
    });

    describe("given output that cannot be counted", () => {
        it("charges the reservation (guards against more output than was prepaid)", () => {
            expect(costOfRequest({ ...complete, eventCount: 0 })).toBe(1_400);
            expect(costOfRequest({ ...complete, tokensPerEvent: undefined })).toBe(1_400);
        });
    });
});
