/**
 * Loans of prepaid tokens between hosts, for requests that this host's own record does not cover while another host has
 * tokens to spare: in an outage of the store, and when a budget that runs out is scattered.
 *
 * A lender counts what it lends as spent, within what its own record allows at that time. So loans never raise what a host
 * can have spent by its record, whichever process is killed and whichever message is lost; a lost loan leaves its
 * tokens unused.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { EdgeAccounts } from "./edgeAccounts.js";
import type { BorrowRequest, Loan } from "./loanMessages.js";
import type { TeamAccount } from "./teamAccount.js";

/** Time for an answer before the next host is asked, in milliseconds: a few round trips between zones. */
const AnswerTimeoutMs = 25;

/** Most hosts that one search asks, so that a search ends well within a request's objective. */
const MostLenders = 8;

/** Time after a search without success in which no new one starts, in milliseconds. */
const FruitlessPauseMs = 200;

/** Time for which a late answer is still accepted, in milliseconds. */
const LateAnswerMs = 5_000;

/** Borrowing processes that are remembered; far more than run at the same time. */
const MostBorrowers = 1_000;

/** What loans are built from. */
export interface TokenLoansParts {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly accounts: EdgeAccounts;
    readonly incarnation: string;
    /** @returns Addresses of hosts that probably have tokens of a team to spare, the most first. */
    lenders(team: string): readonly string[];
    /** Nobody can lend more: requests that wait for nothing else are to be refused. */
    onFruitless(account: TeamAccount): void;
}

/** Hosts that are asked one after the other for the tokens that a team's waiting requests miss. */
interface LoanSearch {
    readonly account: TeamAccount;
    readonly remaining: string[];
    /** Number of the latest request. */
    number: number;
    timer: NodeJS.Timeout | undefined;
}

/** A request without an accepted answer. */
interface PendingRequest {
    readonly account: TeamAccount;
    readonly lender: string;
    readonly askedMs: number;
}

/** Borrows from other hosts and lends to them. */
export class TokenLoans {
    readonly #parts: TokenLoansParts;
    readonly #searches = new Map<string, LoanSearch>();
    readonly #pending = new Map<number, PendingRequest>();
    /** Number of the newest request of each borrowing process: a repeated datagram is not served twice. */
    readonly #served = new Map<string, number>();
    readonly #fruitlessUntilMs = new Map<string, number>();
    #number = 0;

    constructor(parts: TokenLoansParts) {
        this.#parts = parts;
        parts.channel.onMessage((message, sender) => {
            if (message.k === "b") {
                this.#lend(message, sender);
            }
            else if (message.k === "g") {
                this.#accept(message, sender);
            }
        });
    }

    /** Starts to look for what the team's waiting requests miss, unless a search is under way. */
    search(account: TeamAccount): void {
        if (this.#searches.has(account.name)) {
            return;
        }
        if (this.#nowMs < (this.#fruitlessUntilMs.get(account.name) ?? 0)) {
            this.#parts.onFruitless(account);
            return;
        }
        const remaining = this.#parts.lenders(account.name).slice(0, MostLenders);
        const search: LoanSearch = { account, remaining, number: 0, timer: undefined };
        this.#searches.set(account.name, search);
        this.#askNext(search);
    }

    get #nowMs(): number {
        return this.#parts.clock.monotonicMs();
    }

    #askNext(search: LoanSearch): void {
        clearTimeout(search.timer);
        const { account } = search;
        const missingTokens = account.missingTokens(this.#nowMs);
        const lender = missingTokens > 0 ? search.remaining.shift() : undefined;
        if (lender === undefined) {
            this.#searches.delete(account.name);
            if (missingTokens > 0) {
                this.#fruitlessUntilMs.set(account.name, this.#nowMs + FruitlessPauseMs);
                this.#parts.onFruitless(account);
            }
            return;
        }
        search.number = ++this.#number;
        this.#forgetOldRequests();
        this.#pending.set(search.number, { account, lender, askedMs: this.#nowMs });
        search.timer = setTimeout(() => this.#askNext(search), AnswerTimeoutMs);
        const { incarnation, channel } = this.#parts;
        channel.send(lender, { k: "b", i: incarnation, n: search.number, t: account.name, w: missingTokens });
    }

    #accept(loan: Loan, sender: string): void {
        const pending = this.#pending.get(loan.n);
        if (loan.i !== this.#parts.incarnation || pending === undefined || pending.lender !== sender) {
            return;
        }
        this.#pending.delete(loan.n);
        const { account } = pending;
        if (loan.w > 0) {
            account.borrow(loan.w);
            this.#parts.counters.add(EdgeCounterNames.tokensBorrowed, loan.w);
            log.info("tokens borrowed", {
                team: account.name,
                lender: sender,
                tokens: loan.w,
                elapsedMs: Math.round(this.#nowMs - pending.askedMs),
            });
            account.serveWaiting(this.#nowMs);
        }
        const search = this.#searches.get(account.name);
        if (search?.number === loan.n) {
            this.#askNext(search);
        }
    }

    #lend(request: BorrowRequest, sender: string): void {
        if (request.n <= (this.#served.get(request.i) ?? 0)) {
            return;
        }
        this.#served.set(request.i, request.n);
        const [oldest] = this.#served.keys();
        if (this.#served.size > MostBorrowers && oldest !== undefined) {
            this.#served.delete(oldest);
        }
        const tokens = this.#parts.accounts.find(request.t)?.lend(request.w, this.#nowMs) ?? 0;
        if (tokens > 0) {
            this.#parts.counters.add(EdgeCounterNames.tokensLent, tokens);
            log.info("tokens lent", { team: request.t, borrower: sender, tokens, missing: request.w });
        }
        this.#parts.channel.send(sender, { k: "g", i: request.i, n: request.n, w: tokens });
    }

    #forgetOldRequests(): void {
        for (const [number, { askedMs }] of this.#pending) {
            if (this.#nowMs - askedMs > LateAnswerMs) {
                this.#pending.delete(number);
            }
        }
    }
}
