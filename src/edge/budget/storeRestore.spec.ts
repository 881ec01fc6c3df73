import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { BudgetTestFleet } from "../../standins/budgetTestFleet.js";
import { type BudgetManager, isRefusal } from "./budgetManager.js";
import { HostBudgetStateSchema } from "./spendingRecord.js";

/** Tokens of one request, interval of requests and time until the end of a play, in milliseconds. */
const RequestTokens = 500;
const IntervalMs = 100;
const EndMs = 60_000;

/** Time for which the store is away before it comes back, in milliseconds. */
const AwayMs = 2_000;

/** Hosts that spend the tokens of one team, and what they have spent together. */
class SpendingFleet {
    readonly fleet = new BudgetTestFleet();
    readonly managers = new Map<string, BudgetManager>();
    /** Hosts that neither work nor notice anything. */
    readonly frozen = new Set<string>();
    spentTokens = 0;
    refusedCount = 0;

    constructor(hostIds: readonly string[]) {
        this.fleet.hostIds = [...hostIds];
        hostIds.forEach(hostId => this.start(hostId));
    }

    /** Starts a host, or replaces its process. */
    start(hostId: string): void {
        this.managers.set(hostId, this.fleet.startHost(hostId));
    }

    get awake(): BudgetManager[] {
        return [...this.managers].filter(([hostId]) => !this.frozen.has(hostId)).map(([, manager]) => manager);
    }

    /** Lets requests arrive at hosts, which settle them at their full cost. */
    async spend(durationMs: number, hostIds: readonly string[] = [...this.managers.keys()]): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += IntervalMs) {
            for (const hostId of hostIds.filter(id => !this.frozen.has(id))) {
                const manager = this.managers.get(hostId)!;
                void manager.reserve(`r${elapsedMs}`, "t", RequestTokens, 1_000).then(result => {
                    if (isRefusal(result)) {
                        this.refusedCount++;
                        return;
                    }
                    if (this.managers.get(hostId) === manager) {
                        manager.settle("t", result, RequestTokens);
                    }
                    this.spentTokens += RequestTokens;
                });
            }
            await this.fleet.advance(this.awake, IntervalMs);
        }
    }

    /** Lets the store be away and come back from a copy. */
    async restore(copy: ReturnType<BudgetTestFleet["store"]["copy"]>, hostIds?: readonly string[]): Promise<void> {
        this.fleet.store.fault = "down";
        await this.spend(AwayMs, hostIds);
        this.fleet.store.fault = "none";
        this.fleet.restoreStore(copy, this.awake);
    }

    /** @returns Incarnation that the stored record of a host names as its owner. */
    owner(hostId: string): string {
        return HostBudgetStateSchema.parse(this.fleet.store.copy().get(`host-${hostId}`)?.value).owner;
    }

    /** Lets a frozen host go on; it notices the restore then. */
    wake(hostId: string): void {
        this.frozen.delete(hostId);
        this.managers.get(hostId)!.onStoreRestored(this.fleet.store.history);
    }
}

describe("budgets after a restore of the store", () => {
    let play: SpendingFleet;

    beforeEach(() => {
        play = new SpendingFleet(["a", "b"]);
    });

    describe("given a store that has come back before the hosts start", () => {
        it("grants at once where no ledger is stored yet (guards against a start that is taken for a restore)", async () => {
            const fleet = new BudgetTestFleet();
            fleet.store.history = 3;
            const manager = fleet.startHost("a");
            await fleet.advance([manager], 500);
            expect(await manager.reserve("r", "t", RequestTokens, 0)).not.toSatisfy(isRefusal);
        });
    });

    describe("given a grant that the copy lacks", () => {
        it("does not give the same tokens to another host (guards against tokens that are granted twice)", async () => {
            await play.spend(1_000);
            const copy = play.fleet.store.copy();
            await play.spend(14_000, ["a"]);
            await play.restore(copy, ["a"]);
            await play.spend(EndMs);
            expect(play.spentTokens).toBeLessThanOrEqual(play.fleet.prepaidTokens);
            expect(play.spentTokens).toBeGreaterThan(0.95 * play.fleet.prepaidTokens);
        });
    });

    describe("given a holder that is frozen during the restore", () => {
        it("keeps its tokens for it (guards against tokens of a host that has not been heard)", async () => {
            await play.spend(1_000);
            const copy = play.fleet.store.copy();
            await play.spend(14_000, ["a"]);
            play.frozen.add("a");
            await play.restore(copy, ["b"]);
            await play.spend(10_000, ["b"]);
            play.wake("a");
            await play.spend(EndMs);
            expect(play.spentTokens).toBeLessThanOrEqual(play.fleet.prepaidTokens);
            expect(play.spentTokens).toBeGreaterThan(0.95 * play.fleet.prepaidTokens);
        });
    });

    describe("given a process that was replaced after the copy", () => {
        it("goes on writing its record (guards against a host that takes itself for replaced)", async () => {
            await play.spend(3_000);
            const copy = play.fleet.store.copy();
            play.start("a");
            await play.spend(3_000);
            const before = play.owner("a");
            await play.restore(copy);
            expect(play.owner("a")).not.toBe(before);
            await play.spend(EndMs);
            expect(play.owner("a")).toBe(before);
            expect(play.spentTokens).toBeLessThanOrEqual(play.fleet.prepaidTokens);
        });
    });

    const faults: readonly [string, readonly Step["what"][]][] = [
        ["pauses", ["spend", "spend", "copy", "restore", "freeze"]],
        ["pauses and restarts", ["spend", "spend", "copy", "restore", "freeze", "restart"]],
    ];

    describe.each(faults)("given restores and %s at random", (_name, whats) => {
        it("never spends more than was paid (guards against tokens that one of the histories forgets)", async () => {
            const step = fc.record({
                host: fc.nat(2),
                what: fc.constantFrom(...whats),
                durationMs: fc.integer({ min: 200, max: 4_000 }),
            });
            await fc.assert(
                fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 14 }), async steps => {
                    const random = new SpendingFleet(HostIds);
                    await playSteps(random, steps);
                    await random.spend(40_000);
                    expect(random.spentTokens).toBeLessThanOrEqual(random.fleet.prepaidTokens);
                }),
                { seed: 33, numRuns: 40, endOnFailure: true },
            );
        });
    });
});

const HostIds = ["a", "b", "c"];

/** One step of a random play. */
interface Step {
    readonly host: number;
    readonly what: "spend" | "copy" | "restore" | "freeze" | "restart";
    readonly durationMs: number;
}

/** Plays steps, each followed by requests at all hosts or at one. */
async function playSteps(play: SpendingFleet, steps: readonly Step[]): Promise<void> {
    await play.spend(500);
    let copy = play.fleet.store.copy();
    for (const { host, what, durationMs } of steps) {
        const hostId = HostIds[host]!;
        switch (what) {
            case "copy":
                copy = play.fleet.store.copy();
                break;
            case "restore":
                await play.restore(copy);
                break;
            case "restart":
                play.start(hostId);
                break;
            case "freeze":
                play.frozen.add(hostId);
                await play.spend(durationMs);
                play.wake(hostId);
                break;
            case "spend":
        }
        await play.spend(durationMs, durationMs % 2 === 0 ? HostIds : [hostId]);
    }
}
