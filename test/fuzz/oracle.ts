/** What must hold: a simple account of tokens and executions, compared with what the hosts and the store say. */
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

/** A violated property. */
export class PropertyViolation extends Error {
    constructor(property: string, detail: string) {
        super(`${property}: ${detail}`);
    }
}

function require(holds: boolean, property: string, detail: () => string): void {
    if (!holds) {
        throw new PropertyViolation(property, detail());
    }
}

/** Checks that hold at any moment. */
export function checkInvariants(world: TestFleet): void {
    for (const budget of world.budgets) {
        const object = budgetObject(world, budget);
        const worstTokens = object.paidTokens - world.unspentTokens(budget);
        require(
            worstTokens <= object.paidTokens,
            "P1 overspend",
            () => `${budget}: ${worstTokens} spent or promised of ${object.paidTokens} paid`,
        );
        require(unallocatedTokens(object) >= 0, "P1 overdrawn", () => `${budget}: ${JSON.stringify(object)}`);
    }
    checkEscrow(world);
    for (const request of world.gateway.requests.values()) {
        require(
            request.state !== "refused" || request.executions === 0,
            "P4 refused but ran",
            () => request.requestId,
        );
        require(request.executions <= 1, "P2 ran twice", () => request.requestId);
    }
}

/** The invariant that P1 rests on: S + R + O - I <= L <= G, with L and G as the store holds them. */
function checkEscrow(world: TestFleet): void {
    for (const { board } of world.processes) {
        const incarnations = [[board.journal.hostKey, board.budget.entries] as const, ...board.budget.sealedEntries];
        for (const [hostKey, entries] of incarnations) {
            const record = hostRecord(world, hostKey);
            for (const [budget, entry] of entries) {
                const limit = record?.entries[budget]?.limitTokens ?? 0;
                const used = usedTokens(entry);
                require(used <= limit, "P1 used beyond the limit", () => `${hostKey} ${budget}: ${used} of ${limit}`);
                const share = budgetObject(world, budget).shares[hostKey];
                const isFolded = share === undefined && (record?.state === "sealed" || record?.state === "closed");
                const granted = share?.grantedTokens ?? 0;
                require(
                    isFolded || limit <= granted,
                    "P1 limit beyond the share",
                    () => `${hostKey} ${budget}: ${limit} of ${granted}`,
                );
            }
        }
    }
}

/** Checks that hold after faults have ended and everything has settled. */
export function checkFinalState(world: TestFleet): void {
    checkInvariants(world);
    checkBills(world);
    for (const budget of world.budgets) {
        checkAudit(world, budget);
    }
}

function checkBills(world: TestFleet): void {
    const bills = new Map<string, BillLine[]>();
    for (const line of storedBillLines(world).filter(({ outcome }) => outcome !== "reversal")) {
        bills.set(line.requestId, [...(bills.get(line.requestId) ?? []), line]);
    }
    for (const request of world.gateway.requests.values()) {
        const lines = bills.get(request.requestId) ?? [];
        require(lines.length <= 1, "P2 billed twice", () => `${request.requestId}: ${JSON.stringify(lines)}`);
        const isDue = request.settled && request.process.end !== "killed";
        require(!isDue || lines.length === 1, "P2 not billed", () => request.requestId);
        require(
            lines.every(line => line.tokens === request.spentTokens),
            "P2 wrong amount",
            () => `${request.requestId}: ${JSON.stringify(lines)}`,
        );
    }
}

/** Paid = closed + at risk + held + free; what was spent is in the first three. */
function checkAudit(world: TestFleet, budget: string): void {
    const object = budgetObject(world, budget);
    const requests = [...world.gateway.requests.values()].filter(request => request.budget === budget);
    const spent = requests.reduce((sum, request) => sum + billedTokensOf(request), 0);
    const charged = object.closedTokens + atRiskTokens(object) + heldNetTokens(world, budget);
    require(
        spent <= charged,
        "audit",
        () => `${budget}: ${spent} spent, ${charged} charged, ${JSON.stringify(object)}`,
    );
    const alive = new Set(
        world.processes.filter(process => process.isAlive).map(process => process.board.journal.hostKey),
    );
    const stale = Object.keys(object.shares).filter(hostKey => !alive.has(hostKey));
    // A first draw that is applied after the fold leaves a share without an entry. The next reader of the budget folds it.
    const folded = stale.filter(hostKey => hasRecordEntry(world, hostKey, budget));
    require(folded.length === 0, "share of a dead host is left", () => `${budget}: ${folded.join(" ")}`);
}

/** @returns Tokens that may be at risk or lost with transfers of dead hosts: charged, but not spent. */
export function chargedUnspentTokens(world: TestFleet, budget: string): number {
    const object = budgetObject(world, budget);
    const requests = [...world.gateway.requests.values()].filter(request => request.budget === budget);
    const spent = requests.reduce((sum, request) => sum + billedTokensOf(request), 0);
    return object.closedTokens + atRiskTokens(object) + heldNetTokens(world, budget) - spent;
}

/** @returns The budget object in the store. Not parsed: this is read after every step. */
export function budgetObject(world: TestFleet, budget: string): BudgetObject {
    const stored = world.store.objects.get(budgetKey(budget));
    if (stored.status !== "found") {
        throw new PropertyViolation("budget object is missing", budget);
    }
    return stored.object.value as BudgetObject;
}

/** @returns Every bill line in the store, once. */
export function storedBillLines(world: TestFleet): BillLine[] {
    const lines = new Map<string, BillLine>();
    const add = (hostKey: string, line: BillLine): void => {
        lines.set(`${hostKey} ${line.sequence}`, line);
    };
    for (const object of listAll(world, HostRecordPrefix)) {
        const hostKey = object.key.slice(HostRecordPrefix.length);
        HostRecordSchema.parse(object.value).bills.forEach(line => add(hostKey, line));
    }
    for (const object of listAll(world, "bills/")) {
        BillLineSchema.array().parse(object.value).forEach(line => add(object.key.split("/")[1]!, line));
    }
    return [...lines.values()];
}

function listAll(world: TestFleet, prefix: string): readonly StoredObject[] {
    const outcome = world.store.objects.list(prefix, "", Number.MAX_SAFE_INTEGER);
    return outcome.status === "listed" ? outcome.objects : [];
}

function atRiskTokens(object: BudgetObject): number {
    return Object.values(object.atRiskTokens).reduce((sum, tokens) => sum + tokens, 0);
}

function heldNetTokens(world: TestFleet, budget: string): number {
    return world.processes.filter(process => process.isAlive).reduce((sum, process) => {
        const entry = process.board.budget.entries.get(budget);
        return sum + (entry === undefined ? 0 : usedTokens(entry));
    }, 0);
}

function hasRecordEntry(world: TestFleet, hostKey: string, budget: string): boolean {
    return hostRecord(world, hostKey)?.entries[budget] !== undefined;
}

function hostRecord(world: TestFleet, hostKey: string): HostRecord | undefined {
    const stored = world.store.objects.get(hostRecordKey(hostKey));
    return stored.status === "found" ? stored.object.value as HostRecord : undefined;
}
