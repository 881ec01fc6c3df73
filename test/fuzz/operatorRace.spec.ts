import fc from "fast-check";
import { setImmediate as flush } from "node:timers/promises";
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { ExitCodes } from "../../src/base/exitCodes.js";
import { SeededRandom } from "../../src/base/random.js";
import type { CommandFailure } from "../../src/control/commandResult.js";
import { commitEdits, type CommitResult } from "../../src/control/config/changeCommit.js";
import { editOf, type ResourceSet } from "../../src/control/config/resourceSet.js";
import type { ControlContext } from "../../src/control/controlContext.js";
import { applyChange, loadConfiguration, type SnapshotResource } from "../../src/features/config/configSnapshot.js";
import {
    type ConfigChange,
    configChangeKey,
    ConfigChangePrefix,
    type ResourceEdit,
} from "../../src/features/config/configTypes.js";
import { FakeOperatorClient } from "../../src/standins/control/controlFixture.js";
import type { FaultInput } from "../../src/standins/platform/faults.js";
import { LocalHostList, LocalPlatformStore } from "../../src/standins/platform/localStore.js";
import { ObjectStore } from "../../src/standins/platform/objectStore.js";

const OperatorCount = 3;
const Teams = ["cork", "kerry", "clare"];
/** Versions before the run, so that a few more reach the first snapshot. */
const EarlierVersions = 126;

type Edit =
    | { readonly type: "set"; readonly teams: readonly number[]; readonly weight: number; }
    | { readonly type: "delete"; readonly team: number; }
    | { readonly type: "label"; readonly value: string; };

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

/** Operators on one store, whose calls advance only when a command releases them. */
class Operators {
    readonly objects = new ObjectStore();
    readonly operations: Operation[] = [];
    readonly #clock = new ManualClock();
    readonly #stores: LocalPlatformStore[] = [];
    readonly #contexts: ControlContext[] = [];
    readonly #waiting: (() => void)[] = [];
    #running = 0;

    constructor(earlierVersions: number) {
        for (let version = 1; version <= earlierVersions; version++) {
            const change = { version, author: "setup", operationId: `setup${version}`, message: "", atMs: 0 };
            this.objects.put(configChangeKey(version), { ...change, changes: [] }, 0);
        }
        for (let index = 0; index < OperatorCount; index++) {
            const gate = (): Promise<void> => new Promise(resolve => this.#waiting.push(resolve));
            const store = new LocalPlatformStore(this.objects, { clock: this.#clock, sleep: gate });
            this.#stores.push(store);
            this.#contexts.push({
                store,
                hosts: new LocalHostList(),
                operator: new FakeOperatorClient(),
                clock: this.#clock,
                random: new SeededRandom(index),
                sleep: durationMs => {
                    this.#clock.advance(durationMs);
                    return gate();
                },
                author: `operator${index}`,
                retryMs: 1_000,
            });
        }
    }

    start(operator: number, operation: Operation): void {
        const isRepeated = operation.runs > 0;
        if (isRepeated && !operation.hasChosenId && operation.results.length === 0) {
            return;
        }
        operation.runs++;
        this.#running++;
        void commitEdits(this.#contexts[operator]!, {
            operationId: operation.id,
            mayBeRepeated: isRepeated || operation.hasChosenId,
            message: "",
            plan: set => {
                const planned = planEdit(set, operation.edit);
                operation.seen.push(...planned);
                return Result.ok(planned);
            },
        }).then(result => {
            operation.results.push(result);
            this.#running--;
        });
    }

    setFaults(operator: number, faults: readonly FaultInput[]): void {
        this.#stores[operator]!.faults.set(faults);
    }

    applyLate(operator: number): void {
        this.#stores[operator]!.applyLateWrites();
    }

    /** Releases one of the waiting calls. */
    async step(choice: number): Promise<void> {
        this.#clock.advance(10);
        if (this.#waiting.length > 0) {
            this.#waiting.splice(choice % this.#waiting.length, 1)[0]!();
        }
        await flush();
    }

