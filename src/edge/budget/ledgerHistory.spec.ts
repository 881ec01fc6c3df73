import { beforeEach, describe, expect, it } from "vitest";
import type { Ledger, LedgerHost } from "./ledger.js";
import { LedgerHistory } from "./ledgerHistory.js";

const share = {
    grantedTokens: 1_000,
    limitTokens: 500,
    releaseTokensPerS: 100,
    burstTokens: 0,
    settledTokens: 400,
    demandTokensPerS: 80,
};

/** @returns A ledger with one other host, which has last written in a history. */
function ledgerOf(history: number | undefined, closedTokens = 0): Ledger {
    const host: LedgerHost = {
        incarnation: "b-1",
        sequence: 1,
        writtenAtMs: 0,
        writtenSteadyMs: 0,
        peerAddress: "10.0.0.1:1",
        ...history === undefined ? {} : { history },
    };
    return { hosts: { b: host }, teams: { t: { closedTokens, atRiskTokens: 0, shares: { b: share } } } };
}

describe("LedgerHistory", () => {
    let history: LedgerHistory;

    beforeEach(() => {
        history = new LedgerHistory(undefined);
        history.observe(1, 0);
    });

    const canGrant = (ledger: Ledger, nowMs: number) => history.canGrant(ledger, "a", nowMs);

    describe("given no restore", () => {
        it("grants at once, also beside hosts that write no history (guards against an upgrade that stops grants)", () => {
            expect(canGrant(ledgerOf(1), 0)).toBe(true);
            expect(canGrant(ledgerOf(undefined), 0)).toBe(true);
        });
    });

    describe("given a restore", () => {
        beforeEach(() => {
            history.recordClosedTokens(ledgerOf(1, 700));
            expect(history.observe(2, 1_000)).toBe(true);
        });

        it("grants after the hosts have stated their shares, and not at once (guards against tokens that are granted twice)", () => {
            expect(canGrant(ledgerOf(2), 2_000)).toBe(false);
            expect(canGrant(ledgerOf(2), 4_100)).toBe(true);
            expect(canGrant(ledgerOf(1), 4_100)).toBe(false);
            expect(canGrant(ledgerOf(undefined), 4_100)).toBe(false);
        });

        it("counts a host that stays silent with what it may hold (guards against a team that waits for a lost host)", () => {
            expect(canGrant(ledgerOf(1), 4_100)).toBe(false);
            expect(canGrant(ledgerOf(1), 35_000)).toBe(true);
            const ledger = ledgerOf(1);
            const counted = history.withUnstatedShares(ledger, ledger.teams["t"]!, "a");
            expect(counted.shares["b"]!.grantedTokens).toBe(1_000 + 20 * 100);
        });

        it("counts what closed incarnations had spent before (guards against spending that the copy lacks)", () => {
            const restored = history.restoreClosedTokens(ledgerOf(2, 300), "a", 3_500);
            expect(restored.teams["t"]).toMatchObject({ closedTokens: 300, atRiskTokens: 400 });
            expect(history.isClosedTokensDue(restored, "a", 3_500)).toBe(false);
        });
    });

    describe("given a process that starts after a restore", () => {
        it("grants nothing beside shares of the copy (guards against processes that did not see the restore)", () => {
            const later = new LedgerHistory(undefined);
            later.observe(2, 0);
            expect(later.canGrant(ledgerOf(1), "a", 10_000)).toBe(false);
            expect(later.canGrant(ledgerOf(2), "a", 10_000)).toBe(true);
        });
    });
});
