/** Release of at-risk tokens: the operator states how many tokens the requests of a dead host used. */
import { Result } from "true-myth";
import type { Unit } from "true-myth/unit";
import { z } from "zod";
import { ExitCodes } from "../../base/exitCodes.js";
import { budgetKey } from "../../features/budget/budgetTypes.js";
import { type BillLine, BillLineSchema, billSegmentKey } from "../../features/journal/journalTypes.js";
import { AbsentVersion, type StoredObject } from "../../platform/platformStore.js";
import { type CommandFailure, fail, storeUnavailable } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { putWithRetries, readCurrent } from "../storeAccess.js";
import { parseBudget, type StoredBudget } from "./budgetReader.js";

/** First sequence of release lines; above those of any host, because readers keep one line per sequence. */
const FirstReleaseSequence = 1_000_000_001;
/** Maximum number of attempts to write an object that others change at the same time. */
const MaxAttempts = 20;

/** Arguments of a release. */
export interface ReleaseRequest {
    readonly hostKey: string;
    readonly budget: string;
    /** Tokens that the host's requests used according to the upstreams' records. */
    readonly settledTokens: number;
}

/** Result of a release. `repeated`: an earlier run released the tokens with the same amount. */
export interface ReleaseResult {
    readonly status: "released" | "repeated";
    readonly settledTokens: number;
    /** Tokens that are free again; 0 for a repetition. */
    readonly freedTokens: number;
}

/** @returns Whether a bill line was written by an operator's release. */
export function isReleaseLine(line: BillLine): boolean {
    return line.sequence >= FirstReleaseSequence;
}

const LinesSchema = z.array(BillLineSchema);

/**
 * Replaces the at-risk amount of a host by a bill line with the tokens that were used. The line is written first, so that
 * the budget is never charged without a bill. Fails if the stated tokens exceed the amount, nothing is at risk, or the
 * release conflicts with an earlier one.
 */
export async function releaseAtRiskTokens(
    context: ControlContext,
    request: ReleaseRequest,
): Promise<Result<ReleaseResult, CommandFailure>> {
    // A stale read from before the host was sealed contains no at-risk amount either, which must not count as settled.
    const stored = await readCurrent(context, budgetKey(request.budget));
    const budget = stored.andThen(object => parseBudget(request.budget, object));
    if (budget.isErr) {
        return Result.err(budget.error);
    }
    const atRiskTokens = budget.value.object.atRiskTokens[request.hostKey];
    if (atRiskTokens === undefined) {
        return reportEarlierSettlement(context, request, budget.value);
    }
    if (request.settledTokens > atRiskTokens) {
        return fail(ExitCodes.Failed, `only ${atRiskTokens} tokens are at risk`);
    }
    const line = await addReleaseLine(context, request);
    return line.isErr ? Result.err(line.error) : replaceAtRiskAmount(context, request, budget.value);
}

/** Charges the settled tokens to the budget object and removes the at-risk amount of the host. */
async function replaceAtRiskAmount(
    context: ControlContext,
    request: ReleaseRequest,
    initial: StoredBudget,
): Promise<Result<ReleaseResult, CommandFailure>> {
    let budget = initial;
    for (let attempt = 0; attempt < MaxAttempts; attempt++) {
        const { object, storedValue } = budget;
        const { [request.hostKey]: atRiskTokens, ...otherAtRisk } = object.atRiskTokens;
        if (atRiskTokens === undefined) {
            return reportEarlierSettlement(context, request, budget);
        }
        const value = {
            ...storedValue,
            closedTokens: object.closedTokens + request.settledTokens,
            atRiskTokens: otherAtRisk,
            releasedTokens: { ...object.releasedTokens, [request.hostKey]: request.settledTokens },
        };
        const key = budgetKey(request.budget);
        const written = await putWithRetries(
            context,
            key,
            value,
            budget.version,
            current => isReleaseApplied(current, request),
        );
        if (written.status === "applied") {
            const freedTokens = atRiskTokens - request.settledTokens;
            return Result.ok({ status: "released", settledTokens: request.settledTokens, freedTokens });
        }
        if (written.status === "unavailable") {
            return storeUnavailable(`${written.reason}; repeat the command`);
        }
        const current = parseBudget(request.budget, written.current);
        if (current.isErr) {
            return Result.err(current.error);
        }
        budget = current.value;
    }
    return storeUnavailable("the budget object changes too often; repeat the command");
}

