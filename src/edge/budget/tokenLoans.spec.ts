import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { PeerChannel, type PeerListener, type PeerMessage } from "../peers/peerChannel.js";
import { EdgeAccounts } from "./edgeAccounts.js";
import type { TeamAccount } from "./teamAccount.js";
import { TokenLoans } from "./tokenLoans.js";

class RecordingChannel extends PeerChannel {
    readonly sent: { address: string; message: PeerMessage; }[] = [];
    readonly #listeners: PeerListener[] = [];

    override send(address: string, message: PeerMessage): void {
        this.sent.push({ address, message });
    }

    override onMessage(listener: PeerListener): void {
        this.#listeners.push(listener);
    }

    receive(sender: string, message: PeerMessage): void {
        this.#listeners.forEach(listener => listener(message, sender));
    }
}

describe("TokenLoans", () => {
    let channel: RecordingChannel;
    let account: TeamAccount;
    let loans: TokenLoans;
    let fruitless: number;
    const clock = new ManualClock();

    beforeEach(() => {
        channel = new RecordingChannel();
        const accounts = new EdgeAccounts(clock);
        account = accounts.open("t");
        fruitless = 0;
        loans = new TokenLoans({
            clock,
            counters: new Counters(),
            channel,
            accounts,
            incarnation: "own",
            lenders: () => ["b:1", "c:1"],
            onFruitless: () => fruitless++,
        });
    });

    function wait(costTokens: number): void {
        account.waiting.push({ costTokens, isDrawing: () => false, settle: () => account.waiting.splice(0, 1) });
        loans.search(account);
    }

    function lastNumber(): number {
        const message = channel.sent.at(-1)?.message;
        return message?.k === "b" ? message.n : 0;
    }

    describe("as a borrower", () => {
        it("asks one host after the other for what is still missing", () => {
            wait(1_000);
            channel.receive("b:1", { k: "g", i: "own", n: lastNumber(), w: 400 });
            expect(channel.sent.map(({ address, message }) => [address, message])).toEqual([
                ["b:1", { k: "b", i: "own", n: 1, t: "t", w: 1_000 }],
                ["c:1", { k: "b", i: "own", n: 2, t: "t", w: 600 }],
            ]);
            channel.receive("c:1", { k: "g", i: "own", n: lastNumber(), w: 600 });
            expect(account.waiting).toEqual([]);
        });

        it("counts a repeated answer once (guards against tokens that exist twice)", () => {
            wait(1_000);
            const loan = { k: "g", i: "own", n: lastNumber(), w: 400 } as const;
            channel.receive("b:1", loan);
            channel.receive("b:1", loan);
            expect(account.borrowedTokens).toBe(400);
        });

        it("ignores answers to its predecessor and from hosts that were not asked", () => {
            wait(1_000);
            channel.receive("b:1", { k: "g", i: "previous", n: lastNumber(), w: 400 });
            channel.receive("c:1", { k: "g", i: "own", n: lastNumber(), w: 400 });
            expect(account.borrowedTokens).toBe(0);
        });

        it("tells when nobody can lend, and does not ask again at once (guards against floods of messages)", () => {
            wait(1_000);
            channel.receive("b:1", { k: "g", i: "own", n: lastNumber(), w: 0 });
            channel.receive("c:1", { k: "g", i: "own", n: lastNumber(), w: 0 });
            expect(fruitless).toBe(1);
            loans.search(account);
            expect([fruitless, channel.sent.length]).toEqual([2, 2]);
        });
    });

    describe("as a lender", () => {
        beforeEach(() => {
            account.acknowledgeGrant(5_000);
            account.acknowledge({
                limitTokens: 1_000,
                releaseTokensPerS: 0,
                burstTokens: 0,
                sequence: 1,
                madeMs: clock.monotonicMs(),
            });
        });

        it("lends what its record allows and counts it as spent", () => {
            channel.receive("b:1", { k: "b", i: "b-1", n: 1, t: "t", w: 3_000 });
            expect(channel.sent).toEqual([{ address: "b:1", message: { k: "g", i: "b-1", n: 1, w: 1_000 } }]);
            expect([account.usedTokens, account.settledTokens]).toEqual([1_000, 1_000]);
        });

        it("serves a repeated request once", () => {
            const request = { k: "b", i: "b-1", n: 1, t: "t", w: 300 } as const;
            channel.receive("b:1", request);
            channel.receive("b:1", request);
            expect(account.usedTokens).toBe(300);
        });

        it("keeps its tokens for its own waiting requests", () => {
            account.waiting.push({ costTokens: 2_000, isDrawing: () => true, settle: () => undefined });
            channel.receive("b:1", { k: "b", i: "b-1", n: 1, t: "t", w: 300 });
            expect(account.usedTokens).toBe(0);
        });
    });
});
