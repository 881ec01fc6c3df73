import { beforeEach, describe, expect, it } from "vitest";
import { BudgetTestFleet, flushPendingCalls } from "../../standins/budgetTestFleet.js";
import { type BudgetManager, isRefusal } from "./budgetManager.js";

const StepMs = 250;

/** Requests of each step: prompts of little urgency ask first and need ten times the tokens. */
const Kinds = [{ name: "long", rank: 1, tokens: 9_000, perStep: 2 }, {
    name: "short",
    rank: 0,
    tokens: 900,
    perStep: 3,
}];

/** Long prompts in the outage as a multiple of the usual number. */
const BurstFactor = 3;

describe("budgets of requests that differ in urgency", () => {
    let fleet: BudgetTestFleet;
    let managers: BudgetManager[];
    let asked: Record<string, number>;
    let served: Record<string, number>;

    /**
     * Plays both kinds at all hosts.
     * @param hasRanks Whether the hosts state the urgency of the requests.
     * @param longFactor Number of long prompts as a multiple of the usual one.
     */
    async function play(durationMs: number, hasRanks: boolean, longFactor = 1): Promise<void> {
        asked = { long: 0, short: 0 };
        served = { long: 0, short: 0 };
        const outcomes: Promise<void>[] = [];
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += StepMs) {
            for (const { name, rank, tokens, perStep } of Kinds) {
                const total = name === "long" ? perStep * longFactor : perStep;
                for (let count = 0; count < total; count++) {
                    asked[name]!++;
                    const manager = managers[count % managers.length]!;
                    outcomes.push(
                        manager.reserve("r", "t", tokens, 0, undefined, hasRanks ? rank : 0).then(result => {
                            if (!isRefusal(result)) {
                                served[name]!++;
                                manager.settle("t", result, tokens);
                            }
                        }),
                    );
                }
            }
            await flushPendingCalls();
            await fleet.advance(managers, StepMs);
        }
        await Promise.all(outcomes);
    }

    const shareOf = (name: string): number => served[name]! / asked[name]!;

    beforeEach(async () => {
        fleet = new BudgetTestFleet();
        fleet.prepaidTokens = 20_000_000;
        managers = [fleet.startHost("a"), fleet.startHost("b")];
        await fleet.advance(managers, 1_000);
        await play(10_000, true);
    });

    describe("in an outage of the store", () => {
        it("serves the urgent ones first (guards against short prompts refused for tokens that long ones took)", async () => {
            fleet.store.fault = "down";
            await play(8_000, true, BurstFactor);
            expect(shareOf("short")).toBeGreaterThanOrEqual(0.95);
            expect(shareOf("long")).toBeGreaterThan(0.2);
        });

        it("serves the urgent ones also while the hosts do not reach each other", async () => {
            fleet.store.fault = "down";
            fleet.network.fault = "cut";
            await play(8_000, true, BurstFactor);
            expect(shareOf("short")).toBeGreaterThanOrEqual(0.95);
        });

        it("refuses many of them where their urgency is not stated (guards against a test that cannot fail)", async () => {
            fleet.store.fault = "down";
            await play(8_000, false, BurstFactor);
            expect(shareOf("short")).toBeLessThan(0.9);
        });
    });

    describe("while the store responds", () => {
        it("serves all kinds (guards against a reserve that costs requests without need)", async () => {
            await play(8_000, true);
            expect([shareOf("short"), shareOf("long")]).toEqual([1, 1]);
        });
    });

    describe("when a host that lends is replaced in an outage", () => {
        it("still serves the urgent ones at the other host", async () => {
            fleet.store.fault = "down";
            await play(4_000, true, BurstFactor);
            managers = [managers[1]!];
            await play(4_000, true, BurstFactor);
            expect(shareOf("short")).toBeGreaterThanOrEqual(0.9);
        });
    });
});
