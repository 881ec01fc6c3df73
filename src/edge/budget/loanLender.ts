/** Lends prepaid tokens that this host holds to the hosts that serve the requests. */
import { setBounded } from "../../base/boundedMap.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { BudgetRefusal } from "./budgetRefusal.js";
import type { LoanReply, LoanReport, LoanRequest } from "./loanMessages.js";
import type { TeamAccount } from "./teamAccount.js";
import type { TeamAccounts } from "./teamAccounts.js";

/**
 * Maximum number of replies that are cached for repeated requests: those of some seconds at a thousand requests a second.
 */
const MaxCachedReplies = 5_000;

/** Maximum number of pairs of borrowing process and team that are remembered; far more than exist at the same time. */
const MaxBorrowers = 5_000;

/** Tokens that a lender has reserved for a loan request, and the reason when they are fewer than requested. */
export interface LoanDecision {
    readonly ownTokens: number;
    readonly refusal?: BudgetRefusal | undefined;
    /** Whether this host is shutting down. */
    readonly isLeaving?: boolean;
}

/** Collaborators of a {@link LoanLender}. */
export interface LoanLenderDependencies {
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly accounts: TeamAccounts;
    /** Incarnation of this process; reports about loans of another one are ignored. */
    readonly incarnation: string;
    /**
     * Reserves own tokens for another host; returns a promise when the request must wait for tokens.
     * @param hasBeenRefused Whether another lender has refused the request before.
     * @param rank Urgency of the request that the tokens are for; 0 goes first.
     */
    reserveForLoan(
        team: string,
        tokens: number,
        hasBeenRefused: boolean,
        rank: number,
    ): LoanDecision | Promise<LoanDecision>;
    /** @returns Log fields with the token counts that decide about a team's requests, and the age of the ledger. */
    logFields(team: string): Record<string, unknown>;
}

/** Totals of all loans to one borrowing process for one team. */
interface LentTotals {
    readonly account: TeamAccount;
    lentTokens: number;
    spentTokens: number;
    returnedTokens: number;
}

/** Replies to loan requests of other hosts, and settles loans by the reports of the borrowers. */
export class LoanLender {
    readonly #dependencies: LoanLenderDependencies;
    /** Replies by borrowing process and request number; `undefined` while the request waits for tokens. */
    readonly #replies = new Map<string, LoanReply | undefined>();
    readonly #lentTotals = new Map<string, LentTotals>();

    constructor(dependencies: LoanLenderDependencies) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage((message, sender) => {
            if (message.k === "b") {
                void this.#onRequest(message, sender);
            }
            else if (message.k === "r") {
                this.#onReport(message);
            }
        });
    }

    async #onRequest(request: LoanRequest, sender: string): Promise<void> {
        const key = `${request.i}/${request.n}`;
        if (this.#replies.has(key)) {
            this.#resendReply(request, this.#replies.get(key), sender);
            return;
        }
        setBounded(this.#replies, key, undefined, MaxCachedReplies, isPending);
        let decision = this.#dependencies.reserveForLoan(request.t, request.w, (request.a ?? 0) > 0, request.p ?? 0);
        if (decision instanceof Promise) {
            this.#sendPending(request, sender);
            decision = await decision;
        }
        this.#dependencies.channel.send(sender, this.#lend(request, decision, key, sender));
    }

    #resendReply(request: LoanRequest, reply: LoanReply | undefined, sender: string): void {
        if (reply === undefined) {
            this.#sendPending(request, sender);
        }
        else {
            this.#dependencies.channel.send(sender, reply);
        }
    }

    #sendPending({ i, n }: LoanRequest, sender: string): void {
        this.#dependencies.channel.send(sender, { k: "p", i, n });
    }

    #lend(
        request: LoanRequest,
        { ownTokens, refusal, isLeaving }: LoanDecision,
        key: string,
        sender: string,
    ): LoanReply {
        const account = this.#dependencies.accounts.getOrCreate(request.t);
        if (ownTokens > 0) {
            account.lendReservedTokens(ownTokens);
            const borrower = `${request.i}|${request.t}`;
            const lent = this.#lentTotals.get(borrower) ??
                { account, lentTokens: 0, spentTokens: 0, returnedTokens: 0 };
            lent.lentTokens += ownTokens;
            setBounded(this.#lentTotals, borrower, lent, MaxBorrowers, hasOpenLoans);
            this.#dependencies.counters.add(EdgeCounterNames.tokensLent, ownTokens);
        }
        const reply: LoanReply = {
            k: "g",
            i: request.i,
            n: request.n,
            w: ownTokens,
            c: this.#dependencies.incarnation,
            r: refusal?.reason,
            d: refusal?.retryAfterMs,
            l: isLeaving === true ? true : undefined,
        };
        setBounded(this.#replies, key, reply, MaxCachedReplies, isPending);
        if (refusal !== undefined) {
            log.info("loan refused", {
                team: request.t,
                borrower: sender,
                tokens: ownTokens,
                wanted: request.w,
                rank: request.p ?? 0,
                ...refusal,
                ...this.#dependencies.logFields(request.t),
            });
        }
        return reply;
    }

    /** Reports carry totals: one that arrives out of order changes nothing, and none can return more than was lent. */
    #onReport({ i, c, t, s, w }: LoanReport): void {
        const lent = this.#lentTotals.get(`${i}|${t}`);
        if (
            c !== this.#dependencies.incarnation || lent === undefined || s < lent.spentTokens ||
            w < lent.returnedTokens
        ) {
            return;
        }
        if (s + w > lent.lentTokens) {
            log.error("loan report exceeds the loan", {
                team: t,
                borrower: i,
                spent: s,
                returned: w,
                lent: lent.lentTokens,
            });
            return;
        }
        lent.account.settleLoan(s - lent.spentTokens, w - lent.returnedTokens);
        lent.spentTokens = s;
        lent.returnedTokens = w;
    }
}

/** @returns Whether a loan request still waits for tokens; without its entry, a repetition would reserve them twice. */
function isPending(reply: LoanReply | undefined): boolean {
    return reply === undefined;
}

/** @returns Whether reports about the loans are still to come; without the entry, the tokens would stay lent for good. */
function hasOpenLoans({ lentTokens, spentTokens, returnedTokens }: LentTotals): boolean {
    return lentTokens > spentTokens + returnedTokens;
}
