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
    let unreachableTeams: string[];
    let refusals: BudgetRefusal[];
    let isNeeded: boolean;
    const clock = new ManualClock();

    beforeEach(() => {
        vi.useFakeTimers();
        channel = new RecordingPeerChannel();
        account = new TeamAccount("t", clock.monotonicMs());
        unreachableTeams = [];
        refusals = [];
        isNeeded = true;
        borrower = new LoanBorrower({
            clock,
            counters: new Counters(),
            channel,
            incarnation: "own",
            lenders: () => ({ homeHosts: ["b:1", "c:1"], fallbackHosts: ["d:1"] }),
            onLendersUnreachable: team => unreachableTeams.push(team),
        });
    });

    afterEach(() => vi.useRealTimers());

    const borrow = (tokens: number) =>
        borrower.borrow(account, tokens, 0, () => isNeeded, refusal => refusals.push(refusal));

    const sentRequests = () =>
        channel.sent.map(({ address, message }) => [address, message.k === "b" ? message.w : undefined]);

    function reply(sender: string, tokens: number, more: Partial<LoanReply> = {}): void {
        const last = channel.sent.findLast(({ address, message }) => address === sender && message.k === "b")!.message;
        const number = last.k === "b" ? last.n : 0;
        channel.receive(sender, { k: "g", i: "own", n: number, w: tokens, c: `${sender}-1`, ...more });
    }

    async function advanceTime(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
            clock.advance(10);
            await vi.advanceTimersByTimeAsync(10);
            borrower.tick();
        }
    }

    describe("given lenders that each have some of the tokens", () => {
        it("asks one after the other for the tokens that are still missing", () => {
            borrow(1_000);
            reply("b:1", 400, { r: "fragmented", d: 1_500 });
            reply("c:1", 600);
            expect(sentRequests()).toEqual([["b:1", 1_000], ["c:1", 600]]);
            expect([account.borrowedTokens, refusals]).toEqual([1_000, []]);
        });
    });

    describe("given lenders that refuse", () => {
        it("reports the reason that holds for the fleet, and asks no fallback host (guards against ledgers that all hosts write)", () => {
            borrow(1_000);
            reply("b:1", 0, { r: "atRisk", d: 5_000 });
            reply("c:1", 0, { r: "paced", d: 700 });
            expect(refusals).toEqual([{ reason: "paced", retryAfterMs: 700, lender: "c:1" }]);
            expect(sentRequests().length).toBe(2);
        });

        it("does not ask again at once for as many tokens (guards against floods of messages)", () => {
            borrow(1_000);
            reply("b:1", 0, { r: "atRisk" });
            reply("c:1", 0, { r: "atRisk" });
            borrow(1_000);
            expect([sentRequests().length, refusals.length]).toEqual([2, 2]);
            borrow(500);
            expect(sentRequests().length).toBe(3);
        });
    });

    describe("given a lender that does not reply", () => {
        it("asks once more with the same number, then the next home host, then a fallback host", async () => {
            borrow(1_000);
            await advanceTime(50);
            const numbers = channel.sent.map(({ message }) => message.k === "b" && message.n);
            expect(numbers).toEqual([1, 1]);
            await advanceTime(50);
            reply("c:1", 0, { r: "fragmented", d: 1_500 });
            expect(sentRequests().at(-1)).toEqual(["d:1", 1_000]);
        });

        it("asks it last for some time (guards against requests that all wait for a failed host)", async () => {
            borrow(1_000);
            await advanceTime(100);
            reply("c:1", 1_000);
            borrow(2_000);
            expect(sentRequests().at(-1)).toEqual(["c:1", 2_000]);
        });

        it("reports the team when no lender replies at all", async () => {
            borrow(1_000);
            await advanceTime(400);
            expect(unreachableTeams).toEqual(["t"]);
            expect(refusals).toMatchObject([{ reason: "heldElsewhere" }]);
        });

        it("waits for a reply that was announced", async () => {
            borrow(1_000);
            channel.receive("b:1", { k: "p", i: "own", n: 1 });
            await advanceTime(400);
            expect(sentRequests().length).toBe(1);
            reply("b:1", 1_000);
            expect(account.borrowedTokens).toBe(1_000);
        });
    });

    describe("given a lender that shuts down", () => {
        it("asks a fallback host in the same search, and that lender last from then on (guards against refusals at a stop)", () => {
            borrow(1_000);
            reply("b:1", 0, { r: "heldElsewhere", l: true });
            reply("c:1", 0, { r: "heldElsewhere", l: true });
            reply("d:1", 1_000);
            expect([account.borrowedTokens, refusals]).toEqual([1_000, []]);
            borrow(500);
            expect(sentRequests().at(-1)).toEqual(["d:1", 500]);
        });
    });

    describe("given a request that no longer needs the tokens", () => {
        it("does not count the lender as unresponsive after one message (guards against home hosts that are passed over)", async () => {
            borrow(1_000);
            isNeeded = false;
            await advanceTime(400);
            isNeeded = true;
            borrow(500);
            expect(sentRequests().at(-1)).toEqual(["b:1", 500]);
        });

        it("asks no other host", async () => {
            borrow(1_000);
            isNeeded = false;
            await advanceTime(400);
            expect(sentRequests().length).toBe(1);
        });
    });

    describe("given replies that are late, repeated or for another process", () => {
        it("counts a repeated reply once (guards against tokens that exist twice)", () => {
            borrow(1_000);
            reply("b:1", 400);
            reply("b:1", 400);
            expect(account.borrowedTokens).toBe(400);
        });

        it("ignores replies to its predecessor and from hosts that were not asked", () => {
            borrow(1_000);
            reply("b:1", 400, { i: "previous" });
            channel.receive("c:1", { k: "g", i: "own", n: 1, w: 400, c: "x" });
            expect(account.borrowedTokens).toBe(0);
        });

        it("accepts a late one without asking again (guards against two searches for one request)", async () => {
            borrow(1_000);
            await advanceTime(90);
            expect(sentRequests().length).toBe(3);
            reply("b:1", 300);
            expect(sentRequests().length).toBe(3);
            expect(account.borrowedTokens).toBe(300);
        });
    });

    describe("after the request has ended", () => {
        const reports = () =>
            channel.sent.flatMap(({ message }) => message.k === "r" ? [[message.c, message.s, message.w]] : []);

        it("reports spent tokens and returns the remainder (guards against tokens that no host can use)", async () => {
            borrow(1_000);
            reply("b:1", 1_000);
            const reservation = account.tryReserve(1_000, clock.monotonicMs())!;
            await advanceTime(300);
            expect(reports()).toEqual([]);
            account.settle(reservation, 700);
            await advanceTime(200);
            expect(reports()).toEqual([["b:1-1", 700, 300]]);
            expect(account.borrowedTokens).toBe(0);
        });

        it("repeats the totals once, as the report may be lost", async () => {
            borrow(1_000);
            reply("b:1", 1_000);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 700);
            await advanceTime(5_000);
            expect(reports().filter(([, spent, returned]) => spent === 700 && returned === 300).length).toBe(2);
        });

        it("returns all unused tokens at once when the process ends (guards against tokens lost with each restart)", () => {
            borrow(1_000);
            reply("b:1", 1_000);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 700);
            borrower.close();
            expect(reports()).toEqual([["b:1-1", 700, 300]]);
        });

        it("never reports more than each lender lent (guards against tokens that are returned to the wrong host)", async () => {
            borrow(1_000);
            reply("b:1", 400, { r: "fragmented" });
            reply("c:1", 600);
            account.settle(account.tryReserve(1_000, clock.monotonicMs())!, 500);
            await advanceTime(1_000);
            const last = new Map(reports().map(([lender, spent, returned]) => [lender, [spent, returned]]));
            expect(last).toEqual(new Map([["b:1-1", [400, 0]], ["c:1-1", [100, 500]]]));
        });
    });
});
