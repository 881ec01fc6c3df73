/**
 * Borrows prepaid tokens from the hosts that hold them. The lender counts a loan as used, within what its own record allows,
 * so loans never raise the maximum that a host can have spent, whichever process is killed and whichever message is lost.
 * If the message with a loan is lost, its tokens stay unused.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import { EdgeCounterNames } from "../metrics.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import { type BudgetRefusal, selectRefusal } from "./budgetRefusal.js";
import type { Lenders } from "./homeHostSelector.js";
import type { LoanReply } from "./loanMessages.js";
import { LoanTracker } from "./loanTracker.js";
import type { TeamAccount } from "./teamAccount.js";

/** Time for a reply before the request is repeated, in milliseconds: a few round trips between zones. */
const ReplyTimeoutMs = 40;

/** Maximum number of times that a request is sent to one lender, as datagrams may be lost. */
const MaxAttempts = 2;

/** Time for a reply that the lender has announced, in milliseconds; longer than a lender makes a request wait. */
const PendingReplyTimeoutMs = 700;

/**
 * Time for which a lender that did not reply is asked last, in milliseconds. A process is replaced in one to three seconds.
 */
const UnresponsiveMs = 2_000;

/**
 * Time for which a lender that is shutting down is asked last, in milliseconds. Its next process takes about as long to start.
 */
const LeavingMs = 5_000;

/** Time for which a refusal also applies to requests for as many or more tokens of the team, in milliseconds. */
const RefusalCacheMs = 200;

/** Time after a request within which a reply to it is still accepted, in milliseconds. */
const MaxReplyAgeMs = 5_000;

/** Collaborators of a {@link LoanBorrower}. */
export interface LoanBorrowerDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    /** Incarnation of this process; replies to another one are ignored. */
    readonly incarnation: string;
    /** @returns Addresses of the hosts to ask for a team's tokens, in order. */
    lenders(team: string): Lenders<string>;
    /** Called when no lender of the team replied. */
    onLendersUnreachable(team: string): void;
}

/** Search for the tokens that one request lacks. */
interface LoanSearch {
    readonly account: TeamAccount;
    missingTokens: number;
    /** Urgency of the request; 0 goes first. */
    readonly rank: number;
    /** Addresses of the hosts that are still to be asked, in order. */
    readonly remainingLenders: string[];
    /** Addresses of the hosts to ask in place of those that do not reply. */
    readonly fallbackLenders: string[];
    readonly refusals: BudgetRefusal[];
    /** Number of the latest loan request; a late reply to an earlier one does not continue the search. */
    requestNumber: number;
    /** @returns Whether the tokens are still needed. */
    isNeeded(): boolean;
    onRefused(refusal: BudgetRefusal): void;
}

/** A loan request to one lender that has not replied yet. */
interface PendingRequest {
    readonly search: LoanSearch;
    readonly lender: string;
    /** Monotonic time at which it was first sent, in milliseconds. */
    readonly firstSentMs: number;
    attempts: number;
    timer: ResponseTimeout | undefined;
}

/** Searches for tokens by asking lenders one after the other, and reports to them what was spent or returned. */
export class LoanBorrower {
    readonly #dependencies: LoanBorrowerDependencies;
    readonly #loanTracker: LoanTracker;
    readonly #pendingRequests = new Map<number, PendingRequest>();
    /** Monotonic times until which lenders that did not reply or are shutting down are asked last, by address. */
    readonly #unresponsiveUntilMs = new Map<string, number>();
    readonly #recentRefusals = new Map<
        string,
        { readonly tokens: number; readonly atMs: number; readonly refusal: BudgetRefusal; }
    >();
    #lastRequestNumber = 0;

    constructor(dependencies: LoanBorrowerDependencies) {
        this.#dependencies = dependencies;
        this.#loanTracker = new LoanTracker(dependencies);
        dependencies.channel.onMessage((message, sender) => {
            if (message.k === "g") {
                this.#onLoanReply(message, sender);
            }
            else if (message.k === "p") {
                this.#onLoanPending(message.i, message.n, sender);
            }
        });
    }

    /** Returns unused tokens and sends the loan reports that are due. Must be called every few tens of milliseconds. */
    tick(): void {
        this.#loanTracker.tick();
    }

    /** Returns all unused borrowed tokens and reports them at once, before the process ends. */
    close(): void {
        this.#loanTracker.flush();
    }

