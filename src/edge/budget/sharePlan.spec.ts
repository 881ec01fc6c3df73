import { describe, expect, it } from "vitest";
import type { TeamLedger } from "./ledger.js";
import { planGrant, type SharePlanInput } from "./sharePlan.js";

const share = (grantedTokens: number, settledTokens: number, demandTokensPerS: number) => (
    { grantedTokens, limitTokens: 0, releaseTokensPerS: 0, burstTokens: 0, settledTokens, demandTokensPerS }
);

function input(others: TeamLedger, own: Partial<SharePlanInput>): SharePlanInput {
    const ledger = {
        ...others,
        shares: { ...others.shares, a: share(own.grantedTokens ?? 0, own.usedTokens ?? 0, 0) },
    };
    return {
        ledger,
        hostId: "a",
        prepaidTokens: 1_000_000,
        homeHostIds: ["a", "b"],
        grantedTokens: 0,
        usedTokens: 0,
        neededTokens: 0,
        demandTokensPerS: 0,
        canGrow: true,
        ...own,
    };
}

describe("planGrant", () => {
    describe("given a new budget", () => {
        it("takes an equal share and leaves some tokens unallocated", () => {
            const granted = planGrant(input({ closedTokens: 0, atRiskTokens: 0, shares: {} }, {}));
            expect(granted).toBeGreaterThan(400_000);
            expect(granted).toBeLessThan(500_000);
        });
    });

    describe("given a team whose callers reach one host only", () => {
        const team = { closedTokens: 0, atRiskTokens: 0, shares: { b: share(400_000, 0, 0) } };

        it("draws more than an equal share there (guards against tokens that idle hosts hold while the store is unreachable)", () => {
            const granted = planGrant(
                input(team, { grantedTokens: 400_000, demandTokensPerS: 30_000 }),
            );
            expect(granted).toBe(600_000);
        });

        it("returns what an idle host does not need", () => {
            const busy = { closedTokens: 0, atRiskTokens: 0, shares: { b: share(500_000, 100_000, 30_000) } };
            const granted = planGrant(input(busy, { grantedTokens: 400_000 }));
            expect(granted).toBeLessThan(100_000);
        });
    });

    describe("given a host that is no longer a home of the team", () => {
        it("returns all unused tokens (guards against tokens that few requests can use)", () => {
            const team = { closedTokens: 0, atRiskTokens: 0, shares: { b: share(400_000, 0, 5_000) } };
            const granted = planGrant(
                input(team, {
                    homeHostIds: ["b", "c"],
                    grantedTokens: 400_000,
                    usedTokens: 7_000,
                    demandTokensPerS: 5_000,
                }),
            );
            expect(granted).toBe(7_000);
        });
    });

    describe("given a request that waits", () => {
        it("draws the tokens that it needs from unallocated ones (guards against a refusal while there are enough)", () => {
            const team = { closedTokens: 990_000, atRiskTokens: 0, shares: {} };
            expect(planGrant(input(team, { neededTokens: 9_000 }))).toBe(9_000);
        });

        it("never draws more than is unallocated (guards against spending beyond the prepaid amount)", () => {
            const team = { closedTokens: 995_000, atRiskTokens: 1_000, shares: {} };
            expect(planGrant(input(team, { neededTokens: 9_000 }))).toBe(4_000);
        });
    });

    describe("given a prepaid amount that was lowered below what hosts hold", () => {
        it("draws nothing and returns no more than its unused tokens", () => {
            const team = { closedTokens: 0, atRiskTokens: 0, shares: { b: share(900_000, 900_000, 0) } };
            const granted = planGrant(
                input(team, { prepaidTokens: 500_000, grantedTokens: 80_000, usedTokens: 10_000 }),
            );
            expect(granted).toBeGreaterThanOrEqual(10_000);
            expect(granted).toBeLessThanOrEqual(80_000);
        });
    });
});
