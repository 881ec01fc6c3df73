/** Audit of budgets: proves that every paid token is settled, in transfer, held, at risk or free. */
import { unallocatedTokens } from "../../features/budget/budgetTypes.js";
import type { BillLine, RecordEntry } from "../../features/journal/journalTypes.js";
import type { StoredBudget } from "./budgetReader.js";
import { type HostBillingData, listBillLines } from "./hostBillingData.js";
import { isReleaseLine } from "./release.js";

/** Token sums of one budget. An audit checks that paid = settled + inTransfer + held + atRisk + free. */
export interface BudgetBalance {
    readonly budget: string;
    readonly paidTokens: number;
    /** Sum of the bill lines, without late lines of hosts that have an at-risk amount. */
    readonly settledTokens: number;
    /**
     * Sent to other hosts and not received yet: in transit, or lost with a failed host. Negative while a record shows
     * received tokens and the sender's record does not show them yet.
     */
    readonly inTransferTokens: number;
    /** Granted to hosts and not used by them. */
    readonly heldTokens: number;
    /** Tokens of sealed hosts that were declared and not settled; their requests may have used them. */
    readonly atRiskTokens: number;
    /** Paid and neither granted to a host, settled nor at risk; negative if more tokens are allocated than paid. */
    readonly freeTokens: number;
}

/** An inconsistency that an audit found. */
export interface AuditFinding {
    readonly budget: string;
    /** Host incarnation; empty for findings about the whole budget. */
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

/** Balances of the audited budgets, and all findings. */
export interface AuditReport {
    readonly budgets: readonly BudgetBalance[];
    readonly findings: readonly AuditFinding[];
}

/** Stands for the entry of a budget that a host record does not contain. */
const EmptyEntry: RecordEntry = { limitTokens: 0, settledTokens: 0, sentTokens: 0, receivedTokens: 0 };

/**
 * Audits budgets against host records and bill lines that were read from the store. The reads are not one snapshot, so
 * that a finding proves a fault only if repeated audits find it again.
 */
export function auditBudgets(budgets: readonly StoredBudget[], hosts: readonly HostBillingData[]): AuditReport {
    const audits = budgets.map(budget => new BudgetAudit(budget, hosts).run());
    return {
        budgets: audits.map(audit => audit.sums),
        findings: [...audits.flatMap(audit => audit.findings), ...findDuplicateBills(hosts)],
    };
}

/** Audit of one budget across all hosts. */
class BudgetAudit {
    readonly #budget: StoredBudget;
    readonly #hosts: readonly HostBillingData[];
    readonly #findings: AuditFinding[] = [];
    #settledTokens = 0;
    /** Settled tokens of incarnations whose shares are closed, which `closedTokens` of the budget object includes. */
    #closedTokens = 0;
    #heldTokens = 0;
    #transferTokens = 0;
    /**
     * Tokens that hosts declared and did not use, and which they may have sent since their last record. A sender's record
     * may lag behind the receiver's, so that received tokens without a recorded sender prove a fault only if they exceed
     * this amount.
     */
    #unusedLimitTokens = 0;

    constructor(budget: StoredBudget, hosts: readonly HostBillingData[]) {
        this.#budget = budget;
        this.#hosts = hosts;
    }

