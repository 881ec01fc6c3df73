import { beforeEach, describe, expect, it } from "vitest";
import { budgetObject, chargedUnspentTokens, checkFinalState, checkInvariants, storedBillLines } from "./oracle.js";
import { TestFleet } from "./testFleet.js";

/** A request that uses its whole reservation. */
function plan(costTokens: number, durationMs = 10) {
    return { budget: "b0", costTokens, usedTokens: costTokens, durationMs };
}

function sumOfBills(world: TestFleet): number {
    return storedBillLines(world).reduce((sum, line) => sum + line.tokens, 0);
}

describe("reservations, shares and bills", () => {
    let world: TestFleet;
    beforeEach(() => {
        world = new TestFleet({ seed: 1, hostCount: 3, budgets: { b0: 3_000 }, homesOnly: false });
        world.scheduler.advance(1_500);
    });

    describe("when a host has just started", () => {
        it("holds a share and a limit before any request (guards against a first request that waits for the store)", () => {
            const { journal, budget } = world.processOf("h0")!.board;
            expect(journal.established).toBe(true);
            expect(journal.limits.get("b0")).toBeGreaterThan(0);
            expect(budget.entries.get("b0")!.grantedTokens).toBeGreaterThanOrEqual(journal.limits.get("b0")!);
        });
    });

    describe("when a request ends", () => {
        it("bills it once and charges it to the budget (guards against lost and doubled bills)", () => {
            const request = world.gateway.start(world.processOf("h0")!, plan(90));
            world.healAndWait(5_000);
            expect(request).toMatchObject({ state: "ended", executions: 1 });
            expect(storedBillLines(world)).toMatchObject([{
                requestId: request.requestId,
                tokens: 90,
                outcome: "complete",
            }]);
            checkFinalState(world);
        });
    });

    describe("when the usage reported exceeds the reservation", () => {
        it("bills the reservation (guards against spending beyond the declared limit)", () => {
            const request = world.gateway.start(world.processOf("h0")!, { ...plan(50), usedTokens: 80 });
            world.healAndWait(5_000);
            expect(storedBillLines(world)).toMatchObject([{ requestId: request.requestId, tokens: 50 }]);
        });
    });

    describe("when one host needs more than is free", () => {
        it("gets idle tokens from its peers (guards against refusals while others hold unused shares)", () => {
            const requests = Array.from({ length: 10 }, () => world.gateway.start(world.processOf("h1")!, plan(290)));
            world.scheduler.advance(3_000);
            checkInvariants(world);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(10);
        });
    });

    describe("when the budget is spent", () => {
        it("refuses at once and names no time (guards against callers that wait and retry for nothing)", () => {
            world.gateway.start(world.processOf("h0")!, plan(3_000));
            world.scheduler.advance(3_000);
            const request = world.gateway.start(world.processOf("h0")!, plan(10));
            world.scheduler.advance(600);
            expect(request).toMatchObject({ state: "refused", refusedCode: "BudgetExhausted", executions: 0 });
        });
    });

    describe("when the store is down", () => {
        it("goes on within the limits that all hosts declared (guards against an outage that stops all work)", () => {
            world.store.faults.outage = true;
            const requests = Array.from({ length: 9 }, () => world.gateway.start(world.processOf("h0")!, plan(50)));
            world.scheduler.advance(2_000);
            const declaredTokens = world.processes.reduce((sum, { board }) => sum + board.journal.limits.get("b0")!, 0);
            expect(declaredTokens).toBe(300);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(declaredTokens / 50);
            world.healAndWait();
            checkFinalState(world);
        });
    });

    describe("when a host dies after it spent tokens of peers that its record does not show", () => {
        it("leaves these tokens charged at the givers (guards against spending that nobody is charged for)", () => {
            const host = world.processOf("h0")!;
            world.store.disconnectedHosts.add("h0");
            const requests = Array.from({ length: 5 }, () => world.gateway.start(host, plan(50)));
            world.scheduler.advance(2_000);
            expect(requests.filter(request => request.state === "ended")).toHaveLength(5);
            const { hostKey } = host.board.journal;
            const receivedTokens = host.board.budget.entries.get("b0")!.receivedTokens;
            world.kill("h0");
            world.healAndWait(20_000);
            const unbilledTokens = 250 - sumOfBills(world);
            const atRiskTokens = budgetObject(world, "b0").atRiskTokens[hostKey]!;
            expect(unbilledTokens).toBeGreaterThan(atRiskTokens);
            expect(unbilledTokens).toBeLessThanOrEqual(atRiskTokens + receivedTokens);
            const givenTokens = world.processes.filter(({ isAlive }) => isAlive).reduce((sum, { board }) => {
                const { sentTokens, receivedTokens: received } = board.budget.entries.get("b0")!;
                return sum + sentTokens - received;
            }, 0);
            expect(givenTokens).toBe(receivedTokens);
            checkFinalState(world);
        });
    });

    describe("when a host dies with a request in flight", () => {
        it("charges its limit as at risk and frees the rest (guards against overspend and against lost shares)", () => {
            const request = world.gateway.start(world.processOf("h0")!, plan(90, 60_000));
            world.scheduler.advance(100);
            const hostKey = world.processOf("h0")!.board.journal.hostKey;
            world.kill("h0");
            world.healAndWait(20_000);
            const object = budgetObject(world, "b0");
            expect(object.shares[hostKey]).toBeUndefined();
            expect(object.atRiskTokens[hostKey]).toBeGreaterThanOrEqual(90);
            expect(request.settled).toBe(false);
        });
    });

    describe("when a host is paused for longer than the suspicion time", () => {
        it("settles late under its old incarnation (guards against a bill that is lost with the seal)", () => {
            const process = world.processOf("h0")!;
            const request = world.gateway.start(process, plan(90, 500));
            world.scheduler.advance(100);
            const oldKey = process.board.journal.hostKey;
            process.pause(10_000);
            world.healAndWait(40_000);
            expect(process.board.journal.hostKey).not.toBe(oldKey);
            expect(storedBillLines(world)).toMatchObject([{ requestId: request.requestId, tokens: 90 }]);
            expect(budgetObject(world, "b0").atRiskTokens).toEqual({});
            expect(chargedUnspentTokens(world, "b0")).toBe(0);
            checkFinalState(world);
        });
    });

    describe("when reads are stale while a sealed host settles late", () => {
        it("replaces its at-risk tokens all the same (guards against a fold that a stale read ends)", () => {
            const process = world.processOf("h0")!;
            world.gateway.start(process, plan(90, 500));
            world.scheduler.advance(100);
            world.store.faults.staleReadRatio = 0.9;
            process.pause(10_000);
            world.scheduler.advance(20_000);
            expect(process.board.journal.sealedCount).toBe(1);
            world.healAndWait();
            expect(budgetObject(world, "b0").atRiskTokens).toEqual({});
            expect(chargedUnspentTokens(world, "b0")).toBe(0);
        });
    });

    describe("when a host shuts down", () => {
        it("returns its share and leaves nothing at risk (guards against tokens that a rolling restart uses up)", () => {
            world.gateway.start(world.processOf("h0")!, plan(90, 500));
            world.scheduler.advance(100);
            const hostKey = world.processOf("h0")!.board.journal.hostKey;
            world.shutdown("h0");
            world.scheduler.advance(4_000);
            expect(world.processOf("h0")).toBeUndefined();
            const object = budgetObject(world, "b0");
            expect(object.shares[hostKey]).toBeUndefined();
            expect(object).toMatchObject({ closedTokens: 90, atRiskTokens: {} });
        });
    });
});
