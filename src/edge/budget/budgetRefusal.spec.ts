import { describe, expect, it } from "vitest";
import { determineRefusal, type RefusalInput, selectRefusal } from "./budgetRefusal.js";
import type { TeamLedger } from "./ledger.js";

const share = (grantedTokens: number, settledTokens: number) => ({
    grantedTokens,
    settledTokens,
    limitTokens: 0,
    releaseTokensPerS: 0,
    burstTokens: 0,
    demandTokensPerS: 0,
});

function input(ledger: Partial<TeamLedger>, more: Partial<RefusalInput> = {}): RefusalInput {
    return {
        costTokens: 1_000,
        prepaidTokens: 10_000,
        ledger: { closedTokens: 0, atRiskTokens: 0, shares: {}, ...ledger },
        hostId: "a",
        settledTokens: 0,
        isStoreUnavailable: false,
        releaseWaitMs: () => undefined,
        ...more,
    };
}

describe("determineRefusal", () => {
    describe("given a budget that runs out", () => {
        it("counts only known spending as exhausted (guards against a budget that is reported as exhausted too early)", () => {
            const shares = { a: share(5_000, 5_000), b: share(5_000, 4_500) };
            expect(determineRefusal(input({ shares }, { settledTokens: 5_000 }))).toEqual({ reason: "exhausted" });
            expect(determineRefusal(input({ shares }, { settledTokens: 4_400 })).reason).not.toBe("exhausted");
        });

        it("asks callers to wait for a top-up when killed processes may have spent the remainder", () => {
            const refusal = determineRefusal(input({ closedTokens: 5_000, atRiskTokens: 4_500 }));
            expect(refusal).toEqual({ reason: "atRisk", retryAfterMs: 5_000 });
        });
    });

    describe("in an outage of the store", () => {
        it("reports when the release covers the request (guards against callers that retry too early)", () => {
            expect(determineRefusal(input({}, { isStoreUnavailable: true, releaseWaitMs: () => 850 })))
                .toEqual({ reason: "paced", retryAfterMs: 850 });
        });

        it("reports the default time when the release does not cover the request soon", () => {
            const { reason, retryAfterMs } = determineRefusal(input({}, { isStoreUnavailable: true }));
            expect(reason).toBe("paced");
            expect(retryAfterMs).toBeGreaterThan(1_000);
        });
    });

    describe("given tokens that another host holds", () => {
        it("asks the caller to retry soon", () => {
            const refusal = determineRefusal(input({ shares: { b: share(5_000, 1_000) } }));
            expect(refusal.reason).toBe("heldElsewhere");
            expect(refusal.retryAfterMs).toBeLessThanOrEqual(100);
        });
    });

    describe("given an unknown ledger", () => {
        it("refers the request to another host", () => {
            expect(determineRefusal(input({}, { ledger: undefined })).reason).toBe("heldElsewhere");
        });
    });
});

describe("selectRefusal", () => {
    describe("given refusals of several lenders", () => {
        it("selects the reason with the highest precedence, and of equal reasons the earlier retry", () => {
            expect(selectRefusal([
                { reason: "heldElsewhere", retryAfterMs: 100 },
                { reason: "paced", retryAfterMs: 900 },
                { reason: "paced", retryAfterMs: 400 },
                { reason: "atRisk", retryAfterMs: 5_000 },
            ])).toEqual({ reason: "paced", retryAfterMs: 400 });
        });
    });

    describe("given no refusals", () => {
        it("refers the request to another host", () => {
            expect(selectRefusal([]).reason).toBe("heldElsewhere");
        });
    });
});
