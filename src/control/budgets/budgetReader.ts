/** Reads and parses budget objects for operator commands. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { budgetKey, type BudgetObject, BudgetObjectSchema, BudgetPrefix } from "../../features/budget/budgetTypes.js";
import { AbsentVersion, type StoredObject } from "../../platform/platformStore.js";
import { type CommandFailure, fail, storeUnavailable } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { listAll } from "../storeAccess.js";

const RetryPauseMs = 200;

/** A budget object with its store version. */
export interface StoredBudget {
    readonly name: string;
    readonly object: BudgetObject;
    /** The value as stored, including fields of newer releases; writes start from it, so that they keep those fields. */
    readonly storedValue: Readonly<Record<string, unknown>>;
    readonly version: number;
}

/** Stands for the object of a budget that has never been topped up. */
const EmptyBudget: BudgetObject = { paidTokens: 0, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] };

/** @returns The budget in a stored object, an empty one if there is no object, or a failure if the object is invalid. */
export function parseBudget(name: string, stored: StoredObject | undefined): Result<StoredBudget, CommandFailure> {
    if (stored === undefined) {
        return Result.ok({ name, object: EmptyBudget, storedValue: { ...EmptyBudget }, version: AbsentVersion });
    }
    const parsed = BudgetObjectSchema.safeParse(stored.value);
    if (!parsed.success) {
        return fail(ExitCodes.Failed, `the object of the budget "${name}" is invalid`);
    }
    const storedValue = stored.value as Record<string, unknown>;
    return Result.ok({ name, object: parsed.data, storedValue, version: stored.version });
}

/** Reads one budget, retrying for `retryMs` while the store is unavailable. The result may be stale. */
export async function readBudget(
    context: ControlContext,
    name: string,
): Promise<Result<StoredBudget, CommandFailure>> {
    const deadlineMs = context.clock.monotonicMs() + context.retryMs;
    for (;;) {
        const read = await context.store.get(budgetKey(name));
        if (read.status !== "unavailable") {
            return parseBudget(name, read.status === "found" ? read.object : undefined);
        }
        if (context.clock.monotonicMs() >= deadlineMs) {
            return storeUnavailable(read.reason);
        }
        await context.sleep(RetryPauseMs);
    }
}

/** Reads all budgets, sorted by name. Fails if any object is invalid. */
export async function readBudgets(context: ControlContext): Promise<Result<StoredBudget[], CommandFailure>> {
    const objects = await listAll(context, BudgetPrefix);
    if (objects.isErr) {
        return Result.err(objects.error);
    }
    const budgets: StoredBudget[] = [];
    for (const object of objects.value) {
        const budget = parseBudget(object.key.slice(BudgetPrefix.length), object);
        if (budget.isErr) {
            return Result.err(budget.error);
        }
        budgets.push(budget.value);
    }
    return Result.ok(budgets);
}
