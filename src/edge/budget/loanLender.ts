/** Lends prepaid tokens that this host holds to the hosts that serve the requests. */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { BudgetRefusal } from "./budgetRefusal.js";
import type { LoanReply, LoanReport, LoanRequest } from "./loanMessages.js";
import type { TeamAccount } from "./teamAccount.js";
import type { TeamAccounts } from "./teamAccounts.js";

/** Answers that are remembered for repeated requests; those of some seconds at a thousand requests a second. */
const MostAnswers = 5_000;

/** Borrowing processes and teams that are remembered; far more than run at the same time. */
const MostBorrowers = 5_000;

/** What a lender has for a request: reserved tokens, perhaps too few, and why there are not more. */
export interface LoanDecision {
    readonly ownTokens: number;
    readonly refusal?: BudgetRefusal | undefined;
}

/** What lending is built from. */
export interface LoanLenderDependencies {
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly accounts: TeamAccounts;
    readonly incarnation: string;
    /** Reserves own tokens for another host; a promise when tokens must be drawn first. */
    reserveForLoan(team: string, tokens: number): LoanDecision | Promise<LoanDecision>;
    /** @returns The numbers that decide about a team's tokens, and how old they are, for the log. */
    logFields(team: string): Record<string, unknown>;
}

/** Loans to one borrowing process for one team, in all. */
interface LentTokens {
    readonly account: TeamAccount;
    lentTokens: number;
    spentTokens: number;
    returnedTokens: number;
}

/** Answers other hosts. */
export class LoanLender {
    readonly #dependencies: LoanLenderDependencies;
    /** Answers by request; `undefined` while the tokens are drawn. */
    readonly #answers = new Map<string, LoanReply | undefined>();
    readonly #lent = new Map<string, LentTokens>();

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
        if (this.#answers.has(key)) {
            this.#repeat(request, this.#answers.get(key), sender);
            return;
        }
        remember(this.#answers, key, undefined, MostAnswers);
        let decision = this.#dependencies.reserveForLoan(request.t, request.w);
        if (decision instanceof Promise) {
            this.#announce(request, sender);
            decision = await decision;
        }
        this.#dependencies.channel.send(sender, this.#lend(request, decision, key, sender));
    }

    #repeat(request: LoanRequest, answer: LoanReply | undefined, sender: string): void {
        if (answer === undefined) {
            this.#announce(request, sender);
        }
        else {
            this.#dependencies.channel.send(sender, answer);
        }
    }

    #announce({ i, n }: LoanRequest, sender: string): void {
        this.#dependencies.channel.send(sender, { k: "p", i, n });
    }

    #lend(request: LoanRequest, { ownTokens, refusal }: LoanDecision, key: string, sender: string): LoanReply {
        const account = this.#dependencies.accounts.getOrCreate(request.t);
        if (ownTokens > 0) {
            account.lendReservedTokens(ownTokens);
            const borrower = `${request.i}|${request.t}`;
            const lent = this.#lent.get(borrower) ?? { account, lentTokens: 0, spentTokens: 0, returnedTokens: 0 };
            lent.lentTokens += ownTokens;
            remember(this.#lent, borrower, lent, MostBorrowers);
            this.#dependencies.counters.add(EdgeCounterNames.tokensLent, ownTokens);
        }
        const answer: LoanReply = {
            k: "g",
            i: request.i,
            n: request.n,
            w: ownTokens,
            c: this.#dependencies.incarnation,
            r: refusal?.reason,
            d: refusal?.retryAfterMs,
        };
        remember(this.#answers, key, answer, MostAnswers);
        if (refusal !== undefined) {
            log.info("loan refused", {
                team: request.t,
                borrower: sender,
                tokens: ownTokens,
                wanted: request.w,
                ...refusal,
                ...this.#dependencies.logFields(request.t),
            });
        }
        return answer;
    }

    /** Reports carry totals: an overtaken one changes nothing, and none can give back more than was lent. */
    #onReport({ i, c, t, s, w }: LoanReport): void {
        const lent = this.#lent.get(`${i}|${t}`);
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

function remember<T>(map: Map<string, T>, key: string, value: T, most: number): void {
    map.set(key, value);
    const [oldest] = map.keys();
    if (map.size > most && oldest !== undefined) {
        map.delete(oldest);
    }
}
