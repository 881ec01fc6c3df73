import { describe, expect, it } from "vitest";
import {
    computeDrawSize,
    computeSpendingLimit,
    computeTargetUnusedTokens,
    computeTransferSize,
    DemandAverage,
    type DrawInput,
    SlidingWindowMaximum,
} from "./budgetMath.js";

const draw: DrawInput = {
    demandTokensPerS: 10,
    horizonMs: 60_000,
    largestCostTokens: 50,
    standingTokens: 0,
    minimumTokens: 50,
    unusedTokens: 0,
    unallocatedTokens: 100_000,
    liveHostCount: 4,
    neededTokens: 0,
};

describe("computeDrawSize", () => {
    describe("when many tokens are unallocated", () => {
        it("covers the demand of the horizon (guards against a store write per request)", () => {
            expect(computeDrawSize(draw)).toBe(600);
            expect(computeDrawSize({ ...draw, unusedTokens: 300 })).toBe(0);
            expect(computeDrawSize({ ...draw, unusedTokens: 299 })).toBe(301);
        });
    });

    describe("when the minimum draw exceeds what the host should hold", () => {
        it("draws what the host should hold (guards against hosts without tokens of a large budget)", () => {
            const large = { ...draw, minimumTokens: 50_000, standingTokens: 20_000, unallocatedTokens: 10_000_000 };
            expect(computeDrawSize(large)).toBe(20_000);
            expect(computeDrawSize({ ...large, unusedTokens: 10_000 })).toBe(0);
            expect(computeDrawSize({ ...large, unusedTokens: 9_999 })).toBe(10_001);
        });
    });

    describe("when few tokens are unallocated", () => {
        it("draws a quarter of them for its demand (guards against one host that holds the remainder of a budget)", () => {
            expect(computeDrawSize({ ...draw, unallocatedTokens: 800 })).toBe(200);
            expect(computeDrawSize({ ...draw, unallocatedTokens: 160 })).toBe(0);
        });

        it("draws an even fraction of half of them without demand (guards against idle hosts that hold a budget)", () => {
            const idle = { ...draw, demandTokensPerS: 0, standingTokens: 500 };
            expect(computeDrawSize({ ...idle, unallocatedTokens: 800 })).toBe(100);
            expect(computeDrawSize({ ...idle, unallocatedTokens: 300 })).toBe(0);
        });

        it("draws no second fraction (guards against draws that repeat until no tokens are unallocated)", () => {
            expect(computeDrawSize({ ...draw, unusedTokens: 200, unallocatedTokens: 600 })).toBe(0);
        });

        it("draws what a waiting request needs (guards against a refusal while tokens are unallocated)", () => {
            expect(computeDrawSize({ ...draw, unallocatedTokens: 300, neededTokens: 200 })).toBe(200);
            expect(computeDrawSize({ ...draw, unallocatedTokens: 300, neededTokens: 900 })).toBe(300);
        });
    });

    describe("for grants, counted in uses", () => {
        it("holds a single use (guards against hosts without a use of a small grant)", () => {
            expect(computeTargetUnusedTokens({ ...draw, minimumTokens: 1, standingTokens: 20, unallocatedTokens: 3 }))
                .toBe(1);
        });
    });
});

describe("computeSpendingLimit", () => {
    const input = {
        usedTokens: 100,
        grantedTokens: 1_000,
        largestCostTokens: 50,
        demandTokensPerS: 10,
        horizonMs: 20_000,
        standingTokens: 30,
        neededTokens: 0,
    };

    it("adds headroom for the demand of its horizon, at most the grant (guards against limits above the share)", () => {
        expect(computeSpendingLimit(input)).toBe(300);
        expect(computeSpendingLimit({ ...input, demandTokensPerS: 1 })).toBe(200);
        expect(computeSpendingLimit({ ...input, neededTokens: 5_000 })).toBe(1_000);
    });

    it("is never negative (guards against a record that other hosts cannot parse)", () => {
        expect(computeSpendingLimit({ ...input, usedTokens: -5_000 })).toBe(0);
    });
});

describe("computeTransferSize", () => {
    it("gives the requested or the available tokens, and none below the minimum (guards against useless transfers)", () => {
        expect(computeTransferSize(100, 60, 10)).toBe(60);
        expect(computeTransferSize(100, 200, 10)).toBe(100);
        expect(computeTransferSize(100, 200, 101)).toBe(0);
    });
});

describe("DemandAverage and SlidingWindowMaximum", () => {
    it("average the recent demand and forget old demand (guards against shares held for past demand)", () => {
        const average = new DemandAverage(20_000, 0);
        for (let second = 1; second <= 100; second++) {
            average.add(50, second * 1_000);
        }
        expect(average.tokensPerS(100_000)).toBeCloseTo(50, -1);
        expect(average.tokensPerS(400_000)).toBe(0);
    });

    it("remember the largest cost for the window (guards against limits that forget long requests)", () => {
        const maximum = new SlidingWindowMaximum(100, 0);
        maximum.add(9, 10);
        maximum.add(3, 60);
        expect(maximum.maximum(70)).toBe(9);
        expect(maximum.maximum(120)).toBe(3);
        expect(maximum.maximum(300)).toBe(0);
    });
});
