/** Audit of budgets: proves that every paid token is settled, held, at risk or free. */
import { unallocatedTokens } from "../../features/budget/budgetTypes.js";
import type { BillLine, RecordEntry } from "../../features/journal/journalTypes.js";
import type { StoredBudget } from "./budgetReader.js";
import { type HostBillingData, linesOf } from "./hostBillingData.js";
import { isReleaseLine } from "./release.js";

/** Sums of one budget. `paid = settled + inTransfer + held + atRisk + free`. */
export interface BudgetBalance {
    readonly budget: string;
    readonly paidTokens: number;
    /** Sum of the bill lines. */
    readonly settledTokens: number;
    /** Sent and not received: on the way between hosts, or lost with one of them. */
    readonly inTransferTokens: number;
    /** Granted to hosts and not used. */
    readonly heldTokens: number;
    readonly atRiskTokens: number;
    readonly freeTokens: number;
}

/** Something that does not add up. */
export interface AuditFinding {
    readonly budget: string;
    readonly hostKey: string;
    /** Name of the check; equal in repeated audits of the same fault. */
    readonly check:
        | "sum"
        | "free"
        | "transfer"
        | "limit"
        | "usage"
        | "bills"
        | "record"
        | "share"
        | "late"
        | "release"
        | "duplicate";
    readonly message: string;
}

/** Result of an audit. */
export interface AuditReport {
    readonly budgets: readonly BudgetBalance[];
    readonly findings: readonly AuditFinding[];
}

const NoEntry: RecordEntry = { limitTokens: 0, settledTokens: 0, sentTokens: 0, receivedTokens: 0 };

/** Audits what was read of the store. The reads are not one snapshot, so that findings count only when they persist. */
export function auditBudgets(budgets: readonly StoredBudget[], books: readonly HostBillingData[]): AuditReport {
    const audits = budgets.map(budget => new BudgetAudit(budget, books).run());
    return {
        budgets: audits.map(audit => audit.sums),
        findings: [...audits.flatMap(audit => audit.findings), ...duplicateBills(books)],
    };
}

class BudgetAudit {
    readonly #budget: StoredBudget;
    readonly #books: readonly HostBillingData[];
    readonly #findings: AuditFinding[] = [];
    #settledTokens = 0;
    /** Lines of incarnations whose share is folded into the closed amount. */
    #foldedTokens = 0;
    #heldTokens = 0;
    #transferTokens = 0;
    /**
     * Declared and not used, which hosts may have sent since their last record. A giver's record may lag behind its
     * receiver's, so that received tokens without a recorded sender prove a fault only when they exceed this amount.
     */
    #unusedLimitTokens = 0;

    constructor(budget: StoredBudget, books: readonly HostBillingData[]) {
        this.#budget = budget;
        this.#books = books;
    }

