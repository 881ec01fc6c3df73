/** The oracle: a simple account of tokens and executions, compared with the state of the hosts and the store. */
import { usedTokens } from "../../src/features/budget/budgetBoard.js";
import { budgetKey, type BudgetObject, unallocatedTokens } from "../../src/features/budget/budgetTypes.js";
import {
    type BillLine,
    BillLineSchema,
    type HostRecord,
    hostRecordKey,
    HostRecordPrefix,
    HostRecordSchema,
} from "../../src/features/journal/journalTypes.js";
import type { StoredObject } from "../../src/platform/platformStore.js";
import { billedTokensOf } from "./fakeGateway.js";
import type { TestFleet } from "./testFleet.js";

/** Thrown when a property does not hold; the message names the property. */
export class PropertyViolation extends Error {
    constructor(property: string, detail: string) {
        super(`${property}: ${detail}`);
    }
}

/** Throws a {@link PropertyViolation} if the property does not hold. */
function requireProperty(holds: boolean, property: string, detail: () => string): void {
    if (!holds) {
        throw new PropertyViolation(property, detail());
    }
}

/** Checks the properties that hold at any moment. Throws a {@link PropertyViolation}. */
export function checkInvariants(fleet: TestFleet): void {
    for (const budget of fleet.budgets) {
        const object = budgetObject(fleet, budget);
        const worstTokens = object.paidTokens - fleet.unspentTokens(budget);
        requireProperty(
            worstTokens <= object.paidTokens,
            "P1 overspend",
            () => `${budget}: ${worstTokens} spent or promised of ${object.paidTokens} paid`,
        );
        requireProperty(unallocatedTokens(object) >= 0, "P1 overdrawn", () => `${budget}: ${JSON.stringify(object)}`);
    }
    checkEscrow(fleet);
    for (const request of fleet.gateway.requests.values()) {
        requireProperty(
            request.state !== "refused" || request.executions === 0,
            "P4 refused but ran",
            () => request.requestId,
        );
        requireProperty(request.executions <= 1, "P2 ran twice", () => request.requestId);
    }
}

/**
 * Checks the invariant that P1 relies on: spent + reserved + sent - received <= limit <= granted share, with the limit (L)
 * and the granted share (G) as the store holds them.
 */
function checkEscrow(fleet: TestFleet): void {
    for (const { board } of fleet.processes) {
        const incarnations = [[board.journal.hostKey, board.budget.entries] as const, ...board.budget.sealedEntries];
        for (const [hostKey, entries] of incarnations) {
            const record = hostRecord(fleet, hostKey);
            for (const [budget, entry] of entries) {
                const limit = record?.entries[budget]?.limitTokens ?? 0;
                const used = usedTokens(entry);
                requireProperty(
                    used <= limit,
                    "P1 used beyond the limit",
                    () => `${hostKey} ${budget}: ${used} of ${limit}`,
                );
                const share = budgetObject(fleet, budget).shares[hostKey];
                const isFolded = share === undefined && (record?.state === "sealed" || record?.state === "closed");
                const granted = share?.grantedTokens ?? 0;
                requireProperty(
                    isFolded || limit <= granted,
                    "P1 limit beyond the share",
                    () => `${hostKey} ${budget}: ${limit} of ${granted}`,
                );
            }
        }
    }
}

/** Checks the properties that hold after faults have ended and everything has settled. Throws a {@link PropertyViolation}. */
export function checkFinalState(fleet: TestFleet): void {
    checkInvariants(fleet);
    checkBills(fleet);
    for (const budget of fleet.budgets) {
        checkAudit(fleet, budget);
    }
}

/** Checks that a request has at most one bill, of the tokens spent, and one bill if it settled and its process was not killed. */
function checkBills(fleet: TestFleet): void {
    const bills = new Map<string, BillLine[]>();
    for (const line of storedBillLines(fleet).filter(({ outcome }) => outcome !== "reversal")) {
        bills.set(line.requestId, [...(bills.get(line.requestId) ?? []), line]);
    }
    for (const request of fleet.gateway.requests.values()) {
        const lines = bills.get(request.requestId) ?? [];
        requireProperty(lines.length <= 1, "P2 billed twice", () => `${request.requestId}: ${JSON.stringify(lines)}`);
        const isDue = request.settled && request.process.end !== "killed";
        requireProperty(!isDue || lines.length === 1, "P2 not billed", () => request.requestId);
        requireProperty(
            lines.every(line => line.tokens === request.spentTokens),
            "P2 wrong amount",
            () => `${request.requestId}: ${JSON.stringify(lines)}`,
        );
    }
}

