/**
 * Borrows prepaid tokens from the hosts that hold them. The lender counts a loan as used within what its own record allows,
 * so loans never raise what a host can have spent, whichever process is killed and whichever message is lost; a loan
 * that is lost leaves its tokens unused.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import { type BudgetRefusal, selectRefusal } from "./budgetRefusal.js";
import type { Lenders } from "./homeHostSelector.js";
import type { LoanReply } from "./loanMessages.js";
import { LoanTracker } from "./loanTracker.js";
import type { TeamAccount } from "./teamAccount.js";

/** Time for an answer before the request is repeated, in milliseconds: a few round trips between zones. */
const AnswerTimeoutMs = 40;

/** How often a lender is asked, as datagrams may be lost. */
const MostAsks = 2;

/** Time for an answer that the lender has announced, in milliseconds; longer than a lender makes a request wait. */
const AnnouncedTimeoutMs = 700;

/** Time for which a lender without an answer is asked last, in milliseconds: a process is replaced in one to three seconds. */
const SilentMs = 2_000;

/** Time for which a refusal is taken for the lenders' answer to equal or larger requests, in milliseconds. */
const RefusalValidMs = 200;

/** Time for which a late answer is still accepted, in milliseconds. */
const LateAnswerMs = 5_000;

/** What borrowing is built from. */
export interface LoanBorrowerDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly incarnation: string;
    /** @returns Addresses of the hosts to ask for a team's tokens, in order. */
    lenders(team: string): Lenders<string>;
    /** No lender of the team answers. */
    onLendersUnreachable(team: string): void;
}

/** One request's search for tokens. */
interface LoanSearch {
    readonly account: TeamAccount;
    missingTokens: number;
    readonly remaining: string[];
    /** Hosts to ask in place of those that do not answer. */
    readonly standIns: string[];
    readonly refusals: BudgetRefusal[];
    /** Number of the newest request; a late answer to an earlier one does not carry the search on. */
    number: number;
    /** @returns Whether the tokens are still wanted. */
    isWanted(): boolean;
    onRefused(refusal: BudgetRefusal): void;
}

/** A request to one lender without an accepted answer. */
interface PendingAsk {
    readonly search: LoanSearch;
    readonly lender: string;
    readonly askedMs: number;
    asks: number;
    timer: NodeJS.Timeout | undefined;
}

/** Asks lenders one after the other. */
export class LoanBorrower {
    readonly #dependencies: LoanBorrowerDependencies;
    readonly #book: LoanTracker;
    readonly #pending = new Map<number, PendingAsk>();
    readonly #silentUntilMs = new Map<string, number>();
    readonly #refused = new Map<
        string,
        { readonly tokens: number; readonly atMs: number; readonly refusal: BudgetRefusal; }
    >();
    #number = 0;

    constructor(dependencies: LoanBorrowerDependencies) {
        this.#dependencies = dependencies;
        this.#book = new LoanTracker(dependencies);
        dependencies.channel.onMessage((message, sender) => {
            if (message.k === "g") {
                this.#accept(message, sender);
            }
            else if (message.k === "p") {
                this.#awaitAnnounced(message.i, message.n, sender);
            }
        });
    }

    /** Tells lenders what became of their loans, when something is due. */
    tick(): void {
        this.#book.tick();
    }

    /** Gives everything back that is not used, before the process ends. */
    close(): void {
        this.#book.flush();
    }