    run(): { readonly sums: BudgetBalance; readonly findings: readonly AuditFinding[]; } {
        const { object, name } = this.#budget;
        for (const books of this.#books) {
            const share = object.shares[books.hostKey];
            if (share === undefined) {
                this.#addFolded(books);
            }
            else {
                this.#addHolder(books, share.grantedTokens);
            }
        }
        const known = new Set(this.#books.map(books => books.hostKey));
        for (const [hostKey, share] of Object.entries(object.shares).filter(([key]) => !known.has(key))) {
            this.#heldTokens += share.grantedTokens;
            this.#report(hostKey, "record", `holds ${share.grantedTokens} tokens and has no record`);
        }
        const atRiskTokens = Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
        const sums: BudgetBalance = {
            budget: name,
            paidTokens: object.paidTokens,
            settledTokens: this.#settledTokens,
            inTransferTokens: this.#transferTokens + object.closedTokens - this.#foldedTokens,
            heldTokens: this.#heldTokens,
            atRiskTokens,
            freeTokens: unallocatedTokens(object),
        };
        this.#checkSums(sums);
        return { sums, findings: this.#findings };
    }

    #addHolder(books: HostBillingData, grantedTokens: number): void {
        const entry = books.record?.entries[this.#budget.name] ?? NoEntry;
        const usedTokens = netTokens(entry);
        if (books.record === undefined) {
            this.#report(books.hostKey, "record", `holds ${grantedTokens} tokens and has no record`);
        }
        if (entry.limitTokens > grantedTokens) {
            this.#report(books.hostKey, "limit", `declares ${entry.limitTokens} of ${grantedTokens} granted tokens`);
        }
        if (usedTokens > entry.limitTokens) {
            this.#report(books.hostKey, "usage", `used ${usedTokens} of ${entry.limitTokens} declared tokens`);
        }
        this.#settledTokens += this.#coveredTokens(books, entry);
        this.#heldTokens += grantedTokens - usedTokens;
        this.#transferTokens += entry.sentTokens - entry.receivedTokens;
        this.#unusedLimitTokens += entry.limitTokens - usedTokens;
    }

    #addFolded(books: HostBillingData): void {
        const { name, object } = this.#budget;
        const entry = books.record?.entries[name] ?? NoEntry;
        const isLive = books.record?.state === "live" || books.record?.state === "leaving";
        if (isLive && entry.limitTokens > 0) {
            this.#report(books.hostKey, "share", `declares ${entry.limitTokens} tokens without a share`);
        }
        const coveredTokens = this.#coveredTokens(books, books.record === undefined ? undefined : entry);
        const lateTokens = sumOf(books.lateLines.values(), name);
        const atRiskTokens = object.atRiskTokens[books.hostKey];
        if (atRiskTokens !== undefined && lateTokens > atRiskTokens) {
            this.#report(books.hostKey, "late", `billed ${lateTokens} late tokens with ${atRiskTokens} at risk`);
        }
        const releasedTokens = object.releasedTokens?.[books.hostKey];
        if (releasedTokens !== undefined && lateTokens !== releasedTokens) {
            this.#report(books.hostKey, "release", `released with ${releasedTokens} tokens and billed ${lateTokens}`);
        }
        const isUncharged = releasedTokens === undefined && atRiskTokens === undefined;
        if (isUncharged && [...books.lateLines.values()].some(line => line.budget === name && isReleaseLine(line))) {
            this.#report(books.hostKey, "release", "has a release line without a charge; repeat the release");
        }
        // Until the at-risk amount is replaced, it stands for the late lines.
        const tokens = coveredTokens + (atRiskTokens === undefined && !isLive ? lateTokens : 0);
        this.#settledTokens += tokens;
        this.#foldedTokens += tokens;
    }

    #coveredTokens(books: HostBillingData, entry: RecordEntry | undefined): number {
        const tokens = sumOf(books.countedLines.values(), this.#budget.name);
        if (entry !== undefined && tokens !== entry.settledTokens) {
            const message = `recorded ${entry.settledTokens} settled tokens and billed ${tokens}`;
            this.#report(books.hostKey, "bills", message);
        }
        return tokens;
    }

    #checkSums(sums: BudgetBalance): void {
        const { settledTokens, inTransferTokens, heldTokens, atRiskTokens } = sums;
        const total = settledTokens + inTransferTokens + heldTokens + atRiskTokens + sums.freeTokens;
        if (total !== sums.paidTokens) {
            this.#report("", "sum", `${sums.paidTokens} tokens are paid and ${total} are accounted for`);
        }
        if (sums.freeTokens < 0) {
            this.#report("", "free", `${-sums.freeTokens} tokens more than paid are given out`);
        }
        if (inTransferTokens + atRiskTokens + this.#unusedLimitTokens < 0) {
            this.#report("", "transfer", "more tokens are billed than hosts ever declared");
        }
    }

    #report(hostKey: string, check: AuditFinding["check"], message: string): void {
        this.#findings.push({ budget: this.#budget.name, hostKey, check, message });
    }
}

/** @returns Net consumption in a record: S + O - I. */
function netTokens(entry: RecordEntry): number {
    return entry.settledTokens + entry.sentTokens - entry.receivedTokens;
}

function sumOf(lines: Iterable<BillLine>, budget: string): number {
    let sum = 0;
    for (const line of lines) {
        sum += line.budget === budget ? line.tokens : 0;
    }
    return sum;
}

function duplicateBills(books: readonly HostBillingData[]): AuditFinding[] {
    const bills = new Map<string, { readonly line: BillLine; readonly hostKey: string; count: number; }>();
    for (const host of books) {
        for (const line of linesOf(host)) {
            const id = JSON.stringify([line.budget, line.team, line.billId]);
            const bill = bills.get(id) ?? { line, hostKey: host.hostKey, count: 0 };
            bill.count += line.outcome === "reversal" ? -1 : 1;
            bills.set(id, bill);
        }
    }
    return [...bills.values()].filter(({ count }) => count > 1).map(({ line, hostKey, count }) => ({
        budget: line.budget,
        hostKey,
        check: "duplicate",
        message: `the request ${line.requestId} is billed ${count} times`,
    }));
}
