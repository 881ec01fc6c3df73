/** Checks that each completed request has one bill line or is covered by the at-risk amount of a sealed host. */
import { groupBy } from "../base/groupBy.js";
import type { CallRecord, Evidence, HostBillLine, Violation } from "./chaosTypes.js";
import { responseTokens } from "./evidenceReading.js";

/** @returns Requests that are billed twice or with a wrong amount, and hosts whose at-risk amounts do not cover unbilled ones. */
export function billingViolations(evidence: Evidence): Violation[] {
    const linesByRequest = groupBy(evidence.bills, line => line.requestId);
    const linesByBill = groupBy(evidence.bills, billIdentity);
    const complete = evidence.calls.filter(call => call.outcome === "complete" && !call.replayed);
    const violations: Violation[] = [];
    const unbilled: CallRecord[] = [];
    for (const group of groupBy(complete, call => call.key ?? call.requestId).values()) {
        const requestLines = group.flatMap(call => linesByRequest.get(call.requestId) ?? []);
        const lines = [...new Set(requestLines.map(billIdentity))].flatMap(id => linesByBill.get(id) ?? []);
        const count = lines.reduce((sum, line) => sum + (line.outcome === "reversal" ? -1 : 1), 0);
        if (count <= 0) {
            unbilled.push(chargedCall(evidence, group[0]!, lines));
        }
        if (count > 1) {
            const message = `the request ${group[0]!.requestId} has ${count} bill lines`;
            violations.push({ property: "billedOnce", message, evidence: { group, lines } });
        }
        violations.push(...wrongAmountViolations(group, requestLines));
    }
    return [...violations, ...uncoveredRequests(evidence, unbilled)];
}

function billIdentity(line: HostBillLine): string {
    return JSON.stringify([line.budget, line.team, line.billId]);
}

function wrongAmountViolations(group: readonly CallRecord[], lines: readonly HostBillLine[]): Violation[] {
    return group.flatMap(call => {
        const callLines = lines.filter(line => line.requestId === call.requestId && line.outcome !== "reversal");
        return callLines.filter(line => line.tokens !== responseTokens(call)).map((line): Violation => ({
            property: "billedOnce",
            message: `the request ${call.requestId} used ${responseTokens(call)} tokens and is billed ${line.tokens}`,
            evidence: { call, line },
        }));
    });
}

/**
 * A bill is reversed when another host holds the idempotency key. When that host has died, its at-risk amount replaces the bill.
 * @returns The call with the host whose at-risk amount must cover it.
 */
function chargedCall(evidence: Evidence, call: CallRecord, lines: readonly HostBillLine[]): CallRecord {
    if (!lines.some(line => line.outcome === "reversal")) {
        return call;
    }
    const holder = evidence.calls.find(other =>
        other.key === call.key && other.hostId !== call.hostId && atRiskOf(evidence, other).length > 0
    );
    return { ...call, hostId: holder?.hostId ?? call.hostId };
}

/** @returns At-risk tokens of all incarnations of a call's host in the budget of the call, by host key. */
function atRiskOf(evidence: Evidence, { hostId, budget }: CallRecord): [string, number][] {
    return Object.entries(evidence.budgets[budget]?.atRiskTokens ?? {})
        .filter(([hostKey]) => hostKey.startsWith(`${hostId}~`));
}

/** Unbilled tokens of one host and budget that the at-risk amounts of the host do not cover. */
interface Shortage {
    readonly hostId: string;
    readonly budget: string;
    readonly tokens: number;
    readonly message: string;
    readonly evidence: unknown;
}

/**
 * Checks for each budget that the at-risk amounts of a host id cover its unbilled requests. Tokens that a host received from
 * peers after its last record and spent stay charged to these peers, so tokens in transfer cover the remainder.
 */
function uncoveredRequests(evidence: Evidence, unbilled: readonly CallRecord[]): Violation[] {
    const shortages = [...groupBy(unbilled, call => JSON.stringify([call.hostId, call.budget])).values()]
        .map(calls => shortageOf(evidence, calls))
        .filter(({ tokens }) => tokens > 0);
    const violations: Violation[] = [];
    for (const [budget, group] of groupBy(shortages, shortage => shortage.budget)) {
        const missingTokens = group.reduce((sum, { tokens }) => sum + tokens, 0);
        const inTransferTokens = evidence.inTransferTokens[budget] ?? 0;
        if (missingTokens > inTransferTokens) {
            const message = `${
                group.map(shortage => shortage.message).join("; ")
            }; ${inTransferTokens} are in transfer`;
            violations.push({ property: "billedOnce", message, evidence: group });
        }
    }
    return violations;
}

function shortageOf(evidence: Evidence, calls: readonly CallRecord[]): Shortage {
    const { hostId, budget } = calls[0]!;
    const neededTokens = calls.reduce((sum, call) => sum + responseTokens(call), 0);
    const atRisk = atRiskOf(evidence, calls[0]!);
    const coveredTokens = atRisk.reduce((sum, [, tokens]) => sum + tokens, 0);
    return {
        hostId,
        budget,
        tokens: neededTokens - coveredTokens,
        message: `${calls.length} completed requests of ${hostId} have no bill line: ${neededTokens} tokens ` +
            `of budget ${budget}, ${coveredTokens} are at risk`,
        evidence: { atRisk, calls },
    };
}
