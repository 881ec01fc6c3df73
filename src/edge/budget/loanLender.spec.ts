import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { RecordingPeerChannel } from "../../standins/recordingPeerChannel.js";
import { type LoanDecision, LoanLender } from "./loanLender.js";
import type { TeamAccount } from "./teamAccount.js";
import { TeamAccounts } from "./teamAccounts.js";

describe("LoanLender", () => {
    const clock = new ManualClock();
    let channel: RecordingPeerChannel;
    let account: TeamAccount;
    let decide: (tokens: number) => LoanDecision | Promise<LoanDecision>;

    beforeEach(() => {
        channel = new RecordingPeerChannel();
        const accounts = new TeamAccounts(clock);
        account = accounts.getOrCreate("t");
        account.acknowledgeGrant(5_000);
        account.acknowledgeBound({
            limitTokens: 1_000,
            releaseTokensPerS: 0,
            burstTokens: 0,
            sequence: 1,
            createdAtMs: clock.monotonicMs(),
        });
        decide = tokens => {
            const { ownTokens } = account.tryReserve(Math.min(tokens, 1_000), clock.monotonicMs()) ?? { ownTokens: 0 };
            const refusal = ownTokens < tokens ? { reason: "fragmented", retryAfterMs: 1_500 } as const : undefined;
            return { ownTokens, refusal };
        };
        new LoanLender({
            counters: new Counters(),
            channel,
            accounts,
            incarnation: "own",
            reserveForLoan: (_team, tokens) => decide(tokens),
            logFields: () => ({}),
        });
    });

    const request = (number: number, tokens: number) =>
        channel.receive("b:1", { k: "b", i: "b-1", n: number, t: "t", w: tokens });
    const report = (spent: number, returned: number, lender = "own") =>
        channel.receive("b:1", { k: "r", i: "b-1", c: lender, t: "t", s: spent, w: returned });

    describe("given a request", () => {
        it("lends what it has with the reason for the shortfall, and counts it as used but not as spent", () => {
            request(1, 3_000);
            expect(channel.sent).toEqual([{
                address: "b:1",
                message: { k: "g", i: "b-1", n: 1, w: 1_000, c: "own", r: "fragmented", d: 1_500 },
            }]);
            expect([account.usedTokens, account.settledTokens]).toEqual([1_000, 0]);
        });

        it("sends the same reply to a repeated one (guards against tokens lost with a datagram)", () => {
            request(1, 300);
            request(1, 300);
            expect(account.usedTokens).toBe(300);
            expect(channel.sent[1]).toEqual(channel.sent[0]);
        });

        it("announces a reply that takes time, also for a repeated request", async () => {
            let resolveDecision: (decision: LoanDecision) => void = () => undefined;
            decide = () => new Promise(resolve => resolveDecision = resolve);
            request(1, 300);
            request(1, 300);
            expect(channel.sent.map(({ message }) => message.k)).toEqual(["p", "p"]);
            account.tryReserve(300, clock.monotonicMs());
            resolveDecision({ ownTokens: 300 });
            await Promise.resolve();
            await Promise.resolve();
            expect(channel.sent.at(-1)?.message).toMatchObject({ k: "g", w: 300 });
        });
    });

    describe("given reports of a borrower", () => {
        beforeEach(() => request(1, 1_000));

        it("counts spent tokens, and can use returned ones again", () => {
            report(600, 0);
            expect([account.usedTokens, account.settledTokens]).toEqual([1_000, 600]);
            report(600, 400);
            expect([account.usedTokens, account.settledTokens]).toEqual([600, 600]);
        });

        it("counts repeated and reordered ones once (guards against tokens that are returned twice)", () => {
            report(600, 400);
            report(600, 400);
            report(600, 0);
            expect([account.usedTokens, account.settledTokens]).toEqual([600, 600]);
        });

        it("accepts no more than was lent, and nothing for its predecessor", () => {
            report(600, 500);
            report(0, 400, "previous");
            channel.receive("c:1", { k: "r", i: "c-1", c: "own", t: "t", s: 0, w: 400 });
            expect([account.usedTokens, account.settledTokens]).toEqual([1_000, 0]);
        });
    });
});
