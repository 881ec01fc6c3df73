import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../base/random.js";
import {
    RateLimitTestFleet,
    type RateLimitTestHost,
    type RateLimitTestPlan,
} from "../../standins/rateLimitTestFleet.js";

/** Span in which requests are counted, and time from the first statement until the limit holds, in milliseconds. */
const SpanMs = 4_000;
const StableWindowMs = 3_000;

/** Time until the hosts know each other, and time for which a limit is played, in milliseconds. */
const StartMs = 2_000;
const LimitedMs = 16_000;

/** Part of a limit that must be used where all requests go to limited upstreams. */
const MinUsedPart = 0.7;

/** The allowance of the users' rule: one and a half times the limit, and five requests over. */
const allowedCount = (limitPerS: number): number => 1.5 * limitPerS * SpanMs / 1_000 + 5;

const fleets = [
    { hostCount: 8, zoneCount: 3, upstreamCount: 8, requestsPerS: 35 },
    { hostCount: 65, zoneCount: 4, upstreamCount: 20, requestsPerS: 180 },
    { hostCount: 195, zoneCount: 6, upstreamCount: 20, requestsPerS: 90 },
    { hostCount: 403, zoneCount: 6, upstreamCount: 20, requestsPerS: 180 },
];

/** Plays a fleet in which the first upstreams have limits. @returns The fleet, and the time at which the limits began. */
function play(
    plan: Omit<RateLimitTestPlan, "seed"> & { seed?: number; },
    limitsPerS: readonly number[],
    disturb: (fleet: RateLimitTestFleet) => void = fleet => fleet.play(LimitedMs),
): { fleet: RateLimitTestFleet; limitedFromMs: number; } {
    const fleet = new RateLimitTestFleet({ seed: 5, ...plan });
    fleet.play(StartMs);
    limitsPerS.forEach((limitPerS, upstream) => fleet.limitsPerS[upstream] = limitPerS);
    const limitedFromMs = fleet.nowMs;
    disturb(fleet);
    return { fleet, limitedFromMs };
}

/** Expects that no upstream got more than the rule allows. */
function expectWithinLimits(fleet: RateLimitTestFleet, limitsPerS: readonly number[], limitedFromMs: number): void {
    limitsPerS.forEach((limitPerS, upstream) => {
        const count = fleet.worstCount(upstream, limitedFromMs + StableWindowMs, SpanMs);
        expect(count, `upstream ${upstream}, ${limitPerS} a second`).toBeLessThanOrEqual(allowedCount(limitPerS));
    });
}

/** @returns Part of the limits that was used once they held. */
function usedPart(fleet: RateLimitTestFleet, limitsPerS: readonly number[], limitedFromMs: number): number {
    const fromMs = limitedFromMs + StableWindowMs;
    const arrivalCount = limitsPerS.reduce((sum, _, upstream) => sum + fleet.arrivalCount(upstream, fromMs), 0);
    const allowedPerS = limitsPerS.reduce((sum, limitPerS) => sum + limitPerS, 0);
    return arrivalCount / (allowedPerS * (fleet.nowMs - fromMs) / 1_000);
}

describe("RateLimits", () => {
    describe.each(fleets)("given $hostCount hosts", plan => {
        it.each([0.2, 0.5, 2.9, 20])(
            "keeps one limit of %d a second and uses a part of it (guards against hosts that each send what all may)",
            limitPerS => {
                const { fleet, limitedFromMs } = play(plan, [limitPerS]);
                expectWithinLimits(fleet, [limitPerS], limitedFromMs);
                expect(fleet.arrivalCount(0, limitedFromMs + StableWindowMs)).toBeGreaterThan(0);
                expect(fleet.refusedCount).toBe(0);
            },
        );

        it("uses most of the limits where all upstreams have some (guards against limits that are kept by sending nothing)", () => {
            const limitsPerS = Array.from({ length: plan.upstreamCount }, (_, index) => [0.2, 0.5, 2.9, 1][index % 4]!);
            const { fleet, limitedFromMs } = play(plan, limitsPerS);
            expectWithinLimits(fleet, limitsPerS, limitedFromMs);
            expect(usedPart(fleet, limitsPerS, limitedFromMs)).toBeGreaterThan(MinUsedPart);
            expect(fleet.refusedCount).toBeGreaterThan(0);
        });

        it("tells all hosts of a limit well within the stable window (guards against hosts that learn of it from their own responses)", () => {
            const { fleet } = play(plan, [2.9], started => started.play(StableWindowMs / 2));
            expect(fleet.countLimiting(0)).toBe(plan.hostCount);
        });

        it("ends the limit at all hosts (guards against a limit that outlives the need)", () => {
            const { fleet } = play(plan, [2.9], started => {
                started.play(LimitedMs / 4);
                started.limitsPerS[0] = undefined;
                started.play(LimitedMs / 4);
            });
            expect(fleet.countLimiting(0)).toBe(0);
        });
    });

    describe("given hosts that restart, freeze, fail or are cut off", () => {
        /** Disturbs some hosts every half second. */
        function disturbAtRandom(fleet: RateLimitTestFleet, seed: number): void {
            const random = new SeededRandom(seed);
            const untilMs = fleet.nowMs + LimitedMs;
            while (fleet.nowMs < untilMs) {
                const hosts = fleet.hosts.filter(() => random.next() < 0.1);
                const ended: (() => void)[] = hosts.map(host => disturbHost(fleet, host, random.integer(4)));
                fleet.play(500 + random.integer(1_500));
                ended.forEach(end => end());
            }
        }

        /** @returns Function that ends the disturbance. */
        function disturbHost(fleet: RateLimitTestFleet, host: RateLimitTestHost, kind: number): () => void {
            switch (kind) {
                case 0:
                    fleet.restart(host);
                    return () => undefined;
                case 1:
                    host.isFrozen = true;
                    return () => fleet.wake(host);
                case 2:
                    host.isDown = true;
                    return () => {
                        host.isDown = false;
                        fleet.restart(host);
                    };
                default:
                    host.isCutOff = true;
                    return () => host.isCutOff = false;
            }
        }

        it.each([1, 2, 3, 4, 5, 6])(
            "keeps the limits, seed %d (guards against shares that are used by two hosts)",
            seed => {
                const plan = { ...fleets[seed % 3]!, seed, clockErrorMs: 500 };
                const limitsPerS = [0.5, 2.9, 3.1, 20];
                const { fleet, limitedFromMs } = play(plan, limitsPerS, started => disturbAtRandom(started, seed));
                // A host that starts sends its first requests before it knows a limit; the rule counts hosts that were told.
                expectWithinLimits(fleet, limitsPerS, limitedFromMs);
            },
        );
    });

    describe("given a wall clock that is stepped", () => {
        it.each([-3_600_000, 3_600_000, -700, 700])(
            "keeps the limit after a step of %d ms (guards against time that is counted twice)",
            stepMs => {
                const { fleet, limitedFromMs } = play(fleets[0]!, [2.9], started => {
                    started.play(LimitedMs / 2);
                    started.hosts.slice(0, 4).forEach(({ clock }) => clock.step(stepMs));
                    started.play(LimitedMs / 2);
                });
                expectWithinLimits(fleet, [2.9], limitedFromMs);
                expect(usedPart(fleet, [2.9], limitedFromMs)).toBeGreaterThan(MinUsedPart / 2);
            },
        );
    });
});
