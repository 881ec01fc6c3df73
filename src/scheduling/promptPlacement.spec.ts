import { describe, expect, it } from "vitest";
import { SeededRandom } from "../base/random.js";
import {
    choosePlacement,
    expectedPrefillTokens,
    type PlacementCandidate,
    placementCostMs,
    placementReason,
    type PlacementRequest,
} from "./promptPlacement.js";

const Idle: PlacementCandidate = {
    ownOpenRequestCount: 0,
    peerOpenRequestCount: 0,
    waitingPrefillTokens: 0,
    slots: 12,
    isInHostZone: true,
    cachedProbability: 0,
    relativeTime: 1,
};
const Long: PlacementRequest = { promptTokens: 9_190, sharedTokens: 6_300, objectiveMs: 615, pauseObjectiveMs: 400 };
const Short: PlacementRequest = { promptTokens: 826, sharedTokens: 0, objectiveMs: 407, pauseObjectiveMs: 400 };

const costOf = (request: PlacementRequest, changes: Partial<PlacementCandidate>) =>
    placementCostMs({ ...Idle, ...changes }, request);

describe("placementCostMs", () => {
    describe("given a short prompt", () => {
        it("is higher where a long prompt waits than where some streams run (guards against short prompts behind long ones)", () => {
            expect(costOf(Short, { waitingPrefillTokens: 9_190 })).toBeGreaterThan(
                costOf(Short, { peerOpenRequestCount: 8 }),
            );
        });

        it("is higher where no slot is free than where a long prompt waits (guards against queues for slots)", () => {
            expect(costOf(Short, { peerOpenRequestCount: 14 })).toBeGreaterThan(
                costOf(Short, { waitingPrefillTokens: 9_190 }),
            );
        });
    });

    describe("given a long prompt", () => {
        it("counts each stream that it holds up (guards against long prompts where many streams run)", () => {
            const few = costOf(Long, { ownOpenRequestCount: 1, peerOpenRequestCount: 1 });
            const many = costOf(Long, { ownOpenRequestCount: 1, peerOpenRequestCount: 9 });
            expect(many - few).toBeGreaterThan(400);
        });

        it("is lower where the shared parts are cached and in the host's zone", () => {
            expect(costOf(Long, { cachedProbability: 0.9 })).toBeLessThan(costOf(Long, {}));
            expect(costOf(Long, { isInHostZone: false })).toBeGreaterThan(costOf(Long, {}));
            expect(expectedPrefillTokens({ ...Idle, cachedProbability: 0.9 }, Long)).toBe(3_520);
        });

        it("is higher at a slow upstream (guards against equal shares for slow engines)", () => {
            expect(costOf(Long, { relativeTime: 1.3 })).toBeGreaterThan(costOf(Long, {}));
        });
    });
});

describe("choosePlacement", () => {
    describe("given candidates of nearly equal cost", () => {
        it("divides requests between them (guards against many hosts that choose the same one by the same figures)", () => {
            const random = new SeededRandom(1);
            const candidates = [Idle, { ...Idle, peerOpenRequestCount: 1 }];
            const chosen = Array.from({ length: 100 }, () => choosePlacement(candidates, Short, () => random.next()));
            expect(chosen.filter(candidate => candidate === candidates[1]).length).toBeGreaterThan(20);
        });

        it("finds none among no candidates", () => {
            expect(choosePlacement([], Short, () => 0)).toBeUndefined();
        });
    });
});

describe("placementReason", () => {
    describe("given a chosen candidate", () => {
        it("tells cached parts, the own zone and other zones apart", () => {
            expect(placementReason({ ...Idle, cachedProbability: 0.6 }, Long)).toBe("affinity");
            expect(placementReason(Idle, Long)).toBe("leastCost");
            expect(placementReason({ ...Idle, isInHostZone: false }, Short)).toBe("otherZone");
        });
    });
});
