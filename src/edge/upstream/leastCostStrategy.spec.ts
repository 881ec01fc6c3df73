import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { SeededRandom } from "../../base/random.js";
import type { Placement } from "../../scheduling/promptPlacement.js";
import {
    capacityPerS,
    type ModelTraffic,
    PlacementModel,
    type PlacementPlan,
    type PlacementResult,
} from "../../standins/placementModel.js";
import { Upstream } from "./upstream.js";
import { chooseUpstream } from "./upstreamChoice.js";

const Seeds = [1, 2, 3];

/** A smaller deployment with the proportions of basged-router-grown. */
const Narrow = plan({
    slots: 12,
    stepMs: 5.09,
    prefillTokensPerMs: 51.1,
    slowFactor: 1,
    long: traffic(200, 9_190, 6_300, 615, 400, 5_126),
    short: traffic(129, 826, 0, 407, 400, 15_244),
});

/** A smaller deployment with the proportions of murtal-heat-grown. */
const Wide = plan({
    slots: 24,
    stepMs: 4.37,
    prefillTokensPerMs: 93.6,
    slowFactor: 1.3,
    long: traffic(171, 9_190, 6_300, 1_215, 300, 5_063),
    short: traffic(194, 826, 0, 407, 300, 15_244),
});

function traffic(
    requestsPerS: number,
    promptTokens: number,
    sharedTokens: number,
    objectiveMs: number,
    pauseObjectiveMs: number,
    deadlineMs: number,
): ModelTraffic {
    return { requestsPerS, promptTokens, sharedTokens, outputTokens: 300, objectiveMs, pauseObjectiveMs, deadlineMs };
}

function plan(
    engine: Pick<PlacementPlan, "slots" | "stepMs" | "prefillTokensPerMs" | "slowFactor" | "long" | "short">,
): Omit<PlacementPlan, "seed"> {
    return { ...engine, hostCount: 50, zoneCount: 3, engineCount: 36, durationMs: 7_000 };
}

/** Plays the same load with the rule by number of requests and with the one by cost; results are means over the seeds. */
function play(base: Omit<PlacementPlan, "seed">, load: number): { byLoad: PlacementResult; byCost: PlacementResult; } {
    const factor = load * capacityPerS(base) / (base.long.requestsPerS + base.short.requestsPerS);
    const scaled = (kind: ModelTraffic) => ({ ...kind, requestsPerS: kind.requestsPerS * factor });
    const playAll = (isPlacedByCost: boolean) =>
        mean(
            Seeds.map(seed =>
                new PlacementModel(
                    { ...base, seed, long: scaled(base.long), short: scaled(base.short) },
                    isPlacedByCost,
                ).run()
            ),
        );
    return { byLoad: playAll(false), byCost: playAll(true) };
}

function mean(results: readonly PlacementResult[]): PlacementResult {
    const names = Object.keys(results[0]!) as (keyof PlacementResult)[];
    return Object.fromEntries(
        names.map(name => [name, results.reduce((sum, result) => sum + result[name], 0) / results.length]),
    ) as unknown as PlacementResult;
}

/** A play of the model takes one to two seconds; other tests may use the machine at the same time. */
const PlayTimeoutMs = 60_000;

const deployments = [["12 slots", Narrow], ["24 slots", Wide]] as const;
const conditions = [
    ["all reports and engines", {}],
    ["no reports of other hosts from half-time on", { reportsEndMs: 3_500 }],
    ["an engine that dies at half-time", { deathMs: 3_500 }],
] as const;
const cases = deployments.flatMap(([slots, base]) =>
    conditions.map(([condition, changes]) => [slots, condition, { ...base, ...changes }] as const)
);

describe("placement by cost in the model of a fleet", () => {
    describe.each(cases)("given engines with %s and %s", (_slots, _condition, base) => {
        it(
            "serves more short prompts in time at 1.1 of capacity, and not fewer long ones (guards against short prompts that queue while engines are idle)",
            () => {
                const { byLoad, byCost } = play(base, 1.1);
                expect(byCost.shortInTime).toBeGreaterThan(byLoad.shortInTime);
                expect(byCost.longInTime).toBeGreaterThanOrEqual(byLoad.longInTime);
                expect(byCost.busiestToMean).toBeLessThan(byLoad.busiestToMean);
                expect(byCost.otherZoneFraction).toBeLessThan(byLoad.otherZoneFraction);
            },
            PlayTimeoutMs,
        );

        // The rule by number of requests serves up to all short prompts at this load, so that more cannot be required.
        it(
            "serves short prompts in time at 0.7 of capacity, and not fewer long ones (guards against long prompts that delay the streams beside them)",
            () => {
                const { byLoad, byCost } = play(base, 0.7);
                expect(byCost.shortInTime).toBeGreaterThan(Math.min(0.98, byLoad.shortInTime));
                expect(byCost.longInTime).toBeGreaterThanOrEqual(byLoad.longInTime);
                expect(byCost.busiestToMean).toBeLessThan(byLoad.busiestToMean);
                expect(byCost.otherZoneFraction).toBeLessThan(byLoad.otherZoneFraction);
            },
            PlayTimeoutMs,
        );
    });
});

describe("chooseUpstream", () => {
    describe("given an engine with few slots", () => {
        it.each([[24, true], [25, false], [undefined, false]])(
            "places by cost only with fewer than half as many slots as there are hosts: %s of 50 (guards against a change for other deployments)",
            (engineSlots, isPlacedByCost) => {
                const clock = new ManualClock();
                const upstream = new Upstream({
                    id: "u",
                    service: "s",
                    address: "10.0.0.1:80",
                    zone: "b",
                    slots: 24,
                    isLeaving: false,
                    startedAtMs: 0,
                }, clock);
                const placements: Placement[] = [];
                chooseUpstream({
                    candidates: [upstream],
                    promptParts: [],
                    promptTokens: 800,
                    excludedUpstreamIds: new Set(),
                    zone: "a",
                    isGeneration: true,
                    nowMs: clock.monotonicMs(),
                    hostCount: 50,
                    peerLoad: () => ({ openRequestCount: 0, waitingPrefillTokens: 0 }),
                    isWithinLimit: () => true,
                    engineSlots,
                    onPlaced: placement => placements.push(placement),
                }, new SeededRandom(1));
                expect(placements).toEqual(isPlacedByCost ? [{ reason: "otherZone", prefillTokens: 800 }] : []);
            },
        );
    });
});
