import fc from "fast-check";
import type { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { ExitCodes } from "../../src/base/exitCodes.js";
import { releaseAtRiskTokens, type ReleaseResult } from "../../src/control/budgets/release.js";
import { topUp, type TopUpResult } from "../../src/control/budgets/topUp.js";
import type { CommandFailure } from "../../src/control/commandResult.js";
import { budgetKey, type BudgetObject } from "../../src/features/budget/budgetTypes.js";
import { type BillLine, billSegmentKey } from "../../src/features/journal/journalTypes.js";
import { command, environmentCommands, fuzzParameters, GatedOperators, operatorIndex } from "./gatedOperators.js";

const BudgetObjectKey = budgetKey("cork");
/** Host key of a dead host with at-risk tokens. */
const DeadHost = "dead~1";
const AtRiskTokens = 30;
/** Paid tokens before the top-ups of the run. */
const InitialTokens = 100;

/** A top-up and the results of its runs. */
interface TopUpOperation {
    readonly operationId: string;
    readonly tokens: number;
    readonly results: Result<TopUpResult, CommandFailure>[];
}

/** Operators who top up and release one budget while a host draws on it. */
class BudgetOperators extends GatedOperators {
    readonly operations: TopUpOperation[] = [];
    readonly releases: { readonly tokens: number; readonly result: Result<ReleaseResult, CommandFailure>; }[] = [];
    grantedTokens = 0;

    /** @param earlierCount Number of top-ups before the run, so that a few more top-ups cause some to be archived. */
    constructor(earlierCount: number) {
        super();
        const atRiskTokens = { [DeadHost]: AtRiskTokens };
        const topUps = Array.from({ length: earlierCount }, (_value, index) => ({
            operationId: `early${index}`,
            tokens: 1,
            atMs: 0,
        }));
        this.operations.push(...topUps.map(({ operationId, tokens }) => ({ operationId, tokens, results: [] })));
        const paidTokens = InitialTokens + earlierCount;
        this.objects.put(BudgetObjectKey, { paidTokens, closedTokens: 0, atRiskTokens, shares: {}, topUps }, 0);
    }

    /** Runs a top-up once, also as a repetition, and records its result. */
    async runTopUp(operator: number, operation: TopUpOperation): Promise<void> {
        const request = { budget: "cork", tokens: operation.tokens, operationId: operation.operationId };
        operation.results.push(await this.track(topUp(this.contexts[operator]!, request)));
    }

    /** Releases the at-risk tokens of the dead host, with the given number settled. */
    async release(operator: number, tokens: number): Promise<void> {
        const request = { hostKey: DeadHost, budget: "cork", settledTokens: tokens };
        const result = await this.track(releaseAtRiskTokens(this.contexts[operator]!, request));
        this.releases.push({ tokens, result });
    }

    /** A draw of a host, which always takes effect. */
    draw(): void {
        const { object, version } = this.stored();
        this.grantedTokens++;
        const shares = { "host~1": { grantedTokens: this.grantedTokens, sequence: this.grantedTokens } };
        this.objects.put(BudgetObjectKey, { ...object, shares }, version);
    }

    /** The dead host returns and reports the tokens that it used, which replaces its at-risk tokens. */
    settle(): void {
        const { object, version } = this.stored();
        if (DeadHost in object.atRiskTokens) {
            this.objects.put(
                BudgetObjectKey,
                { ...object, closedTokens: object.closedTokens + 7, atRiskTokens: {} },
                version,
            );
        }
    }

    /** @returns The budget object in the store. */
    stored(): { readonly object: BudgetObject; readonly version: number; } {
        const read = this.objects.get(BudgetObjectKey);
        if (read.status !== "found") {
            throw new Error("the budget object is missing from the store");
        }
        return { object: read.object.value as BudgetObject, version: read.object.version };
    }
}

/** Checks after each step that no draw is lost and no operation is added twice. */
function checkStep(operators: BudgetOperators): void {
    const { object } = operators.stored();
    expect(object.shares["host~1"]?.grantedTokens ?? 0, "a draw was lost").toBe(operators.grantedTokens);
    const ids = object.topUps.map(entry => entry.operationId);
    expect(new Set(ids).size, "an operation was added twice").toBe(ids.length);
}

/** Checks at the end that paid tokens, charges and bills agree with the accepted operations. */
function checkEnd(operators: BudgetOperators): void {
    const { object } = operators.stored();
    let paidTokens = InitialTokens;
    for (const { operationId, tokens, results } of operators.operations) {
        const archived = operators.objects.get(`topup/cork/${operationId}`).status === "found";
        const isAdded = archived || object.topUps.some(entry => entry.operationId === operationId);
        paidTokens += isAdded ? tokens : 0;
        expect(results.some(result => result.isOk) && !isAdded, `${operationId} was accepted and lost`).toBe(false);
        expect(results.some(result => result.isErr && result.error.exitCode !== ExitCodes.StoreUnavailable)).toBe(
            false,
        );
    }
    expect(object.paidTokens, "paid tokens differ from the operations").toBe(paidTokens);

    const lines = operators.objects.get(billSegmentKey(DeadHost, "release"));
    const billed = lines.status === "found" ? lines.object.value as BillLine[] : [];
    const released = object.releasedTokens?.[DeadHost];
    for (const { tokens, result } of operators.releases.filter(entry => entry.result.isOk)) {
        expect(released, `a release of ${tokens} was accepted and lost`).toBe(tokens);
        expect(result.isOk).toBe(true);
    }
    if (released !== undefined) {
        expect(billed.map(line => line.tokens), "the charge differs from its bill").toEqual([released]);
        expect(object.closedTokens).toBe(released);
    }
    const isUncertain = operators.releases.some(({ result }) =>
        result.isErr && result.error.exitCode === ExitCodes.StoreUnavailable
    );
    if (released === undefined && !(DeadHost in object.atRiskTokens) && !isUncertain) {
        expect(billed, "a bill line without a charge is left").toEqual([]);
    }
}

const commands = [
    fc.tuple(operatorIndex, fc.integer({ min: 1, max: 50 })).map(([operator, tokens]) =>
        command<BudgetOperators>(`buy(${operator}, ${tokens})`, operators => {
            const operation = { operationId: `op${operators.operations.length}`, tokens, results: [] };
            operators.operations.push(operation);
            void operators.runTopUp(operator, operation);
        }, checkStep)
    ),
    fc.tuple(operatorIndex, fc.nat(60)).map(([operator, age]) =>
        command<BudgetOperators>(`repeat(${operator}, ${age})`, operators => {
            const operation = operators.operations.at(-1 - age);
            if (operation !== undefined) {
                void operators.runTopUp(operator, operation);
            }
        }, checkStep)
    ),
    fc.tuple(operatorIndex, fc.constantFrom(5, 6)).map(([operator, tokens]) =>
        command<BudgetOperators>(`release(${operator}, ${tokens})`, operators => {
            void operators.release(operator, tokens);
        }, checkStep)
    ),
    fc.constant(command<BudgetOperators>("draw", operators => operators.draw(), checkStep)),
    fc.constant(command<BudgetOperators>("settle", operators => operators.settle(), checkStep)),
    ...environmentCommands<BudgetOperators>(checkStep),
];

const Size = { maxCommands: 60, size: "max" } as const;

describe("operators who race on one budget", () => {
    it("add each top-up once and bill each release once (guards against doubled or lost tokens)", async () => {
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(0, 30), fc.commands(commands, Size), async (earlierCount, sequence) => {
                const operators = new BudgetOperators(earlierCount);
                await fc.asyncModelRun(() => ({ model: {}, real: operators }), sequence);
                await operators.finish();
                checkStep(operators);
                checkEnd(operators);
            }),
            fuzzParameters(200),
        );
    }, 600_000);
});
