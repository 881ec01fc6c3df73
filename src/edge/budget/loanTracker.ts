/** What this host has borrowed from each lender, and the reports by which lenders learn what became of it. */
import type { Clock } from "../../base/clock.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { TeamAccount } from "./teamAccount.js";

/** Time after which unused borrowed tokens go back, in milliseconds: the requests that they came for have them by then. */
const ReturnAfterMs = 100;

/** Shortest time between two reports to one lender about one team, in milliseconds, so that requests share one. */
const ReportSpacingMs = 150;

/** How often the same totals are reported, as a report may be lost. */
const ReportCount = 2;

/** Time between reports of the same totals, in milliseconds. */
const RepeatAfterMs = 1_000;

/** Loans that are remembered; far more than there are teams and lenders. */
const MostEntries = 2_000;

/** Loans of one lending process for one team. */
interface BookEntry {
    readonly account: TeamAccount;
    readonly lender: string;
    readonly lenderIncarnation: string;
    lentTokens: number;
    spentTokens: number;
    returnedTokens: number;
    /** Reports still to be sent about the present numbers. */
    dueReports: number;
    reportedMs: number;
}

/** What the book is built from. */
export interface LoanTrackerDependencies {
    readonly clock: Clock;
    readonly channel: PeerChannel;
    readonly incarnation: string;
}

/** Book of loans taken. */
export class LoanTracker {
    readonly #dependencies: LoanTrackerDependencies;
    readonly #entries = new Map<string, BookEntry>();
    /** Spent tokens by account that are already assigned to loans. */
    readonly #assignedTokens = new Map<TeamAccount, number>();
    readonly #borrowedMs = new Map<TeamAccount, number>();

    constructor(dependencies: LoanTrackerDependencies) {
        this.#dependencies = dependencies;
    }

    /** Enters a loan. */
    recordLoan(account: TeamAccount, lender: string, lenderIncarnation: string, tokens: number): void {
        const key = `${lenderIncarnation}|${account.name}`;
        const entry = this.#entries.get(key) ?? {
            account,
            lender,
            lenderIncarnation,
            lentTokens: 0,
            spentTokens: 0,
            returnedTokens: 0,
            dueReports: 0,
            reportedMs: Number.NEGATIVE_INFINITY,
        };
        entry.lentTokens += tokens;
        this.#entries.set(key, entry);
        this.#borrowedMs.set(account, this.#dependencies.clock.monotonicMs());
        const [oldest] = this.#entries.keys();
        if (this.#entries.size > MostEntries && oldest !== undefined) {
            this.#entries.delete(oldest);
        }
    }

    /** Assigns what was spent, gives back what is not used, and reports both. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        for (const entry of this.#entries.values()) {
            this.#assignSpent(entry);
            if (this.#isUnused(entry.account, nowMs)) {
                this.#giveBack(entry);
            }
            const spacingMs = entry.dueReports === ReportCount ? ReportSpacingMs : RepeatAfterMs;
            if (entry.dueReports > 0 && nowMs - entry.reportedMs >= spacingMs) {
                this.#report(entry, nowMs);
            }
        }
    }

    /** Gives back and reports everything at once, before the process ends. */
    flush(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        for (const entry of this.#entries.values()) {
            this.#assignSpent(entry);
            this.#giveBack(entry);
            if (entry.dueReports > 0) {
                this.#report(entry, nowMs);
            }
        }
    }

    #assignSpent(entry: BookEntry): void {
        const assigned = this.#assignedTokens.get(entry.account) ?? 0;
        const tokens = Math.min(openTokens(entry), entry.account.borrowedSpentTokens - assigned);
        if (tokens > 0) {
            this.#assignedTokens.set(entry.account, assigned + tokens);
            entry.spentTokens += tokens;
            entry.dueReports = ReportCount;
        }
    }

    /** @returns Whether no request is about to use what was borrowed. */
    #isUnused(account: TeamAccount, nowMs: number): boolean {
        return account.waiting.length === 0 && nowMs - (this.#borrowedMs.get(account) ?? 0) >= ReturnAfterMs;
    }

    #giveBack(entry: BookEntry): void {
        const tokens = entry.account.returnBorrowedTokens(openTokens(entry));
        if (tokens > 0) {
            entry.returnedTokens += tokens;
            entry.dueReports = ReportCount;
        }
    }

    #report(entry: BookEntry, nowMs: number): void {
        entry.dueReports--;
        entry.reportedMs = nowMs;
        this.#dependencies.channel.send(entry.lender, {
            k: "r",
            i: this.#dependencies.incarnation,
            c: entry.lenderIncarnation,
            t: entry.account.name,
            s: entry.spentTokens,
            w: entry.returnedTokens,
        });
    }
}

/** @returns Tokens of a loan that are neither spent nor given back. */
function openTokens({ lentTokens, spentTokens, returnedTokens }: BookEntry): number {
    return lentTokens - spentTokens - returnedTokens;
}
