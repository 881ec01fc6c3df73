/** Operators on one store, whose calls advance only when a test releases them. */
import fc from "fast-check";
import { setImmediate as flush } from "node:timers/promises";
import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import type { ControlContext } from "../../src/control/controlContext.js";
import { FakeOperatorClient } from "../../src/standins/control/controlFixture.js";
import type { FaultInput } from "../../src/standins/platform/faultInjector.js";
import { InMemoryHostList, InMemoryPlatformStore } from "../../src/standins/platform/inMemoryPlatform.js";
import { ObjectStore } from "../../src/standins/platform/objectStore.js";

/** Number of operators that race. */
export const OperatorCount = 3;

/** Operators on one store, each with a connection and faults of its own. Their calls wait until {@link step} releases them. */
export class GatedOperators {
    readonly objects = new ObjectStore();
    readonly contexts: ControlContext[] = [];
    readonly #clock = new ManualClock();
    readonly #stores: InMemoryPlatformStore[] = [];
    readonly #waitingCalls: (() => void)[] = [];
    #running = 0;

    constructor() {
        for (let index = 0; index < OperatorCount; index++) {
            const waitForRelease = (): Promise<void> => new Promise(resolve => this.#waitingCalls.push(resolve));
            const store = new InMemoryPlatformStore(this.objects, { clock: this.#clock, sleep: waitForRelease });
            this.#stores.push(store);
            this.contexts.push({
                store,
                hostList: new InMemoryHostList(),
                operatorClient: new FakeOperatorClient(),
                clock: this.#clock,
                random: new SeededRandom(index),
                sleep: durationMs => {
                    this.#clock.advance(durationMs);
                    return waitForRelease();
                },
                author: `operator${index}`,
                retryMs: 1_000,
            });
        }
    }

    /** Counts a command as running until it ends. */
    async track<T>(command: Promise<T>): Promise<T> {
        this.#running++;
        const result = await command;
        this.#running--;
        return result;
    }

    /** Replaces the faults of an operator's connection. */
    setFaults(operator: number, faults: readonly FaultInput[]): void {
        this.#stores[operator]!.faults.set(faults);
    }

    /** Applies the delayed writes of an operator. */
    applyLateWrites(operator: number): void {
        this.#stores[operator]!.applyLateWrites();
    }

    /** Advances the clock by 10 ms and releases the waiting call at index `choice`, modulo their number. */
    async step(choice: number): Promise<void> {
        this.#clock.advance(10);
        if (this.#waitingCalls.length > 0) {
            this.#waitingCalls.splice(choice % this.#waitingCalls.length, 1)[0]!();
        }
        await flush();
    }

    /** Ends all faults and commands, and performs late writes. */
    async finish(): Promise<void> {
        this.#stores.forEach(store => store.faults.set([]));
        for (let choice = 0; this.#running > 0; choice++) {
            await this.step(choice);
        }
        this.#stores.forEach(store => store.applyLateWrites());
    }
}

/** A step of a sequence, with a check after it. */
export function command<T>(
    name: string,
    run: (real: T) => Promise<void> | void,
    check: (real: T) => void,
): fc.AsyncCommand<object, T> {
    return {
        check: () => true,
        run: async (_model, real) => {
            await run(real);
            check(real);
        },
        toString: () => name,
    };
}

/** Generates the index of an operator. */
export const operatorIndex = fc.nat(OperatorCount - 1);

/** Generates a fault of an operator's connection to the store. */
export const FaultArbitrary: fc.Arbitrary<FaultInput> = fc.oneof(
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

/** Steps that every test of racing operators has: faults, late writes and released calls. */
export function environmentCommands<T extends GatedOperators>(
    check: (real: T) => void,
): fc.Arbitrary<fc.AsyncCommand<object, T>>[] {
    return [
        fc.tuple(operatorIndex, FaultArbitrary).map(([operator, fault]) =>
            command(`fault(${operator}, ${JSON.stringify(fault)})`, real => real.setFaults(operator, [fault]), check)
        ),
        operatorIndex.map(operator => command(`late(${operator})`, real => real.applyLateWrites(operator), check)),
        fc.array(fc.nat(20), { minLength: 1, maxLength: 25 }).map(choices =>
            command(`steps(${choices.join(",")})`, async real => {
                for (const choice of choices) {
                    await real.step(choice);
                }
            }, check)
        ),
    ];
}

/** @returns Number of sequences and seed; `FUZZ_RUNS` and `FUZZ_SEED` in the environment override them for a long run. */
export function fuzzParameters(defaultRuns: number): { readonly numRuns: number; readonly seed: number; } {
    return {
        numRuns: Number(process.env["FUZZ_RUNS"] ?? defaultRuns),
        seed: Number(process.env["FUZZ_SEED"] ?? 20_260_101),
    };
}