    /**
     * Looks for tokens; what lenders give goes to the account, whose waiting requests it serves.
     * @param onRefused Called when no lender has enough.
     */
    borrow(
        account: TeamAccount,
        tokens: number,
        isWanted: () => boolean,
        onRefused: (refusal: BudgetRefusal) => void,
    ): void {
        const last = this.#refused.get(account.name);
        if (last !== undefined && this.#nowMs - last.atMs < RefusalValidMs && tokens >= last.tokens) {
            onRefused(last.refusal);
            return;
        }
        const { homeHosts, fallbackHosts } = this.#dependencies.lenders(account.name);
        const isSilent = (address: string) => this.#nowMs < (this.#silentUntilMs.get(address) ?? 0);
        const silent = homeHosts.filter(isSilent);
        this.#askNext({
            account,
            missingTokens: tokens,
            remaining: [
                ...homeHosts.filter(address => !isSilent(address)),
                ...fallbackHosts.slice(0, silent.length),
                ...silent,
            ],
            standIns: fallbackHosts.slice(silent.length),
            refusals: [],
            number: 0,
            isWanted,
            onRefused,
        });
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    #askNext(search: LoanSearch): void {
        if (search.missingTokens <= 0 || !search.isWanted()) {
            return;
        }
        const lender = search.remaining.shift();
        if (lender === undefined) {
            this.#refuse(search);
            return;
        }
        this.#forgetOldAsks();
        search.number = ++this.#number;
        this.#ask(search.number, { search, lender, askedMs: this.#nowMs, asks: 0, timer: undefined });
    }

    #ask(number: number, ask: PendingAsk): void {
        this.#pending.set(number, ask);
        ask.asks++;
        ask.timer = setTimeout(() => this.#onSilence(number, ask), AnswerTimeoutMs);
        const { account, missingTokens } = ask.search;
        const { incarnation, channel } = this.#dependencies;
        channel.send(ask.lender, { k: "b", i: incarnation, n: number, t: account.name, w: missingTokens });
    }

    #onSilence(number: number, ask: PendingAsk): void {
        if (ask.asks < MostAsks && ask.search.isWanted()) {
            this.#ask(number, ask);
            return;
        }
        this.#silentUntilMs.set(ask.lender, this.#nowMs + SilentMs);
        log.info("lender does not answer", { team: ask.search.account.name, lender: ask.lender, asks: ask.asks });
        ask.search.remaining.push(...ask.search.standIns.splice(0, 1));
        this.#askNext(ask.search);
    }

    #awaitAnnounced(incarnation: string, number: number, sender: string): void {
        const ask = this.#pending.get(number);
        if (incarnation === this.#dependencies.incarnation && ask?.lender === sender) {
            clearTimeout(ask.timer);
            ask.timer = setTimeout(() => this.#askNext(ask.search), AnnouncedTimeoutMs);
        }
    }

    #accept(loan: LoanReply, sender: string): void {
        const ask = this.#pending.get(loan.n);
        if (loan.i !== this.#dependencies.incarnation || ask?.lender !== sender) {
            return;
        }
        this.#pending.delete(loan.n);
        clearTimeout(ask.timer);
        this.#silentUntilMs.delete(sender);
        const { search } = ask;
        if (loan.w > 0) {
            this.#take(loan, ask);
        }
        if (loan.r !== undefined) {
            search.refusals.push({ reason: loan.r, retryAfterMs: loan.d, lender: sender });
        }
        search.missingTokens -= loan.w;
        if (search.number === loan.n) {
            this.#askNext(search);
        }
    }

    #take(loan: LoanReply, { search, lender, askedMs }: PendingAsk): void {
        const { account } = search;
        this.#book.recordLoan(account, lender, loan.c, loan.w);
        this.#dependencies.counters.add(EdgeCounterNames.tokensBorrowed, loan.w);
        log.debug("tokens borrowed", {
            team: account.name,
            lender,
            tokens: loan.w,
            elapsedMs: Math.round(this.#nowMs - askedMs),
        });
        account.addBorrowedTokens(loan.w);
        account.serveWaiting(this.#nowMs);
    }

    #refuse({ account, missingTokens, refusals, onRefused }: LoanSearch): void {
        if (refusals.length === 0) {
            this.#dependencies.onLendersUnreachable(account.name);
        }
        const refusal = selectRefusal(refusals);
        this.#refused.set(account.name, { tokens: missingTokens, atMs: this.#nowMs, refusal });
        onRefused(refusal);
    }

    #forgetOldAsks(): void {
        for (const [number, { askedMs }] of this.#pending) {
            if (this.#nowMs - askedMs <= LateAnswerMs) {
                return;
            }
            this.#pending.delete(number);
        }
    }
}
