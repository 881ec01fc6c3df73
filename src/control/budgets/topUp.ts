/** Top-ups of budgets; each operation id adds its tokens exactly once. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { budgetKey, type BudgetObject, TopUpSchema } from "../../features/budget/budgetTypes.js";
import { AbsentVersion, type StoredObject } from "../../platform/platformStore.js";
import { type CommandFailure, fail, storeUnavailable } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { putWithRetries, readCurrent } from "../storeAccess.js";
import { parseBudget, readBudget, type StoredBudget } from "./budgetReader.js";

/**
 * Maximum number of top-ups in a budget object. Every draw of a host writes the whole object, so that older top-ups are
 * moved to separate objects.
 */
const MaxKeptTopUps = 32;
/** Number of top-ups that are moved at once. */
const ArchiveBatchSize = 16;

/** Arguments of a top-up. */
export interface TopUpRequest {
    /** Budget name, or `grant/NAME`. */
    readonly budget: string;
    readonly tokens: number;
    readonly operationId: string;
}

/** Result of a top-up. `repeated`: an earlier run of the operation added the tokens. */
export interface TopUpResult {
    readonly status: "added" | "repeated";
    /** Tokens paid in total. */
    readonly paidTokens: number;
}

type TopUp = BudgetObject["topUps"][number];

/**
 * Adds tokens to a budget once per operation id. Fails if the id was used with another number of tokens, and if the store
 * is unavailable or other writers win for `retryMs`; the command can then be repeated with the same id.
 */
export async function topUp(
    context: ControlContext,
    request: TopUpRequest,
): Promise<Result<TopUpResult, CommandFailure>> {
    const deadlineMs = context.clock.monotonicMs() + context.retryMs;
    let budget = await readBudget(context, request.budget);
    while (budget.isOk) {
        const earlier = await findEarlierTopUp(context, budget.value, request);
        if (earlier.isErr) {
            return Result.err(earlier.error);
        }
        if (earlier.value !== undefined) {
            return checkRepetition(earlier.value, request, budget.value);
        }
        const kept = await archiveOldTopUps(context, budget.value);
        if (kept.isErr) {
            return Result.err(kept.error);
        }
        const paidTokens = budget.value.object.paidTokens + request.tokens;
        const added = { operationId: request.operationId, tokens: request.tokens, atMs: context.clock.wallMs() };
        const value = { ...budget.value.storedValue, paidTokens, topUps: [...kept.value, added] };
        const isOwn = (current: StoredObject): boolean => containsTopUp(current, request);
        const written = await putWithRetries(context, budgetKey(request.budget), value, budget.value.version, isOwn);
        if (written.status === "applied") {
            return Result.ok({ status: "added", paidTokens });
        }
        if (written.status === "unavailable") {
            return failUnfinished(request, written.reason, written.mayApply);
        }
        if (context.clock.monotonicMs() > deadlineMs) {
            return failUnfinished(request, "the budget object changes too often", false);
        }
        // Another write, usually a draw of a host, came first. The conflict contains the current object: no read is needed.
        budget = parseBudget(request.budget, written.current);
    }
    return Result.err(budget.error);
}

function failUnfinished<T>(request: TopUpRequest, reason: string, mayApply: boolean): Result<T, CommandFailure> {
    const state = mayApply ? "may still take effect" : "was not applied";
    const message = `${reason}; the top-up ${state}; repeat it with --operation-id ${request.operationId}`;
    return fail(ExitCodes.StoreUnavailable, message);
}

function containsTopUp(current: StoredObject, request: TopUpRequest): boolean {
    const budget = parseBudget(request.budget, current);
    return budget.isOk &&
        budget.value.object.topUps.some(entry =>
            entry.operationId === request.operationId && entry.tokens === request.tokens
        );
}

function checkRepetition(
    earlier: TopUp,
    request: TopUpRequest,
    budget: StoredBudget,
): Result<TopUpResult, CommandFailure> {
    if (earlier.tokens !== request.tokens) {
        const message = `the operation ${request.operationId} added ${earlier.tokens} tokens, not ${request.tokens}`;
        return fail(ExitCodes.Conflict, message, { earlier });
    }
    return Result.ok({ status: "repeated", paidTokens: budget.object.paidTokens });
}

/** @returns The top-up that an earlier run of the operation added, from the budget object or the archive. */
async function findEarlierTopUp(
    context: ControlContext,
    { name, object }: StoredBudget,
    { operationId }: TopUpRequest,
): Promise<Result<TopUp | undefined, CommandFailure>> {
    const kept = object.topUps.find(entry => entry.operationId === operationId);
    // Archiving keeps half of the entries, so that no entry of a shorter list has ever been archived.
    if (kept !== undefined || object.topUps.length < MaxKeptTopUps - ArchiveBatchSize) {
        return Result.ok(kept);
    }
    const archiveRead = await readCurrent(context, archiveKey(name, operationId));
    return archiveRead.map(archived => {
        const entry = TopUpSchema.safeParse(archived?.value);
        return entry.success ? entry.data : undefined;
    });
}

/** Moves the oldest top-ups of a full list to the archive. @returns The top-ups that stay in the budget object. */
async function archiveOldTopUps(
    context: ControlContext,
    { name, object }: StoredBudget,
): Promise<Result<readonly TopUp[], CommandFailure>> {
    if (object.topUps.length < MaxKeptTopUps) {
        return Result.ok(object.topUps);
    }
    for (const entry of object.topUps.slice(0, ArchiveBatchSize)) {
        const key = archiveKey(name, entry.operationId);
        const written = await putWithRetries(context, key, entry, AbsentVersion, () => true);
        if (written.status !== "applied") {
            return storeUnavailable("the archive of top-ups cannot be written");
        }
    }
    return Result.ok(object.topUps.slice(ArchiveBatchSize));
}

function archiveKey(budget: string, operationId: string): string {
    return `topup/${budget}/${encodeURIComponent(operationId)}`;
}
