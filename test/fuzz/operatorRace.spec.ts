import fc from "fast-check";
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { ExitCodes } from "../../src/base/exitCodes.js";
import type { CommandFailure } from "../../src/control/commandResult.js";
import { commitEdits, type CommitResult } from "../../src/control/config/changeCommit.js";
import { editOf, type ResourceSet } from "../../src/control/config/resourceSet.js";
import { applyChange, loadConfiguration, type SnapshotResource } from "../../src/features/config/configSnapshot.js";
import {
    type ConfigChange,
    configChangeKey,
    ConfigChangePrefix,
    type ResourceEdit,
} from "../../src/features/config/configTypes.js";
import { InMemoryPlatformStore } from "../../src/standins/platform/inMemoryPlatform.js";
import { command, environmentCommands, fuzzParameters, GatedOperators, operatorIndex } from "./gatedOperators.js";

const Teams = ["cork", "kerry", "clare"];
/** Number of versions before the run; a few more reach the version of the first snapshot. */
const EarlierVersions = 126;

/** Sets teams, deletes a team or relabels all teams. Teams are indices into {@link Teams}. */
type Edit =
    | { readonly type: "set"; readonly teams: readonly number[]; readonly weight: number; }
    | { readonly type: "delete"; readonly team: number; }
    | { readonly type: "label"; readonly value: string; };

/** An operation id with its edit, and the runs of it so far. */
interface Operation {
    readonly id: string;
    readonly edit: Edit;
    /** Whether the operator chose the id; a generated one is known only after the first run. */
    readonly hasChosenId: boolean;
    /** Values that the runs of the operation saw when they planned their edits. */
    readonly seen: ResourceEdit[];
    readonly results: Result<CommitResult, CommandFailure>[];
    runs: number;
}

/** Operators who edit the configuration. */
class Operators extends GatedOperators {
    readonly operations: Operation[] = [];

    constructor(earlierVersions: number) {
        super();
        for (let version = 1; version <= earlierVersions; version++) {
            const change = { version, author: "setup", operationId: `setup${version}`, message: "", atMs: 0 };
            this.objects.put(configChangeKey(version), { ...change, changes: [] }, 0);
        }
    }

    /** Runs an operation, or repeats it. An operation whose generated id is not known yet is not repeated. */
    async start(operator: number, operation: Operation): Promise<void> {
        const isRepeated = operation.runs > 0;
        if (isRepeated && !operation.hasChosenId && operation.results.length === 0) {
            return;
        }
        operation.runs++;
        const commit = commitEdits(this.contexts[operator]!, {
            operationId: operation.id,
            mayHaveBeenSent: isRepeated || operation.hasChosenId,
            message: "",
            plan: set => {
                const planned = planEdit(set, operation.edit);
                operation.seen.push(...planned);
                return Result.ok(planned);
            },
        });
        operation.results.push(await this.track(commit));
    }

    changes(): ConfigChange[] {
        const listed = this.objects.list(ConfigChangePrefix, "", 10_000);
        return listed.status === "listed" ? listed.objects.map(object => object.value as ConfigChange) : [];
    }
}

function planEdit(set: ResourceSet, edit: Edit): ResourceEdit[] {
    if (edit.type === "delete") {
        return [editOf(set, "Team", Teams[edit.team]!, undefined)];
    }
    if (edit.type === "set") {
        const spec = { labels: {}, keyHashes: [], weight: edit.weight };
        return [...new Set(edit.teams)].map(team => editOf(set, "Team", Teams[team]!, spec));
    }
    return set.listByKind("Team").map(({ name, value }) =>
        editOf(set, "Team", name, { ...value as object, labels: { tier: edit.value } })
    );
}

/** Checks that each version exists once and that its edits start from the values of the previous version. */
function checkLog(changes: readonly ConfigChange[]): Map<string, SnapshotResource> {
    const resources = new Map<string, SnapshotResource>();
    expect(changes.map(change => change.version)).toEqual(changes.map((_change, index) => index + 1));
    const operationIds = changes.map(change => change.operationId);
    expect(new Set(operationIds).size, "an operation took effect twice").toBe(operationIds.length);
    for (const change of changes) {
        for (const { kind, name, before } of change.changes) {
            const current = resources.get(`${kind}/${name}`)?.value;
            expect(isDeepStrictEqual(before, current), `version ${change.version} lost an edit of ${name}`).toBe(true);
        }
        applyChange(resources, change);
    }
    return resources;
}

