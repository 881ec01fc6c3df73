import { beforeEach, describe, expect, it } from "vitest";
import { SeededRandom } from "../../base/random.js";
import { RateLimitTestFleet, type RateLimitTestPlan } from "../../standins/rateLimitTestFleet.js";

/** Rate and time of the users' example, and the users' rule for any one second. */
const ColdPerS = 11;
const ColdMs = 3_000;
const allowedCount = (requestsPerS: number): number => 1.5 * requestsPerS + 5;

/** Time until the hosts know each other, and maximum time until they know of a change in the store, in milliseconds. */
const StartMs = 2_000;
const LearningMs = 300;

/** Time after the cold period until an upstream gets its full share, in milliseconds: the two steps of the warming, and a margin. */
const WarmingMs = 2_500;

const MinUsedPart = 0.8;

const fleets = [
    { hostCount: 8, zoneCount: 3, upstreamCount: 3, requestsPerS: 200 },
    { hostCount: 64, zoneCount: 4, upstreamCount: 5, requestsPerS: 300 },
    { hostCount: 195, zoneCount: 6, upstreamCount: 5, requestsPerS: 400 },
];

function createFleet(plan: Partial<RateLimitTestPlan>): RateLimitTestFleet {
    const fleet = new RateLimitTestFleet({
        ...fleets[1]!,
        seed: 5,
        clockErrorMs: 100,
        coldRequestsPerS: ColdPerS,
        coldStartMs: ColdMs,
        ...plan,
    });
    fleet.play(StartMs);
    return fleet;
}

/** Stops and starts all upstreams, so that nothing else takes the load. @returns The time of the start. */
function restartAll(fleet: RateLimitTestFleet, coldLeftMs: number | undefined = ColdMs): number {
    fleet.limitsPerS.forEach((_, upstream) => fleet.stopUpstream(upstream));
    fleet.play(LearningMs);
    fleet.limitsPerS.forEach((_, upstream) => fleet.startUpstream(upstream, coldLeftMs));
    return fleet.nowMs;
}

/** @returns Number of requests that an upstream got in a span of time. */
const countBetween = (fleet: RateLimitTestFleet, upstream: number, fromMs: number, toMs: number): number =>
    fleet.arrivalCount(upstream, fromMs) - fleet.arrivalCount(upstream, toMs);

/** Expects that no upstream got more in any second than the rule allows, up to now. */
function expectWithinBound(fleet: RateLimitTestFleet, fromMs: number): void {
    const counts = fleet.limitsPerS.map((_, upstream) => fleet.worstCount(upstream, fromMs, 1_000));
    expect(Math.max(...counts)).toBeLessThanOrEqual(allowedCount(ColdPerS));
}