/** Paid = closed + at risk + held + unallocated tokens. Spent tokens must be covered by the first three. */
function checkAudit(fleet: TestFleet, budget: string): void {
    const object = budgetObject(fleet, budget);
    const requests = [...fleet.gateway.requests.values()].filter(request => request.budget === budget);
    const spent = requests.reduce((sum, request) => sum + billedTokensOf(request), 0);
    const charged = object.closedTokens + atRiskTokens(object) + heldNetTokens(fleet, budget);
    requireProperty(
        spent <= charged,
        "audit",
        () => `${budget}: ${spent} spent, ${charged} charged, ${JSON.stringify(object)}`,
    );
    const alive = new Set(
        fleet.processes.filter(process => process.isAlive).map(process => process.board.journal.hostKey),
    );
    const stale = Object.keys(object.shares).filter(hostKey => !alive.has(hostKey));
    // A first draw that is applied after the fold creates a share without an entry. The next reader of the budget folds it.
    const folded = stale.filter(hostKey => hasRecordEntry(fleet, hostKey, budget));
    requireProperty(folded.length === 0, "share of a dead host is left", () => `${budget}: ${folded.join(" ")}`);
}

/** @returns Tokens that are charged but not spent: at risk, or lost in transfers of dead hosts. */
export function chargedUnspentTokens(fleet: TestFleet, budget: string): number {
    const object = budgetObject(fleet, budget);
    const requests = [...fleet.gateway.requests.values()].filter(request => request.budget === budget);
    const spent = requests.reduce((sum, request) => sum + billedTokensOf(request), 0);
    return object.closedTokens + atRiskTokens(object) + heldNetTokens(fleet, budget) - spent;
}

/** @returns The budget object in the store. Not parsed, because it is read after every step. Throws if it is missing. */
export function budgetObject(fleet: TestFleet, budget: string): BudgetObject {
    const stored = fleet.store.objects.get(budgetKey(budget));
    if (stored.status !== "found") {
        throw new PropertyViolation("budget object is missing", budget);
    }
    return stored.object.value as BudgetObject;
}

/** @returns Every bill line in the store, once. */
export function storedBillLines(fleet: TestFleet): BillLine[] {
    const lines = new Map<string, BillLine>();
    const add = (hostKey: string, line: BillLine): void => {
        lines.set(`${hostKey} ${line.sequence}`, line);
    };
    for (const object of listAll(fleet, HostRecordPrefix)) {
        const hostKey = object.key.slice(HostRecordPrefix.length);
        HostRecordSchema.parse(object.value).bills.forEach(line => add(hostKey, line));
    }
    for (const object of listAll(fleet, "bills/")) {
        BillLineSchema.array().parse(object.value).forEach(line => add(object.key.split("/")[1]!, line));
    }
    return [...lines.values()];
}

function listAll(fleet: TestFleet, prefix: string): readonly StoredObject[] {
    const outcome = fleet.store.objects.list(prefix, "", Number.MAX_SAFE_INTEGER);
    return outcome.status === "listed" ? outcome.objects : [];
}

function atRiskTokens(object: BudgetObject): number {
    return Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
}

/** @returns Tokens that live processes have used, reserved or sent, minus those that they received. */
function heldNetTokens(fleet: TestFleet, budget: string): number {
    return fleet.processes.filter(process => process.isAlive).reduce((sum, process) => {
        const entry = process.board.budget.entries.get(budget);
        return sum + (entry === undefined ? 0 : usedTokens(entry));
    }, 0);
}

function hasRecordEntry(fleet: TestFleet, hostKey: string, budget: string): boolean {
    return hostRecord(fleet, hostKey)?.entries[budget] !== undefined;
}

function hostRecord(fleet: TestFleet, hostKey: string): HostRecord | undefined {
    const stored = fleet.store.objects.get(hostRecordKey(hostKey));
    return stored.status === "found" ? stored.object.value as HostRecord : undefined;
}