    /**
     * Starts a search for tokens. Tokens that lenders give are added to the account, which serves its waiting requests.
     * @param rank Urgency of the request that lacks the tokens; 0 goes first.
     * @param isNeeded Tells whether the tokens are still needed; otherwise the search ends.
     * @param onRefused Called when the lenders have too few tokens or do not reply; at once if they refused as many or fewer
     * tokens within the last {@link RefusalCacheMs}.
     */
    borrow(
        account: TeamAccount,
        tokens: number,
        rank: number,
        isNeeded: () => boolean,
        onRefused: (refusal: BudgetRefusal) => void,
    ): void {
        const lastRefusal = this.#recentRefusals.get(refusalKey(account, rank));
        if (
            lastRefusal !== undefined && this.#nowMs - lastRefusal.atMs < RefusalCacheMs && tokens >= lastRefusal.tokens
        ) {
            onRefused(lastRefusal.refusal);
            return;
        }
        const { homeHosts, fallbackHosts } = this.#dependencies.lenders(account.name);
        const isUnresponsive = (address: string) => this.#nowMs < (this.#unresponsiveUntilMs.get(address) ?? 0);
        const unresponsive = homeHosts.filter(isUnresponsive);
        this.#requestFromNextLender({
            account,
            missingTokens: tokens,
            rank,
            remainingLenders: [
                ...homeHosts.filter(address => !isUnresponsive(address)),
                ...fallbackHosts.slice(0, unresponsive.length),
                ...unresponsive,
            ],
            fallbackLenders: fallbackHosts.slice(unresponsive.length),
            refusals: [],
            requestNumber: 0,
            isNeeded,
            onRefused,
        });
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    #requestFromNextLender(search: LoanSearch): void {
        if (search.missingTokens <= 0 || !search.isNeeded()) {
            return;
        }
        const lender = search.remainingLenders.shift();
        if (lender === undefined) {
            this.#finishRefused(search);
            return;
        }
        this.#discardExpiredRequests();
        search.requestNumber = ++this.#lastRequestNumber;
        this.#sendRequest(search.requestNumber, {
            search,
            lender,
            firstSentMs: this.#nowMs,
            attempts: 0,
            timer: undefined,
        });
    }

    #sendRequest(number: number, request: PendingRequest): void {
        this.#pendingRequests.set(number, request);
        request.attempts++;
        request.timer = startResponseTimeout(() => this.#onReplyTimeout(number, request), ReplyTimeoutMs);
        const { account, missingTokens, rank } = request.search;
        const { incarnation, channel } = this.#dependencies;
        const { length: refusalCount } = request.search.refusals;
        channel.send(request.lender, {
            k: "b",
            i: incarnation,
            n: number,
            t: account.name,
            w: missingTokens,
            a: refusalCount === 0 ? undefined : refusalCount,
            p: rank === 0 ? undefined : rank,
        });
    }

    #onReplyTimeout(number: number, request: PendingRequest): void {
        if (request.attempts < MaxAttempts) {
            // One unanswered datagram says little about a lender, so nothing is concluded when the search has ended.
            if (request.search.isNeeded()) {
                this.#sendRequest(number, request);
            }
            return;
        }
        this.#unresponsiveUntilMs.set(request.lender, this.#nowMs + UnresponsiveMs);
        log.info("lender does not answer", {
            team: request.search.account.name,
            lender: request.lender,
            asks: request.attempts,
        });
        request.search.remainingLenders.push(...request.search.fallbackLenders.splice(0, 1));
        this.#requestFromNextLender(request.search);
    }

    #onLoanPending(incarnation: string, number: number, sender: string): void {
        const request = this.#pendingRequests.get(number);
        if (incarnation === this.#dependencies.incarnation && request?.lender === sender) {
            request.timer?.cancel();
            request.timer = startResponseTimeout(
                () => this.#requestFromNextLender(request.search),
                PendingReplyTimeoutMs,
            );
        }
    }

    #onLoanReply(loan: LoanReply, sender: string): void {
        const request = this.#pendingRequests.get(loan.n);
        if (loan.i !== this.#dependencies.incarnation || request?.lender !== sender) {
            return;
        }
        this.#pendingRequests.delete(loan.n);
        request.timer?.cancel();
        this.#unresponsiveUntilMs.delete(sender);
        const { search } = request;
        if (loan.w > 0) {
            this.#addLoan(loan, request);
        }
        if (loan.l === true) {
            this.#unresponsiveUntilMs.set(sender, this.#nowMs + LeavingMs);
        }
        if (loan.r === "heldElsewhere") {
            search.remainingLenders.push(...search.fallbackLenders.splice(0, 1));
        }
        if (loan.r !== undefined) {
            search.refusals.push({ reason: loan.r, retryAfterMs: loan.d, lender: sender });
        }
        search.missingTokens -= loan.w;
        if (search.requestNumber === loan.n) {
            this.#requestFromNextLender(search);
        }
    }

    #addLoan(loan: LoanReply, { search, lender, firstSentMs }: PendingRequest): void {
        const { account } = search;
        this.#loanTracker.recordLoan(account, lender, loan.c, loan.w);
        this.#dependencies.counters.add(EdgeCounterNames.tokensBorrowed, loan.w);
        log.debug("tokens borrowed", {
            team: account.name,
            lender,
            tokens: loan.w,
            elapsedMs: Math.round(this.#nowMs - firstSentMs),
        });
        account.addBorrowedTokens(loan.w);
        account.serveWaiting(this.#nowMs);
    }

    #finishRefused({ account, missingTokens, rank, refusals, onRefused }: LoanSearch): void {
        if (refusals.length === 0) {
            this.#dependencies.onLendersUnreachable(account.name);
        }
        const refusal = selectRefusal(refusals);
        this.#recentRefusals.set(refusalKey(account, rank), { tokens: missingTokens, atMs: this.#nowMs, refusal });
        onRefused(refusal);
    }

    #discardExpiredRequests(): void {
        for (const [number, { firstSentMs }] of this.#pendingRequests) {
            if (this.#nowMs - firstSentMs <= MaxReplyAgeMs) {
                return;
            }
            this.#pendingRequests.delete(number);
        }
    }
}

/** @returns Key of the latest refusal, which does not apply to more urgent requests of the team. */
function refusalKey({ name }: TeamAccount, rank: number): string {
    return `${rank}/${name}`;
}