describe("ColdLimits", () => {
    describe.each(fleets)("given $hostCount hosts and upstreams that start", plan => {
        it.each([2, 6.5, 11, 20])(
            "sends %d a second and most of that while they are cold (guards against hosts that each send what all may)",
            coldRequestsPerS => {
                const fleet = createFleet({ ...plan, coldRequestsPerS });
                const fromMs = restartAll(fleet, 10_000);
                fleet.play(10_000);
                fleet.limitsPerS.forEach((_, upstream) => {
                    expect(fleet.worstCount(upstream, fromMs, 1_000)).toBeLessThanOrEqual(
                        allowedCount(coldRequestsPerS),
                    );
                    const count = countBetween(fleet, upstream, fromMs + 1_000, fleet.nowMs);
                    expect(count / (9 * coldRequestsPerS)).toBeGreaterThanOrEqual(MinUsedPart);
                });
            },
        );

        it("uses them fully after the cold time (guards against a limit that outlives the need)", () => {
            const fleet = createFleet(plan);
            const fromMs = restartAll(fleet);
            fleet.play(ColdMs);
            expectWithinBound(fleet, fromMs);
            fleet.play(WarmingMs);
            const refusedCount = fleet.refusedCount;
            fleet.play(2_000);
            expect(fleet.refusedCount).toBe(refusedCount);
            fleet.limitsPerS.forEach((_, upstream) => {
                const share = 2 * plan.requestsPerS / plan.upstreamCount;
                expect(countBetween(fleet, upstream, fleet.nowMs - 2_000, fleet.nowMs)).toBeGreaterThan(0.7 * share);
            });
        });
    });

    describe("given demand that comes in bursts", () => {
        it.each([300, 700, 1_000, 1_500, 2_000])(
            "keeps the bound after pauses of %d ms (guards against slots that are saved up)",
            pauseMs => {
                const fleet = createFleet({ upstreamCount: 2 });
                const fromMs = restartAll(fleet, 20_000);
                for (let burst = 0; burst < 6; burst++) {
                    fleet.requestsPerS = 0;
                    fleet.play(pauseMs);
                    fleet.requestsPerS = 1_500;
                    fleet.play(1_000);
                }
                expectWithinBound(fleet, fromMs);
            },
        );
    });

    describe("given one cold upstream among others", () => {
        // In a large fleet the others take part of the requests that a host has while it may use a slot.
        it.each([
            { ...fleets[0]!, usedPart: MinUsedPart },
            { ...fleets[1]!, usedPart: 0.6 },
        ])("sends the rest to the others, $hostCount hosts (guards against refusals while there is room)", plan => {
            const fleet = createFleet(plan);
            fleet.stopUpstream(0);
            fleet.play(LearningMs);
            const { refusedCount, nowMs: fromMs } = fleet;
            fleet.startUpstream(0, ColdMs);
            fleet.play(ColdMs);
            expect(fleet.worstCount(0, fromMs, 1_000)).toBeLessThanOrEqual(allowedCount(ColdPerS));
            const count = countBetween(fleet, 0, fromMs + LearningMs, fleet.nowMs);
            expect(count).toBeGreaterThanOrEqual(plan.usedPart * ColdPerS * (ColdMs - LearningMs) / 1_000);
            expect(fleet.refusedCount).toBe(refusedCount);
        });

        it("keeps the bound where the entry does not state the cold time (guards against a start that only its time tells)", () => {
            const fleet = createFleet({});
            const fromMs = restartAll(fleet, undefined);
            fleet.play(ColdMs - LearningMs);
            expectWithinBound(fleet, fromMs);
        });

        it("keeps the bound when a running one becomes cold again (guards against a limit only after the start)", () => {
            const fleet = createFleet({});
            fleet.setColdLeft(0, ColdMs);
            fleet.play(LearningMs);
            const fromMs = fleet.nowMs;
            fleet.play(ColdMs - LearningMs);
            expect(fleet.worstCount(0, fromMs, 1_000)).toBeLessThanOrEqual(allowedCount(ColdPerS));
        });

        it("keeps the lower limit where it states one (guards against a cold limit that replaces a stated one)", () => {
            const fleet = createFleet({});
            fleet.limitsPerS[0] = 4;
            fleet.play(2_000);
            fleet.setColdLeft(0, 8_000);
            fleet.play(1_000);
            const fromMs = fleet.nowMs;
            fleet.play(7_000);
            expect(fleet.worstCount(0, fromMs, 1_000)).toBeLessThanOrEqual(allowedCount(4));
            expect(fleet.arrivalCount(0, fromMs)).toBeGreaterThanOrEqual(MinUsedPart * 4 * 7);
        });
    });

    describe("given hosts that are cut off", () => {
        let fleet: RateLimitTestFleet;

        beforeEach(() => {
            fleet = createFleet({ seed: 7 });
        });

        it("keeps the bound while some have lost the store (guards against hosts that do not learn of a start)", () => {
            fleet.hosts.slice(0, 12).forEach(host => fleet.loseStore(host));
            const fromMs = restartAll(fleet);
            fleet.play(ColdMs);
            expectWithinBound(fleet, fromMs);
            expect(fleet.countColdHosts(0)).toBe(fleet.hosts.length);
        });

        it("keeps the bound while some have lost the other hosts (guards against slots that are used twice)", () => {
            fleet.hosts.slice(0, 12).forEach(host => host.isCutOff = true);
            const fromMs = restartAll(fleet);
            fleet.play(ColdMs);
            expectWithinBound(fleet, fromMs);
        });

        it("treats every upstream as cold once both are silent, until one is back (guards against hosts that know of nothing)", () => {
            const isolated = fleet.hosts.slice(0, 6);
            isolated.forEach(host => {
                host.isCutOff = true;
                fleet.loseStore(host);
            });
            fleet.play(3_100);
            expect(fleet.countColdHosts(0)).toBe(isolated.length);
            const fromMs = restartAll(fleet);
            fleet.play(ColdMs);
            expectWithinBound(fleet, fromMs);
            isolated.slice(0, 3).forEach(host => host.isCutOff = false);
            isolated.slice(3).forEach(host => fleet.regainStore(host));
            fleet.play(10_000);
            expect(fleet.countColdHosts(0)).toBe(0);
        });
    });

    describe("given hosts that are killed and started, and clocks that differ", () => {
        it.each([1, 2, 3, 4, 5, 6, 7, 8])(
            "keeps the bound, seed %d (guards against slots that two processes use)",
            seed => {
                const fleet = createFleet({ ...fleets[seed % 3]!, seed });
                const random = new SeededRandom(seed);
                const pick = () => fleet.hosts.filter(() => random.next() < 0.15);
                pick().forEach(host => fleet.loseStore(host));
                pick().filter(({ storeLostAtMs }) => storeLostAtMs === undefined).forEach(host => host.isCutOff = true);
                const fromMs = restartAll(fleet, 9_000);
                for (let part = 0; part < 6; part++) {
                    const killed = pick();
                    killed.forEach(host => host.isDown = true);
                    fleet.play(700);
                    killed.forEach(host => {
                        host.isDown = false;
                        fleet.regainStore(host);
                        fleet.restart(host);
                    });
                    pick().forEach(host => fleet.restart(host));
                    fleet.play(800);
                }
                expectWithinBound(fleet, fromMs);
            },
        );
    });

    describe("given entries that state a cold time of long ago", () => {
        let fleet: RateLimitTestFleet;

        /** Lets all upstreams become cold at all hosts. */
        const becomeCold = (coldLeftMs: number): void => {
            fleet.limitsPerS.forEach((_, upstream) => fleet.setColdLeft(upstream, coldLeftMs));
            fleet.play(LearningMs);
        };

        beforeEach(() => {
            fleet = createFleet({});
        });

        it("limits a host that starts only until the others do not confirm it (guards against refusals after each start of a host)", () => {
            becomeCold(20_000);
            fleet.play(20_000 + WarmingMs);
            fleet.restart(fleet.hosts[0]!);
            expect(fleet.countColdHosts(0)).toBe(1);
            fleet.play(5_000);
            expect(fleet.countColdHosts(0)).toBe(0);
        });

        it("does not limit the others when one starts or regains the store (guards against an old time that spreads)", () => {
            fleet.loseStore(fleet.hosts[1]!);
            becomeCold(ColdMs);
            fleet.play(ColdMs + WarmingMs);
            expect(fleet.countColdHosts(0)).toBe(0);
            fleet.restart(fleet.hosts[0]!);
            fleet.regainStore(fleet.hosts[1]!);
            fleet.play(1_000);
            expect(fleet.countColdHosts(0)).toBe(1);
        });

        it("keeps the bound when all hosts start while upstreams are cold (guards against hosts that wait for each other's word)", () => {
            becomeCold(9_000);
            fleet.hosts.forEach(host => fleet.restart(host));
            const fromMs = fleet.nowMs;
            fleet.play(9_000 - LearningMs);
            expectWithinBound(fleet, fromMs);
        });
    });

    describe("given a service without a cold rate", () => {
        it.each([undefined, 0])(
            "limits nothing, rate %s (guards against a component that is active where nobody asked for it)",
            coldRequestsPerS => {
                const { upstreamCount } = fleets[0]!;
                const play = (coldLeftMs: number | undefined) => {
                    const fleet = createFleet({ ...fleets[0]!, coldRequestsPerS });
                    fleet.hosts.slice(0, 2).forEach(host => {
                        host.isCutOff = true;
                        fleet.loseStore(host);
                    });
                    restartAll(fleet, coldLeftMs);
                    fleet.play(6_000);
                    expect(fleet.hosts.every(({ limits }) => limits.isEmpty)).toBe(true);
                    expect(fleet.hosts.every(({ limits }) => JSON.stringify(limits.dumpState()) === "[]")).toBe(true);
                    const counts = Array.from({ length: upstreamCount }, (_, index) => fleet.arrivalCount(index, 0));
                    return { counts, messageCount: fleet.messageCount, refusedCount: fleet.refusedCount };
                };
                expect(play(ColdMs)).toEqual(play(undefined));
                expect(play(ColdMs).messageCount).toBe(0);
            },
        );
    });
});
