import { beforeEach, describe, expect, it } from "vitest";
import { budgetObject, chargedUnspentTokens, checkFinalState, checkInvariants, storedBillLines } from "./oracle.js";
import { TestFleet } from "./testFleet.js";

/** A request that uses its whole reservation. */
function plan(costTokens: number, durationMs = 10) {
    return { budget: "b0", costTokens, usedTokens: costTokens, durationMs };
}

function sumOfBills(fleet: TestFleet): number {
    return storedBillLines(fleet).reduce((sum, line) => sum + line.tokens, 0);
}

describe("reservations, shares and bills", () => {
    let fleet: TestFleet;
    beforeEach(() => {
        fleet = new TestFleet({ seed: 1, hostCount: 3, budgets: { b0: 3_000 }, homesOnly: false });
        fleet.scheduler.advance(1_500);
    });

    describe("when a host has just started", () => {
        it("holds a share and a limit before any request (guards against a first request that waits for the store)", () => {
            const { journal, budget } = fleet.processOf("h0")!.board;
            expect(journal.established).toBe(true);
            expect(journal.limits.get("b0")).toBeGreaterThan(0);
            expect(budget.entries.get("b0")!.grantedTokens).toBeGreaterThanOrEqual(journal.limits.get("b0")!);
        });
    });

    describe("when a request ends", () => {
        it("bills it once and charges it to the budget (guards against lost and doubled bills)", () => {
            const request = fleet.gateway.start(fleet.processOf("h0")!, plan(90));
            fleet.healAndWait(5_000);
            expect(request).toMatchObject({ state: "ended", executions: 1 });
            expect(storedBillLines(fleet)).toMatchObject([{
                requestId: request.requestId,
                tokens: 90,
                outcome: "complete",
            }]);
            checkFinalState(fleet);
        });
    });

    describe("when the usage reported exceeds the reservation", () => {
        it("bills the reservation (guards against spending beyond the declared limit)", () => {
            const request = fleet.gateway.start(fleet.processOf("h0")!, { ...plan(50), usedTokens: 80 });
            fleet.healAndWait(5_000);
            expect(storedBillLines(fleet)).toMatchObject([{ requestId: request.requestId, tokens: 50 }]);
        });
    });

    describe("when one host needs more tokens than are unallocated", () => {
        it("gets idle tokens from its peers (guards against refusals while others hold unused shares)", () => {
            const requests = Array.from({ length: 10 }, () => fleet.gateway.start(fleet.processOf("h1")!, plan(290)));
            fleet.scheduler.advance(3_000);
            checkInvariants(fleet);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(10);
        });
    });

    describe("when the budget is spent", () => {
        it("refuses at once and gives no retry time (guards against callers that wait and retry for nothing)", () => {
            fleet.gateway.start(fleet.processOf("h0")!, plan(3_000));
            fleet.scheduler.advance(3_000);
            const request = fleet.gateway.start(fleet.processOf("h0")!, plan(10));
            fleet.scheduler.advance(600);
            expect(request).toMatchObject({ state: "refused", refusedCode: "BudgetExhausted", executions: 0 });
        });
    });

    describe("when the store is down", () => {
        it("continues within the limits that all hosts declared (guards against an outage that stops all work)", () => {
            fleet.store.faults.outage = true;
            const requests = Array.from({ length: 9 }, () => fleet.gateway.start(fleet.processOf("h0")!, plan(50)));
            fleet.scheduler.advance(2_000);
            const declaredTokens = fleet.processes.reduce((sum, { board }) => sum + board.journal.limits.get("b0")!, 0);
            expect(declaredTokens).toBe(300);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(declaredTokens / 50);
            fleet.healAndWait();
            checkFinalState(fleet);
        });
    });

    describe("when a host dies after it spent tokens of peers that its record does not show", () => {
        it("keeps these tokens charged to the hosts that sent them (guards against spending that nobody is charged for)", () => {
            const host = fleet.processOf("h0")!;
            fleet.store.disconnectedHosts.add("h0");
            const requests = Array.from({ length: 5 }, () => fleet.gateway.start(host, plan(50)));
            fleet.scheduler.advance(2_000);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(5);
            const { hostKey } = host.board.journal;
            const receivedTokens = host.board.budget.entries.get("b0")!.receivedTokens;
            fleet.kill("h0");
            fleet.healAndWait(20_000);
            const unbilledTokens = 250 - sumOfBills(fleet);
            const atRiskTokens = budgetObject(fleet, "b0").atRiskTokens[hostKey]!;
            expect(unbilledTokens).toBeGreaterThan(atRiskTokens);
            expect(unbilledTokens).toBeLessThanOrEqual(atRiskTokens + receivedTokens);
            const givenTokens = fleet.processes.filter(({ isAlive }) => isAlive).reduce((sum, { board }) => {
                const { sentTokens, receivedTokens: received } = board.budget.entries.get("b0")!;
                return sum + sentTokens - received;
            }, 0);
            expect(givenTokens).toBe(receivedTokens);
            checkFinalState(fleet);
        });
    });

    describe("when a host dies with a request in flight", () => {
        it("charges its limit as at risk and frees the remainder (guards against overspend and against lost shares)", () => {
            const request = fleet.gateway.start(fleet.processOf("h0")!, plan(90, 60_000));
            fleet.scheduler.advance(100);
            const hostKey = fleet.processOf("h0")!.board.journal.hostKey;
            fleet.kill("h0");
            fleet.healAndWait(20_000);
            const object = budgetObject(fleet, "b0");
            expect(object.shares[hostKey]).toBeUndefined();
            expect(object.atRiskTokens[hostKey]).toBeGreaterThanOrEqual(90);
            expect(request.settled).toBe(false);
        });
    });

    describe("when a host is paused for longer than the suspicion time", () => {
        it("settles late under its old incarnation (guards against a bill that is lost with the seal)", () => {
            const process = fleet.processOf("h0")!;
            const request = fleet.gateway.start(process, plan(90, 500));
            fleet.scheduler.advance(100);
            const oldKey = process.board.journal.hostKey;
            process.pause(10_000);
            fleet.healAndWait(40_000);
            expect(process.board.journal.hostKey).not.toBe(oldKey);
            expect(storedBillLines(fleet)).toMatchObject([{ requestId: request.requestId, tokens: 90 }]);
            expect(budgetObject(fleet, "b0").atRiskTokens).toEqual({});
            expect(chargedUnspentTokens(fleet, "b0")).toBe(0);
            checkFinalState(fleet);
        });
    });

    describe("when reads are stale while a sealed host settles late", () => {
        it("still replaces its at-risk tokens (guards against a fold that a stale read ends)", () => {
            const process = fleet.processOf("h0")!;
            fleet.gateway.start(process, plan(90, 500));
            fleet.scheduler.advance(100);
            fleet.store.faults.staleReadRatio = 0.9;
            process.pause(10_000);
            fleet.scheduler.advance(20_000);
            expect(process.board.journal.sealedCount).toBe(1);
            fleet.healAndWait();
            expect(budgetObject(fleet, "b0").atRiskTokens).toEqual({});
            expect(chargedUnspentTokens(fleet, "b0")).toBe(0);
        });
    });

    describe("when a host shuts down", () => {
        it("returns its share and leaves nothing at risk (guards against tokens that a rolling restart uses up)", () => {
            fleet.gateway.start(fleet.processOf("h0")!, plan(90, 500));
            fleet.scheduler.advance(100);
            const hostKey = fleet.processOf("h0")!.board.journal.hostKey;
            fleet.shutdown("h0");
            fleet.scheduler.advance(4_000);
            expect(fleet.processOf("h0")).toBeUndefined();
            const object = budgetObject(fleet, "b0");
            expect(object.shares[hostKey]).toBeUndefined();
            expect(object).toMatchObject({ closedTokens: 90, atRiskTokens: {} });
        });
    });
});
