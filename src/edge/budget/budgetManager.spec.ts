import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { BudgetTestFleet, flushPendingCalls } from "../../standins/budgetTestFleet.js";
import { type BudgetManager, isRefusal } from "./budgetManager.js";
import type { BudgetRefusal } from "./budgetRefusal.js";
import type { Reservation } from "./teamAccount.js";

function isReserved(result: Reservation | BudgetRefusal): result is Reservation {
    return !isRefusal(result);
}

/** Reserves and settles at the full cost. */
async function spend(keeper: BudgetManager, requestId: string, tokens: number): Promise<boolean> {
    const result = await keeper.reserve(requestId, "t", tokens, 0);
    if (isReserved(result)) {
        keeper.settle("t", result, tokens);
    }
    return isReserved(result);
}

function grantedTokens(keeper: BudgetManager): number {
    const state = keeper.dumpState() as { teams: { t: { grantedTokens: number; }; }; };
    return state.teams.t.grantedTokens;
}

describe("BudgetManager", () => {
    let world: BudgetTestFleet;

    beforeEach(() => {
        world = new BudgetTestFleet();
    });

    describe("before its first record is acknowledged", () => {
        it("spends nothing (guards against two processes that spend the same tokens)", async () => {
            world.store.fault = "down";
            const keeper = world.startHost("a");
            await world.advance([keeper], 2_000);
            expect(await keeper.reserve("r", "t", 10, 1)).toMatchObject({ reason: "heldElsewhere" });
        });
    });

    describe("given a team without a prepaid amount", () => {
        it("reserves without a record", async () => {
            expect(await world.startHost("a").reserve("r", "free", 1_000_000, 1)).toSatisfy(isReserved);
        });
    });

    describe("given two hosts", () => {
        it("spends the whole amount from both, and no more (guards against overspending and false refusals)", async () => {
            const keepers = [world.startHost("a"), world.startHost("b")];
            await world.advance(keepers, 1_000);
            let spent = 0;
            const refused: BudgetRefusal[] = [];
            for (let round = 0; round < 400; round++) {
                const keeper = keepers[round % 2]!;
                void keeper.reserve(`r${round}`, "t", 500, 1_000).then(result => {
                    if (isReserved(result)) {
                        keeper.settle("t", result, 500);
                        spent += 500;
                    }
                    else {
                        refused.push(result);
                    }
                });
                await world.advance(keepers, 100);
            }
            expect(spent).toBeLessThanOrEqual(world.prepaidTokens);
            expect(spent).toBeGreaterThan(0.98 * world.prepaidTokens);
            expect(refused.length).toBeGreaterThan(0);
        });
    });

    describe("in an outage of the store", () => {
        it("goes on as its record ages (guards against teams that stop after a second)", async () => {
            world.hostIds = ["a"];
            const keeper = world.startHost("a");
            await world.advance([keeper], 500);
            let served = 0;
            for (let round = 0; round < 80; round++) {
                world.store.fault = round < 40 ? "none" : "down";
                const startedMs = world.clock.monotonicMs();
                // A request waits for a release that is due, but no longer than its keeper allows.
                void keeper.reserve(`r${round}`, "t", 200, 60_000).then(result => {
                    if (isReserved(result)) {
                        keeper.settle("t", result, 200);
                        served += world.clock.monotonicMs() - startedMs <= 800 ? 1 : 0;
                    }
                });
                await world.advance([keeper], 200);
            }
            expect(served).toBeGreaterThan(75);
        });
    });

    describe("given a request whose caller leaves while it waits for tokens", () => {
        it("ends the wait (guards against tokens that are drawn and borrowed for nobody)", async () => {
            world.hostIds = ["a"];
            const keeper = world.startHost("a");
            await world.advance([keeper], 500);
            for (let round = 0; round < 10; round++) {
                await spend(keeper, `r${round}`, 200);
                await world.advance([keeper], 200);
            }
            world.store.fault = "down";
            await world.advance([keeper], 2_600);
            while (await spend(keeper, "r", 50)) {
                // What the record and its release allow by now is used up; more is released later.
            }
            const caller = new AbortController();
            const startedMs = performance.now();
            const waiting = keeper.reserve("r", "t", 50, 800, caller.signal);
            caller.abort();
            expect(await waiting).toSatisfy(isRefusal);
            expect(performance.now() - startedMs).toBeLessThan(400);
        });
    });

    describe("in an outage of the store, for a team without requests at the host so far", () => {
        it("serves a small request after a while (guards against held tokens that nobody may spend)", async () => {
            const keeper = world.startHost("a");
            await world.advance([keeper], 500);
            world.store.fault = "down";
            await world.advance([keeper], 6_000);
            expect(await keeper.reserve("r", "t", 1_200, 0)).toSatisfy(isReserved);
        });
    });

    describe("after a kill", () => {
        it("frees most of what the killed process held (guards against nothing left to spend)", async () => {
            const killed = world.startHost("a");
            await world.advance([killed], 2_000);
            const successor = world.startHost("a");
            await world.advance([successor], 500);
            expect(await successor.reserve("r", "t", 40_000, 0)).toSatisfy(isReserved);
        });
    });

    describe("after a restart", () => {
        it("holds a share by its predecessor's demand (guards against refusals in an outage after a restart)", async () => {
            const [busy, other] = [world.startHost("a"), world.startHost("b")];
            await world.advance([busy, other], 1_000);
            for (let round = 0; round < 10; round++) {
                await spend(busy, `r${round}`, 2_000);
                await world.advance([busy, other], 500);
            }
            await world.advance([other], 8_000);
            const successor = world.startHost("a");
            await world.advance([successor, other], 1_500);
            expect(grantedTokens(successor)).toBeGreaterThan(20_000);
        });
    });

    describe("given a return of tokens that got no answer", () => {
        it("keeps to it while it may still take effect (guards against tokens that two hosts spend)", async () => {
            const [idle, busy] = [world.startHost("a"), world.startHost("b")];
            await world.advance([idle, busy], 1_000);
            for (let round = 0; round < 4; round++) {
                await busy.reserve(`r${round}`, "t", 5_000, 0);
                await world.advance([busy], 400);
            }
            const before = grantedTokens(idle);
            world.store.fault = "late";
            await world.advance([idle], 9_000);
            expect(grantedTokens(idle)).toBeLessThan(before / 2);
        });
    });

    describe("given another host with tokens to spare", () => {
        let keepers: BudgetManager[];

        beforeEach(async () => {
            keepers = [world.startHost("a"), world.startHost("b")];
            await world.advance(keepers, 1_000);
            for (let round = 0; round < 10; round++) {
                await spend(keepers[0]!, `r${round}`, 3_000);
                await spend(keepers[1]!, `s${round}`, 3_000);
                await world.advance(keepers, 1_000);
            }
            world.store.fault = "down";
        });

        it("borrows what its own record does not cover in an outage (guards against refusals while others hold tokens)", async () => {
            const own = keepers[0]!;
            const costs = [2_500, 2_500];
            const results = await Promise.all(costs.map(async cost => {
                const result = own.reserve("r", "t", cost, 500);
                await flushPendingCalls();
                return result;
            }));
            expect(results).toSatisfy((all: (Reservation | BudgetRefusal)[]) => all.every(isReserved));
            expect(results.filter(isReserved).some(({ borrowedTokens }) => borrowedTokens > 0)).toBe(true);
        });

        it("refuses at once when the others cannot lend either (guards against requests that wait for nothing)", async () => {
            const outcome = keepers[0]!.reserve("r", "t", 30_000, 60_000);
            const result = await Promise.race([outcome, new Promise(resolve => setTimeout(resolve, 300))]);
            expect(result).toMatchObject({ reason: "fragmented" });
        });

        it("is refused when the others cannot be reached, after their time to answer", async () => {
            world.network.fault = "cut";
            const outcome = keepers[0]!.reserve("r", "t", 30_000, 60_000);
            const result = await Promise.race([outcome, new Promise(resolve => setTimeout(resolve, 300))]);
            expect(result).toMatchObject({ reason: "heldElsewhere" });
        });
    });

    describe("on a shutdown", () => {
        it("gives its tokens back", async () => {
            const keeper = world.startHost("a");
            await world.advance([keeper], 1_000);
            await keeper.close();
            const other = world.startHost("b");
            await world.advance([other], 1_000);
            expect(grantedTokens(other)).toBeGreaterThan(40_000);
        });
    });

    describe("given kills, lost answers, late writes, loans and outages in any order", () => {
        const action = fc.oneof(
            fc.record({
                kind: fc.constant("spend" as const),
                host: fc.nat(3),
                tokens: fc.integer({ min: 1, max: 2_500 }),
            }),
            fc.record({ kind: fc.constant("run" as const), host: fc.nat(3), tokens: fc.integer({ min: 1, max: 40 }) }),
            fc.record({ kind: fc.constant("kill" as const), host: fc.nat(3), tokens: fc.constant(0) }),
            fc.record({ kind: fc.constant("late" as const), host: fc.nat(3), tokens: fc.constant(0) }),
            fc.record({ kind: fc.constant("fault" as const), host: fc.nat(3), tokens: fc.constant(0) }),
            fc.record({ kind: fc.constant("peers" as const), host: fc.nat(3), tokens: fc.constant(0) }),
        );

        it("never spends more than the prepaid amount", async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 120 }), async actions => {
                    const fuzzed = new BudgetTestFleet();
                    fuzzed.prepaidTokens = 20_000;
                    const hosts = ["a", "b", "c", "d"];
                    fuzzed.hostIds = hosts;
                    const keepers = hosts.map(host => fuzzed.startHost(host));
                    let spent = 0;
                    const outcomes: Promise<void>[] = [];
                    await fuzzed.advance(keepers, 400);
                    for (const { kind, host, tokens } of actions) {
                        if (kind === "spend") {
                            outcomes.push(
                                keepers[host]!.reserve("r", "t", tokens, 0).then(result => {
                                    spent += isReserved(result) ? tokens : 0;
                                }),
                            );
                            await flushPendingCalls();
                        }
                        else if (kind === "run") {
                            await fuzzed.advance(keepers, tokens * 50);
                        }
                        else if (kind === "kill") {
                            keepers[host] = fuzzed.startHost(hosts[host]!);
                        }
                        else if (kind === "late") {
                            fuzzed.store.applyLateWrites();
                        }
                        else if (kind === "peers") {
                            fuzzed.network.fault = (["none", "cut", "lossy", "repeating"] as const)[host]!;
                        }
                        else {
                            fuzzed.store.fault = (["none", "down", "lost", "late"] as const)[host]!;
                        }
                    }
                    // Everything that is left is spent, so that tokens that exist twice show.
                    fuzzed.store.fault = "none";
                    fuzzed.network.fault = "none";
                    fuzzed.store.applyLateWrites();
                    await fuzzed.advance(keepers, 1_500);
                    for (let round = 0; round < 60; round++) {
                        outcomes.push(...keepers.map(keeper =>
                            keeper.reserve("r", "t", 200, 0).then(result => {
                                spent += isReserved(result) ? 200 : 0;
                            })
                        ));
                        await flushPendingCalls();
                        await fuzzed.advance(keepers, round % 4 === 0 ? 400 : 0);
                    }
                    await Promise.all(outcomes);
                    expect(spent).toBeLessThanOrEqual(fuzzed.prepaidTokens);
                }),
                { numRuns: 150, seed: 20_261_204 },
            );
        });
    });
});
