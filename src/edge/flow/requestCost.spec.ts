import { describe, expect, it } from "vitest";
import { type CostInput, costOfRequest } from "./requestCost.js";

const complete: CostInput = {
    tokens: { promptTokens: 1_000, maxOutputTokens: 400 },
    reservedTokens: 1_400,
    tokensPerEvent: 4,
    eventCount: 10,
    hasRun: true,
    isInterrupted: false,
    isAbandoned: false,
};

describe("costOfRequest", () => {
    describe("given a complete stream", () => {
        it("charges the prompt and the delivered output", () => {
            expect(costOfRequest(complete)).toBe(1_040);
        });
    });

    describe("given a request that did not run", () => {
        it("charges nothing", () => {
            expect(costOfRequest({ ...complete, hasRun: false })).toBe(0);
        });
    });

    describe("given a stream whose caller left", () => {
        it("charges what was delivered and what may be on its way (guards against free streams)", () => {
            const cost = costOfRequest({ ...complete, isAbandoned: true });
            expect(cost).toBeGreaterThan(1_040);
            expect(cost).toBeLessThan(1_400);
        });

        it("charges the reservation when no event had arrived", () => {
            expect(costOfRequest({ ...complete, eventCount: 0, isAbandoned: true })).toBe(1_400);
        });
    });

    describe("given output that is not known", () => {
        it("charges the reservation (guards against more than the prepaid amount)", () => {
            expect(costOfRequest({ ...complete, isInterrupted: true })).toBe(1_400);
            expect(costOfRequest({ ...complete, tokensPerEvent: undefined })).toBe(1_400);
        });
    });
});
