/** Tracks what this host has borrowed from each lender, and reports to the lenders what was spent and returned. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { TeamAccount } from "./teamAccount.js";

/**
 * Time after a loan after which unused borrowed tokens are returned, in milliseconds. The requests for which they were
 * borrowed have reserved theirs by then.
 */
const ReturnAfterMs = 100;

/** Minimum time between two reports to one lender about one team, in milliseconds, so that several requests share one. */
const MinReportIntervalMs = 150;

/** Number of times that the same totals are reported, as a report may be lost. */
const ReportsPerChange = 2;

/** Time between reports of the same totals, in milliseconds. */
const ReportRepeatIntervalMs = 1_000;

/** Maximum number of entries; far more than there are pairs of team and lender. */
const MaxEntries = 2_000;

/** Totals of the loans from one lending process for one team. */
interface LoanEntry {
    readonly account: TeamAccount;
    readonly lender: string;
    readonly lenderIncarnation: string;
    lentTokens: number;
    spentTokens: number;
    returnedTokens: number;
    /** Number of reports of the current totals that are still to be sent. */
    pendingReports: number;
    lastReportedMs: number;
}

/** Collaborators of a {@link LoanTracker}. */
export interface LoanTrackerDependencies {
    readonly clock: Clock;
    readonly channel: PeerChannel;
    readonly incarnation: string;
}

/** Keeps the totals of the loans that this host has taken, by lending process and team, and reports them to the lenders. */
export class LoanTracker {
    readonly #dependencies: LoanTrackerDependencies;
    readonly #entries = new Map<string, LoanEntry>();
    /** Spent tokens of each account that are already assigned to loans. */
    readonly #assignedTokens = new Map<TeamAccount, number>();
    readonly #lastBorrowedMs = new Map<TeamAccount, number>();

    constructor(dependencies: LoanTrackerDependencies) {
        this.#dependencies = dependencies;
    }

    /** Adds a loan to the totals of its lender and team. */
    recordLoan(account: TeamAccount, lender: string, lenderIncarnation: string, tokens: number): void {
        const key = `${lenderIncarnation}|${account.name}`;
        const entry = this.#entries.get(key) ?? {
            account,
            lender,
            lenderIncarnation,
            lentTokens: 0,
            spentTokens: 0,
            returnedTokens: 0,
            pendingReports: 0,
            lastReportedMs: Number.NEGATIVE_INFINITY,
        };
        entry.lentTokens += tokens;
        setBounded(
            this.#entries,
            key,
            entry,
            MaxEntries,
            other => outstandingTokens(other) > 0 || other.pendingReports > 0,
        );
        this.#lastBorrowedMs.set(account, this.#dependencies.clock.monotonicMs());
    }

    /** Assigns spent tokens to loans, returns unused ones, and sends the reports that are due. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        for (const entry of this.#entries.values()) {
            this.#assignSpentTokens(entry);
            if (this.#shouldReturnTokens(entry.account, nowMs)) {
                this.#returnTokens(entry);
            }
            const minIntervalMs = entry.pendingReports === ReportsPerChange ?
                MinReportIntervalMs :
                ReportRepeatIntervalMs;
            if (entry.pendingReports > 0 && nowMs - entry.lastReportedMs >= minIntervalMs) {
                this.#sendReport(entry, nowMs);
            }
        }
    }

    /** Returns all unused tokens and sends all outstanding reports at once, before the process ends. */
    flush(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        for (const entry of this.#entries.values()) {
            this.#assignSpentTokens(entry);
            this.#returnTokens(entry);
            if (entry.pendingReports > 0) {
                this.#sendReport(entry, nowMs);
            }
        }
    }

    #assignSpentTokens(entry: LoanEntry): void {
        const assigned = this.#assignedTokens.get(entry.account) ?? 0;
        const tokens = Math.min(outstandingTokens(entry), entry.account.borrowedSpentTokens - assigned);
        if (tokens > 0) {
            this.#assignedTokens.set(entry.account, assigned + tokens);
            entry.spentTokens += tokens;
            entry.pendingReports = ReportsPerChange;
        }
    }

    /** @returns Whether no request is going to use the borrowed tokens: none waits, and the last loan is old enough. */
    #shouldReturnTokens(account: TeamAccount, nowMs: number): boolean {
        return account.waiting.length === 0 && nowMs - (this.#lastBorrowedMs.get(account) ?? 0) >= ReturnAfterMs;
    }

    #returnTokens(entry: LoanEntry): void {
        const tokens = entry.account.returnBorrowedTokens(outstandingTokens(entry));
        if (tokens > 0) {
            entry.returnedTokens += tokens;
            entry.pendingReports = ReportsPerChange;
        }
    }

    #sendReport(entry: LoanEntry, nowMs: number): void {
        entry.pendingReports--;
        entry.lastReportedMs = nowMs;
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

/** @returns Tokens of an entry's loans that are neither spent nor returned. */
function outstandingTokens({ lentTokens, spentTokens, returnedTokens }: LoanEntry): number {
    return lentTokens - spentTokens - returnedTokens;
}