    run(): { readonly sums: BudgetBalance; readonly findings: readonly AuditFinding[]; } {
        const { object, name } = this.#budget;
        for (const host of this.#hosts) {
            const share = object.shares[host.hostKey];
            if (share === undefined) {
                this.#addHostWithoutShare(host);
            }
            else {
                this.#addShareHolder(host, share.grantedTokens);
            }
        }
        const known = new Set(this.#hosts.map(host => host.hostKey));
        for (const [hostKey, share] of Object.entries(object.shares).filter(([key]) => !known.has(key))) {
            this.#heldTokens += share.grantedTokens;
            this.#report(hostKey, "record", `holds ${share.grantedTokens} tokens and has no record`);
        }
        const atRiskTokens = Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
        const sums: BudgetBalance = {
            budget: name,
            paidTokens: object.paidTokens,
            settledTokens: this.#settledTokens,
            inTransferTokens: this.#transferTokens + object.closedTokens - this.#closedTokens,
            heldTokens: this.#heldTokens,
            atRiskTokens,
            freeTokens: unallocatedTokens(object),
        };
        this.#checkSums(sums);
        return { sums, findings: this.#findings };
    }

    /** Adds a host that holds a share of the budget, and checks its record against the share. */
    #addShareHolder(host: HostBillingData, grantedTokens: number): void {
        const entry = host.record?.entries[this.#budget.name] ?? EmptyEntry;
        const usedTokens = netTokens(entry);
        if (host.record === undefined) {
            this.#report(host.hostKey, "record", `holds ${grantedTokens} tokens and has no record`);
        }
        if (entry.limitTokens > grantedTokens) {
            this.#report(host.hostKey, "limit", `declares ${entry.limitTokens} of ${grantedTokens} granted tokens`);
        }
        if (usedTokens > entry.limitTokens) {
            this.#report(host.hostKey, "usage", `used ${usedTokens} of ${entry.limitTokens} declared tokens`);
        }
        this.#settledTokens += this.#checkBilledTokens(host, entry);
        this.#heldTokens += grantedTokens - usedTokens;
        this.#transferTokens += entry.sentTokens - entry.receivedTokens;
        this.#unusedLimitTokens += entry.limitTokens - usedTokens;
    }

    /** Adds a host whose share is closed, and checks its late lines and release against the budget object. */
    #addHostWithoutShare(host: HostBillingData): void {
        const { name, object } = this.#budget;
        const entry = host.record?.entries[name] ?? EmptyEntry;
        const isLive = host.record?.state === "live" || host.record?.state === "leaving";
        if (isLive && entry.limitTokens > 0) {
            this.#report(host.hostKey, "share", `declares ${entry.limitTokens} tokens without a share`);
        }
        const billedTokens = this.#checkBilledTokens(host, host.record === undefined ? undefined : entry);
        const lateTokens = sumTokens(host.lateLines.values(), name);
        const atRiskTokens = object.atRiskTokens[host.hostKey];
        if (atRiskTokens !== undefined && lateTokens > atRiskTokens) {
            this.#report(host.hostKey, "late", `billed ${lateTokens} late tokens with ${atRiskTokens} at risk`);
        }
        const releasedTokens = object.releasedTokens?.[host.hostKey];
        if (releasedTokens !== undefined && lateTokens !== releasedTokens) {
            this.#report(host.hostKey, "release", `released with ${releasedTokens} tokens and billed ${lateTokens}`);
        }
        const isUncharged = releasedTokens === undefined && atRiskTokens === undefined;
        if (isUncharged && [...host.lateLines.values()].some(line => line.budget === name && isReleaseLine(line))) {
            this.#report(host.hostKey, "release", "has a release line without a charge; repeat the release");
        }
        // The at-risk amount covers the late lines until it is replaced by a settled amount.
        const tokens = billedTokens + (atRiskTokens === undefined && !isLive ? lateTokens : 0);
        this.#settledTokens += tokens;
        this.#closedTokens += tokens;
    }

    /** @returns The tokens of the host's counted lines; reports them if the record's settled tokens differ. */
    #checkBilledTokens(host: HostBillingData, entry: RecordEntry | undefined): number {
        const tokens = sumTokens(host.countedLines.values(), this.#budget.name);
        if (entry !== undefined && tokens !== entry.settledTokens) {
            const message = `recorded ${entry.settledTokens} settled tokens and billed ${tokens}`;
            this.#report(host.hostKey, "bills", message);
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
            this.#report("", "free", `${-sums.freeTokens} tokens are allocated beyond the paid amount`);
        }
        if (inTransferTokens + atRiskTokens + this.#unusedLimitTokens < 0) {
            this.#report("", "transfer", "more tokens are billed than hosts ever declared");
        }
    }

    #report(hostKey: string, check: AuditFinding["check"], message: string): void {
        this.#findings.push({ budget: this.#budget.name, hostKey, check, message });
    }
}

/** @returns Net consumption of a record entry: settled (S) + sent (O) - received (I) tokens. */
function netTokens(entry: RecordEntry): number {
    return entry.settledTokens + entry.sentTokens - entry.receivedTokens;
}

function sumTokens(lines: Iterable<BillLine>, budget: string): number {
    let sum = 0;
    for (const line of lines) {
        sum += line.budget === budget ? line.tokens : 0;
    }
    return sum;
}

function findDuplicateBills(hosts: readonly HostBillingData[]): AuditFinding[] {
    const bills = new Map<string, { readonly line: BillLine; readonly hostKey: string; count: number; }>();
    for (const host of hosts) {
        for (const line of listBillLines(host)) {
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