function isReleaseApplied(current: StoredObject, request: ReleaseRequest): boolean {
    const budget = parseBudget(request.budget, current);
    return budget.isOk && budget.value.object.releasedTokens?.[request.hostKey] === request.settledTokens;
}

/**
 * Handles a release without an at-risk amount: either an operator released it, or the host came back and settled it. In
 * the second case, the release line is removed.
 */
async function reportEarlierSettlement(
    context: ControlContext,
    request: ReleaseRequest,
    { object }: StoredBudget,
): Promise<Result<ReleaseResult, CommandFailure>> {
    const released = object.releasedTokens?.[request.hostKey];
    if (released === request.settledTokens) {
        return Result.ok({ status: "repeated", settledTokens: released, freedTokens: 0 });
    }
    if (released !== undefined) {
        return fail(ExitCodes.Conflict, `the release was already settled with ${released} tokens`);
    }
    const removed = await removeReleaseLine(context, request);
    const message = `nothing of "${request.budget}" is at risk for ${request.hostKey}`;
    return removed.isErr ? Result.err(removed.error) : fail(ExitCodes.Conflict, message);
}

async function addReleaseLine(context: ControlContext, request: ReleaseRequest): Promise<Result<Unit, CommandFailure>> {
    return editReleaseLines(context, request, lines => {
        const existing = lines.find(line => line.budget === request.budget);
        if (existing === undefined) {
            return Result.ok([...lines, createReleaseLine(context, request, lines)]);
        }
        return existing.tokens === request.settledTokens ?
            Result.ok(lines) :
            fail(ExitCodes.Conflict, `a release with ${existing.tokens} tokens was started before`);
    });
}

async function removeReleaseLine(
    context: ControlContext,
    request: ReleaseRequest,
): Promise<Result<Unit, CommandFailure>> {
    return editReleaseLines(context, request, lines => Result.ok(lines.filter(line => line.budget !== request.budget)));
}

/** Edits the release lines of a host, again on the newer lines after a conflict. */
async function editReleaseLines(
    context: ControlContext,
    request: ReleaseRequest,
    edit: (lines: readonly BillLine[]) => Result<readonly BillLine[], CommandFailure>,
): Promise<Result<Unit, CommandFailure>> {
    const key = billSegmentKey(request.hostKey, "release");
    // A stale read may miss a line that must be removed.
    const read = await readCurrent(context, key);
    if (read.isErr) {
        return Result.err(read.error);
    }
    let stored = read.value;
    for (let attempt = 0; attempt < MaxAttempts; attempt++) {
        const lines = LinesSchema.catch([]).parse(stored?.value ?? []);
        const edited = edit(lines);
        if (edited.isErr) {
            return Result.err(edited.error);
        }
        if (edited.value.length === lines.length) {
            return Result.ok();
        }
        const version = stored?.version ?? AbsentVersion;
        const written = await putWithRetries(context, key, edited.value, version, () => false);
        if (written.status === "applied") {
            return Result.ok();
        }
        if (written.status === "unavailable") {
            return storeUnavailable(`${written.reason}; repeat the command`);
        }
        stored = written.current;
    }
    return storeUnavailable("the release lines change too often; repeat the command");
}

function createReleaseLine(context: ControlContext, request: ReleaseRequest, lines: readonly BillLine[]): BillLine {
    const lastSequence = lines.at(-1)?.sequence ?? FirstReleaseSequence - 1;
    return {
        sequence: lastSequence + 1,
        atMs: context.clock.wallMs(),
        requestId: `release/${request.hostKey}`,
        billId: `release/${request.hostKey}`,
        team: "",
        budget: request.budget,
        model: "",
        promptTokens: 0,
        outputTokens: 0,
        tokens: request.settledTokens,
        requestKind: "",
        upstream: "",
        outcome: "complete",
    };
}
