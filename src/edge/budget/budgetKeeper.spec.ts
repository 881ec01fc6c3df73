import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { BudgetKeeper, type ReservationResult } from "./budgetKeeper.js";

const Key = "ledger";

type Fault = "none" | "down" | "lost" | "late";

/** A store with one object. `lost` writes take effect without an answer, `late` ones only later if their version holds. */
class FaultyStore extends PlatformStore {
    fault: Fault = "none";
    calls = 0;
    #value: unknown;
    #version = 0;
    readonly #late: (() => void)[] = [];

    applyLate(): void {
        for (const write of this.#late.splice(0)) {
            write();
        }
    }

    override get(): Promise<ReadOutcome> {
        this.calls++;
        if (this.fault === "down") {
            return Promise.resolve({ status: "unavailable", reason: "down" });
        }
        return Promise.resolve(
            this.#version === 0 ? { status: "absent" } : { status: "found", object: this.#object() },
        );
    }

    override put(_key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.calls++;
        const stored: unknown = JSON.parse(JSON.stringify(value));
        if (this.fault === "down") {
            return Promise.resolve({ status: "refused", reason: "down" });
        }
        if (this.fault === "late") {
            this.#late.push(() => this.#write(stored, expectedVersion));
            return Promise.resolve({ status: "unknown", reason: "late" });
        }
        const outcome = this.#write(stored, expectedVersion);
        return Promise.resolve(this.fault === "lost" ? { status: "unknown", reason: "lost" } : outcome);
    }