/** @returns Whether the teams have the values of the edit. Not checked for labels: they depend on the teams that existed. */
function isInForce(edit: Edit, resources: ReadonlyMap<string, SnapshotResource>): boolean {
    const valueOf = (team: number): unknown => resources.get(`Team/${Teams[team]}`)?.value;
    if (edit.type === "set") {
        return edit.teams.every(team => (valueOf(team) as { weight: number; } | undefined)?.weight === edit.weight);
    }
    return edit.type === "label" || valueOf(edit.team) === undefined;
}

/** Checks that accepted edits took effect, refused ones are not in the log, and none replaced a value unseen by its operator. */
function checkResults(operations: readonly Operation[], changes: readonly ConfigChange[]): void {
    const states = [new Map<string, SnapshotResource>()];
    for (const change of changes) {
        const state = new Map(states.at(-1));
        applyChange(state, change);
        states.push(state);
    }
    for (const { id, edit, results, seen } of operations) {
        const change = changes.find(entry => entry.operationId === id);
        for (const { name, before } of change?.changes ?? []) {
            const isSeen = seen.some(entry => entry.name === name && isDeepStrictEqual(entry.before, before));
            expect(isSeen, `${id} replaced a value of ${name} that its operator had not seen`).toBe(true);
        }
        for (const { status, version } of results.flatMap(result => result.isOk ? [result.value] : [])) {
            if (status !== "unchanged") {
                expect(version, `${id} was accepted and is not in the log`).toBe(change?.version);
            }
            expect(isInForce(edit, states[version]!), `${id} was accepted and is not in force`).toBe(true);
        }
        const definiteExitCodes = [ExitCodes.Conflict, ExitCodes.Failed] as readonly number[];
        const isRefused = results.every(result => result.isErr && definiteExitCodes.includes(result.error.exitCode));
        expect(isRefused && change !== undefined, `${id} was refused and is in the log`).toBe(false);
    }
}

const checkStep = (operators: Operators): void => {
    checkLog(operators.changes());
};
const edits: fc.Arbitrary<Edit> = fc.oneof(
    fc.record({
        type: fc.constant("set" as const),
        teams: fc.array(fc.nat(Teams.length - 1), { minLength: 1, maxLength: 2 }),
        weight: fc.integer({ min: 1, max: 3 }),
    }),
    fc.record({ type: fc.constant("delete" as const), team: fc.nat(Teams.length - 1) }),
    fc.record({ type: fc.constant("label" as const), value: fc.constantFrom("a", "b") }),
);
const commands = [
    fc.tuple(operatorIndex, edits, fc.boolean()).map(([operator, edit, hasChosenId]) =>
        command<Operators>(`edit(${operator}, ${JSON.stringify(edit)}, ${hasChosenId})`, operators => {
            const operation = {
                id: `op${operators.operations.length}`,
                edit,
                hasChosenId,
                seen: [],
                results: [],
                runs: 0,
            };
            operators.operations.push(operation);
            void operators.start(operator, operation);
        }, checkStep)
    ),
    fc.tuple(operatorIndex, fc.nat(5)).map(([operator, age]) =>
        command<Operators>(`repeat(${operator}, ${age})`, operators => {
            const operation = operators.operations.at(-1 - age);
            if (operation !== undefined) {
                void operators.start(operator, operation);
            }
        }, checkStep)
    ),
    ...environmentCommands<Operators>(checkStep),
];

describe("operators who race on the change log", () => {
    it("lose no accepted edit and apply each operation once (guards against lost and doubled edits)", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.constantFrom(0, EarlierVersions),
                fc.commands(commands, { maxCommands: 40, size: "max" }),
                async (earlierVersions, sequence) => {
                    const operators = new Operators(earlierVersions);
                    await fc.asyncModelRun(() => ({ model: {}, real: operators }), sequence);
                    await operators.finish();
                    const changes = operators.changes();
                    const resources = checkLog(changes);
                    checkResults(operators.operations, changes);
                    const loaded = await loadConfiguration(new InMemoryPlatformStore(operators.objects));
                    const values = loaded.isOk ? loaded.value.resources : [];
                    expect(new Set(values)).toEqual(new Set(resources.values()));
                },
            ),
            fuzzParameters(300),
        );
    }, 600_000);
});