    async finish(): Promise<void> {
        this.#stores.forEach(store => store.faults.set([]));
        for (let choice = 0; this.#running > 0; choice++) {
            await this.step(choice);
        }
        this.#stores.forEach(store => store.applyLateWrites());
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
    return set.ofKind("Team").map(({ name, value }) =>
        editOf(set, "Team", name, { ...value as object, labels: { tier: edit.value } })
    );
}

/** Each version exists once and changes exactly what the version before it left. */
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

/** @returns Whether the team's value is what the edit asked for. Labels depend on the teams that existed. */
function isInForce(edit: Edit, resources: ReadonlyMap<string, SnapshotResource>): boolean {
    const valueOf = (team: number): unknown => resources.get(`Team/${Teams[team]}`)?.value;
    if (edit.type === "set") {
        return edit.teams.every(team => (valueOf(team) as { weight: number; } | undefined)?.weight === edit.weight);
    }
    return edit.type === "label" || valueOf(edit.team) === undefined;
}

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
        const definite = [ExitCodes.Conflict, ExitCodes.Failed] as readonly number[];
        const isRefused = results.every(result => result.isErr && definite.includes(result.error.exitCode));
        expect(isRefused && change !== undefined, `${id} was refused and is in the log`).toBe(false);
    }
}

type OperatorCommand = fc.AsyncCommand<object, Operators>;

function command(name: string, run: (operators: Operators) => Promise<void> | void): OperatorCommand {
    return {
        check: () => true,
        run: async (_model, operators) => {
            await run(operators);
            checkLog(operators.changes());
        },
        toString: () => name,
    };
}

const operatorIndex = fc.nat(OperatorCount - 1);
const faults: fc.Arbitrary<FaultInput> = fc.oneof(
    fc.record({ type: fc.constant("answerLost" as const), count: fc.integer({ min: 1, max: 3 }) }),
    fc.record({
        type: fc.constant("appliedLate" as const),
        delayMs: fc.constant(1),
        count: fc.integer({ min: 1, max: 8 }),
    }),
    fc.record({
        type: fc.constant("outage" as const),
        manner: fc.constantFrom("refuse" as const, "drop" as const),
        count: fc.integer({ min: 1, max: 8 }),
    }),
    fc.record({ type: fc.constant("staleReads" as const), ageMs: fc.integer({ min: 1, max: 300 }) }),
);
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
        command(`edit(${operator}, ${JSON.stringify(edit)}, ${hasChosenId})`, operators => {
            const operation = {
                id: `op${operators.operations.length}`,
                edit,
                hasChosenId,
                seen: [],
                results: [],
                runs: 0,
            };
            operators.operations.push(operation);
            operators.start(operator, operation);
        })
    ),
    fc.tuple(operatorIndex, fc.nat(5)).map(([operator, age]) =>
        command(`repeat(${operator}, ${age})`, operators => {
            const operation = operators.operations.at(-1 - age);
            if (operation !== undefined) {
                operators.start(operator, operation);
            }
        })
    ),
    fc.tuple(operatorIndex, faults).map(([operator, fault]) =>
        command(`fault(${operator}, ${JSON.stringify(fault)})`, operators => operators.setFaults(operator, [fault]))
    ),
    operatorIndex.map(operator => command(`late(${operator})`, operators => operators.applyLate(operator))),
    fc.array(fc.nat(20), { minLength: 1, maxLength: 25 }).map(choices =>
        command(`steps(${choices.join(",")})`, async operators => {
            for (const choice of choices) {
                await operators.step(choice);
            }
        })
    ),
];

/** Number of sequences; `FUZZ_RUNS` sets a larger one for a long run. */
const Runs = Number(process.env["FUZZ_RUNS"] ?? 300);
const Seed = Number(process.env["FUZZ_SEED"] ?? 20_260_101);

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
                    const loaded = await loadConfiguration(new LocalPlatformStore(operators.objects));
                    const values = loaded.isOk ? loaded.value.resources : [];
                    expect(new Set(values)).toEqual(new Set(resources.values()));
                },
            ),
            { numRuns: Runs, seed: Seed },
        );
    }, 600_000);
});
