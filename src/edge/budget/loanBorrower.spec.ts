import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { RecordingPeerChannel } from "../../standins/recordingPeerChannel.js";
import type { BudgetRefusal } from "./budgetRefusal.js";
import { LoanBorrower } from "./loanBorrower.js";
import type { LoanReply } from "./loanMessages.js";
import { TeamAccount } from "./teamAccount.js";

describe("LoanBorrower", () => {
    let channel: RecordingPeerChannel;
    let account: TeamAccount;
    let borrower: LoanBorrower;
    let silentTeams: string[];
    let refusals: BudgetRefusal[];
    let isWanted: boolean;
    const clock = new ManualClock();

    beforeEach(() => {
        vi.useFakeTimers();
        channel = new RecordingPeerChannel();
        account = new TeamAccount("t", clock.monotonicMs());
        silentTeams = [];
        refusals = [];
        isWanted = true;
        borrower = new LoanBorrower({
            clock,
            counters: new Counters(),
            channel,
            incarnation: "own",
            lenders: () => ({ homeHosts: ["b:1", "c:1"], fallbackHosts: ["d:1"] }),
            onLendersUnreachable: team => silentTeams.push(team),
        });
    });

    afterEach(() => vi.useRealTimers());

    const borrow = (tokens: number) =>
        borrower.borrow(account, tokens, () => isWanted, refusal => refusals.push(refusal));

    const asked = () =>
        channel.sent.map(({ address, message }) => [address, message.k === "b" ? message.w : undefined]);

    function answer(sender: string, tokens: number, more: Partial<LoanReply> = {}): void {
        const last = channel.sent.findLast(({ address, message }) => address === sender && message.k === "b")!.message;
        const number = last.k === "b" ? last.n : 0;
        channel.receive(sender, { k: "g", i: "own", n: number, w: tokens, c: `${sender}-1`, ...more });
    }

    async function pass(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
            clock.advance(10);
            await vi.advanceTimersByTimeAsync(10);
            borrower.tick();
        }
    }

    describe("given lenders that have a part each", () => {
        it("asks one after the other for what is still missing", () => {
            borrow(1_000);
            answer("b:1", 400, { r: "fragmented", d: 1_500 });
            answer("c:1", 600);
            expect(asked()).toEqual([["b:1", 1_000], ["c:1", 600]]);
            expect([account.borrowedTokens, refusals]).toEqual([1_000, []]);
        });
    });

    describe("given lenders that refuse", () => {
        it("tells the reason that holds for the fleet, and asks no stand-in (guards against ledgers that all hosts write)", () => {
            borrow(1_000);
            answer("b:1", 0, { r: "atRisk", d: 5_000 });
            answer("c:1", 0, { r: "paced", d: 700 });
            expect(refusals).toEqual([{ reason: "paced", retryAfterMs: 700, lender: "c:1" }]);
            expect(asked().length).toBe(2);
        });

        it("does not ask again at once for as much (guards against floods of messages)", () => {
            borrow(1_000);
            answer("b:1", 0, { r: "atRisk" });
            answer("c:1", 0, { r: "atRisk" });
            borrow(1_000);
            expect([asked().length, refusals.length]).toEqual([2, 2]);
            borrow(500);
            expect(asked().length).toBe(3);
        });
    });

    describe("given a lender that does not answer", () => {
        it("asks once more with the same number, then the next home, then a stand-in", async () => {
            borrow(1_000);
            await pass(50);
            const numbers = channel.sent.map(({ message }) => message.k === "b" && message.n);
            expect(numbers).toEqual([1, 1]);
            await pass(50);
            answer("c:1", 0, { r: "fragmented", d: 1_500 });
            expect(asked().at(-1)).toEqual(["d:1", 1_000]);
        });

        it("asks it last for a while (guards against each request that waits for a dead host)", async () => {
            borrow(1_000);
            await pass(100);
            answer("c:1", 1_000);
            borrow(2_000);
            expect(asked().at(-1)).toEqual(["c:1", 2_000]);
        });

        it("holds tokens here when no lender answers at all", async () => {
            borrow(1_000);
            await pass(400);
            expect(silentTeams).toEqual(["t"]);
            expect(refusals).toMatchObject([{ reason: "heldElsewhere" }]);
        });

        it("waits for an answer that was announced", async () => {
            borrow(1_000);
            channel.receive("b:1", { k: "p", i: "own", n: 1 });
            await pass(400);
            expect(asked().length).toBe(1);
            answer("b:1", 1_000);
            expect(account.borrowedTokens).toBe(1_000);
        });
    });

    describe("given a request that is served otherwise meanwhile", () => {
        it("asks nobody else", async () => {
            borrow(1_000);
            isWanted = false;
            await pass(400);
            expect(asked().length).toBe(1);
        });
    });

    describe("given answers that are late, repeated or foreign", () => {
        it("counts a repeated answer once (guards against tokens that exist twice)", () => {
            borrow(1_000);
            answer("b:1", 400);
            answer("b:1", 400);
            expect(account.borrowedTokens).toBe(400);
        });

        it("ignores answers to its predecessor and from hosts that were not asked", () => {
            borrow(1_000);
            answer("b:1", 400, { i: "previous" });
            channel.receive("c:1", { k: "g", i: "own", n: 1, w: 400, c: "x" });
            expect(account.borrowedTokens).toBe(0);
        });

        it("takes a late one without asking anew (guards against two searches for one request)", async () => {
            borrow(1_000);
            await pass(90);
            expect(asked().length).toBe(3);
            answer("b:1", 300);
            expect(asked().length).toBe(3);
            expect(account.borrowedTokens).toBe(300);
        });
    });

    describe("after the request", () => {
        const reports = () =>
            channel.sent.flatMap(({ message }) => message.k === "r" ? [[message.c, message.s, message.w]] : []);

        it("tells the lender what was spent and gives the rest back (guards against tokens that nobody can use)", async () => {
            borrow(1_000);
            answer("b:1", 1_000);
            const reservation = account.tryReserve(1_000, clock.monotonicMs())!;
            await pass(300);
            expect(reports()).toEqual([]);
            account.settle(reservation, 700);
            await pass(200);
            expect(reports()).toEqual([["b:1-1", 700, 300]]);
            expect(account.borrowedTokens).toBe(0);
        });

        it("repeats the totals once, as the report may be lost", async () => {
            borrow(1_000);
            answer("b:1", 1_000);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 700);
            await pass(5_000);
            expect(reports().filter(([, spent, returned]) => spent === 700 && returned === 300).length).toBe(2);
        });

        it("gives everything back at once when the process ends (guards against tokens lost with each restart)", () => {
            borrow(1_000);
            answer("b:1", 1_000);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 700);
            borrower.close();
            expect(reports()).toEqual([["b:1-1", 700, 300]]);
        });

        it("never reports more than each lender gave (guards against tokens that return to the wrong host)", async () => {
            borrow(1_000);
            answer("b:1", 400, { r: "fragmented" });
            answer("c:1", 600);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 500);
            await pass(1_000);
            const last = new Map(reports().map(([lender, spent, returned]) => [lender, [spent, returned]]));
            expect(last).toEqual(new Map([["b:1-1", [400, 0]], ["c:1-1", [100, 500]]]));
        });
    });
});