    override delete(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override list(): Promise<ListOutcome> {
        throw new Error("not used");
    }

    override watch(): Promise<WatchOutcome> {
        throw new Error("not used");
    }

    #write(value: unknown, expectedVersion: number): WriteOutcome {
        if (expectedVersion !== this.#version) {
            return { status: "conflict", current: this.#version === 0 ? undefined : this.#object() };
        }
        this.#value = value;
        this.#version++;
        return { status: "applied", version: this.#version };
    }

    #object() {
        return { key: Key, version: this.#version, revision: this.#version, value: this.#value };
    }
}

async function settleCalls(): Promise<void> {
    for (let turn = 0; turn < 40; turn++) {
        await Promise.resolve();
    }
}

class World {
    readonly clock = new ManualClock();
    readonly store = new FaultyStore();
    prepaidTokens = 100_000;
    #starts = 0;

    start(hostId: string): BudgetKeeper {
        return new BudgetKeeper({
            clock: this.clock,
            store: this.store,
            key: Key,
            hostId,
            incarnation: `${hostId}-${++this.#starts}`,
            peerAddress: `${hostId}:1`,
            start: { wallMs: this.clock.wallMs(), steadyMs: this.clock.monotonicMs() },
            steadyMs: () => this.clock.monotonicMs(),
            expectedHostCount: 2,
            prepaidTokens: team => team === "free" ? undefined : this.prepaidTokens,
            limitedTeams: () => ["t"],
        });
    }

    async run(keepers: readonly BudgetKeeper[], durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            this.clock.advance(50);
            for (const keeper of keepers) {
                keeper.tick();
            }
            await settleCalls();
        }
    }
}

function grantedTokens(keeper: BudgetKeeper): number {
    const state = keeper.dumpState() as { teams: { t: { grantedTokens: number; }; }; };
    return state.teams.t.grantedTokens;
}

describe("BudgetKeeper", () => {
    let world: World;

    beforeEach(() => {
        world = new World();
    });

    describe("before its first record is acknowledged", () => {
        it("spends nothing (guards against two processes that spend the same tokens)", async () => {
            world.store.fault = "down";
            const keeper = world.start("a");
            await world.run([keeper], 2_000);
            expect(await keeper.reserve("r", "t", 10, 1)).toBe("heldElsewhere");
        });
    });

    describe("given a team without a prepaid amount", () => {
        it("reserves without a record", async () => {
            expect(await world.start("a").reserve("r", "free", 1_000_000, 1)).toBe("reserved");
        });
    });

    describe("given two hosts", () => {
        it("spends the whole amount from both, and no more (guards against overspending and false refusals)", async () => {
            const keepers = [world.start("a"), world.start("b")];
            await world.run(keepers, 1_000);
            let spent = 0;
            let refused: ReservationResult = "reserved";
            for (let round = 0; round < 400; round++) {
                const keeper = keepers[round % 2]!;
                const outcome = keeper.reserve(`r${round}`, "t", 500, 1_000);
                await world.run(keepers, 100);
                // The wait for tokens has a real timer; closed accounts decide without it.
                const result = await Promise.race([outcome, Promise.resolve("fragmented" as const)]);
                if (result === "reserved") {
                    keeper.settle("t", 500, 500);
                    spent += 500;
                }
                else {
                    refused = result;
                }
            }
            expect(spent).toBeLessThanOrEqual(world.prepaidTokens);
            expect(spent).toBeGreaterThan(0.98 * world.prepaidTokens);
            expect(refused).not.toBe("reserved");
        });
    });

    describe("in an outage of the store", () => {
        it("goes on as its record ages (guards against teams that stop after a second)", async () => {
            const keeper = world.start("a");
            await world.run([keeper], 500);
            let served = 0;
            for (let round = 0; round < 80; round++) {
                world.store.fault = round < 40 ? "none" : "down";
                if (await keeper.reserve(`r${round}`, "t", 200, 0) === "reserved") {
                    keeper.settle("t", 200, 200);
                    served++;
                }
                await world.run([keeper], 200);
            }
            expect(served).toBeGreaterThan(75);
        });
    });

    describe("in an outage of the store, for a team without requests at the host so far", () => {
        it("serves a small request after a while (guards against held tokens that nobody may spend)", async () => {
            const keeper = world.start("a");
            await world.run([keeper], 500);
            world.store.fault = "down";
            await world.run([keeper], 6_000);
            expect(await keeper.reserve("r", "t", 1_200, 0)).toBe("reserved");
        });
    });

    describe("after a kill", () => {
        it("frees most of what the killed process held (guards against nothing left to spend)", async () => {
            const killed = world.start("a");
            await world.run([killed], 2_000);
            const successor = world.start("a");
            await world.run([successor], 500);
            expect(await successor.reserve("r", "t", 40_000, 0)).toBe("reserved");
        });
    });

    describe("after a restart", () => {
        it("holds a share by its predecessor's demand (guards against refusals in an outage after a restart)", async () => {
            const [busy, other] = [world.start("a"), world.start("b")];
            await world.run([busy, other], 1_000);
            for (let round = 0; round < 10; round++) {
                await busy.reserve(`r${round}`, "t", 2_000, 0);
                busy.settle("t", 2_000, 2_000);
                await world.run([busy, other], 500);
            }
            await world.run([other], 8_000);
            const successor = world.start("a");
            await world.run([successor, other], 1_500);
            expect(grantedTokens(successor)).toBeGreaterThan(20_000);
        });
    });

    describe("given a return of tokens that got no answer", () => {
        it("keeps to it while it may still take effect (guards against tokens that two hosts spend)", async () => {
            const [idle, busy] = [world.start("a"), world.start("b")];
            await world.run([idle, busy], 1_000);
            for (let round = 0; round < 4; round++) {
                await busy.reserve(`r${round}`, "t", 5_000, 0);
                await world.run([busy], 400);
            }
            const before = grantedTokens(idle);
            world.store.fault = "late";
            await world.run([idle], 9_000);
            expect(grantedTokens(idle)).toBeLessThan(before / 2);
        });
    });

    describe("on a shutdown", () => {
        it("gives its tokens back", async () => {
            const keeper = world.start("a");
            await world.run([keeper], 1_000);
            await keeper.close();
            const other = world.start("b");
            await world.run([other], 1_000);
            expect(grantedTokens(other)).toBeGreaterThan(40_000);
        });
    });

    describe("given kills, lost answers, late writes and outages in any order", () => {
        const action = fc.oneof(
            fc.record({
                kind: fc.constant("spend" as const),
                host: fc.nat(2),
                tokens: fc.integer({ min: 1, max: 2_500 }),
            }),
            fc.record({ kind: fc.constant("run" as const), host: fc.nat(2), tokens: fc.integer({ min: 1, max: 40 }) }),
            fc.record({ kind: fc.constant("kill" as const), host: fc.nat(2), tokens: fc.constant(0) }),
            fc.record({ kind: fc.constant("late" as const), host: fc.nat(2), tokens: fc.constant(0) }),
            fc.record({ kind: fc.constant("fault" as const), host: fc.nat(3), tokens: fc.constant(0) }),
        );

        it("never spends more than the prepaid amount", async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 120 }), async actions => {
                    const fuzzed = new World();
                    fuzzed.prepaidTokens = 20_000;
                    const hosts = ["a", "b", "c"];
                    const keepers = hosts.map(host => fuzzed.start(host));
                    let spent = 0;
                    const outcomes: Promise<void>[] = [];
                    await fuzzed.run(keepers, 400);
                    for (const { kind, host, tokens } of actions) {
                        if (kind === "spend") {
                            outcomes.push(
                                keepers[host]!.reserve("r", "t", tokens, 0).then(result => {
                                    spent += result === "reserved" ? tokens : 0;
                                }),
                            );
                            await settleCalls();
                        }
                        else if (kind === "run") {
                            await fuzzed.run(keepers, tokens * 50);
                        }
                        else if (kind === "kill") {
                            keepers[host] = fuzzed.start(hosts[host]!);
                        }
                        else if (kind === "late") {
                            fuzzed.store.applyLate();
                        }
                        else {
                            fuzzed.store.fault = (["none", "down", "lost", "late"] as const)[host]!;
                        }
                    }
                    // Everything that is left is spent, so that tokens that exist twice show.
                    fuzzed.store.fault = "none";
                    fuzzed.store.applyLate();
                    await fuzzed.run(keepers, 1_500);
                    for (let round = 0; round < 60; round++) {
                        outcomes.push(...keepers.map(keeper =>
                            keeper.reserve("r", "t", 200, 0).then(result => {
                                spent += result === "reserved" ? 200 : 0;
                            })
                        ));
                        await settleCalls();
                        await fuzzed.run(keepers, round % 4 === 0 ? 400 : 0);
                    }
                    await Promise.all(outcomes);
                    expect(spent).toBeLessThanOrEqual(fuzzed.prepaidTokens);
                }),
                { numRuns: 150, seed: 20_261_204 },
            );
        });
    });
});
