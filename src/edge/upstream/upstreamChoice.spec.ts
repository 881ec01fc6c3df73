import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { SeededRandom } from "../../base/random.js";
import { Upstream } from "./upstream.js";
import { affinityKey, type ChoiceInput, chooseUpstream } from "./upstreamChoice.js";

const parts = (
    shared: string,
) => [{ id: "top", tokens: 2_500 }, { id: shared, tokens: 3_800 }, { id: "own", tokens: 900 }];

describe("chooseUpstream", () => {
    let clock: ManualClock;
    let upstreams: Upstream[];
    const random = new SeededRandom(7);

    const input = (changes: Partial<ChoiceInput> = {}): ChoiceInput => ({
        candidates: upstreams,
        promptParts: [],
        promptTokens: 500,
        excludedUpstreamIds: new Set(),
        zone: "a",
        isGeneration: true,
        nowMs: clock.monotonicMs(),
        hostCount: 8,
        peerLoad: () => ({ openRequestCount: 0, waitingPrefillTokens: 0 }),
        isWithinLimit: () => true,
        ...changes,
    });

    const choose = (changes: Partial<ChoiceInput> = {}) => chooseUpstream(input(changes), random)?.entry.id;

    beforeEach(() => {
        clock = new ManualClock();
        upstreams = Array.from({ length: 8 }, (_, index) =>
            new Upstream({
                id: `u${index}`,
                service: "s",
                address: `10.0.0.${index}:80`,
                zone: "a",
                slots: 128,
                isLeaving: false,
                startedAtMs: 0,
            }, clock));
    });

    describe("given long prompts with a shared prompt part", () => {
        const long = { promptTokens: 9_000, promptParts: parts("ledger-7") };

        it("sends the same part to the same upstream (guards against prompts that several upstreams process)", () => {
            const chosen = new Set(Array.from({ length: 20 }, () => choose(long)));
            expect(chosen.size).toBe(1);
        });

        it("avoids a preferred upstream that is overloaded (guards against queues for a hot key)", () => {
            const preferred = choose(long);
            const upstream = upstreams.find(({ entry }) => entry.id === preferred)!;
            for (let count = 0; count < 10; count++) {
                upstream.beginDispatch(9_000, 1_000);
            }
            expect(choose(long)).not.toBe(preferred);
        });

        it("counts the load that other hosts report (guards against hosts that overload one upstream together)", () => {
            const preferred = choose(long);
            const others = (upstream: Upstream) => (
                { openRequestCount: upstream.entry.id === preferred ? 30 : 0, waitingPrefillTokens: 0 }
            );
            expect(choose({ ...long, peerLoad: others })).not.toBe(preferred);
        });
    });

    describe("given long and short prompts together at peak load", () => {
        it("keeps short prompts away from long ones (guards against tokens delayed by the processing of long prompts)", () => {
            const longIds = new Set<string>();
            const shortIds = new Map<string, number>();
            for (let request = 0; request < 400; request++) {
                const id = choose({ promptTokens: 9_000, promptParts: parts(`ledger-${request % 60}`) })!;
                longIds.add(id);
                shortIds.set(choose() ?? "", (shortIds.get(choose() ?? "") ?? 0) + 1);
            }
            const shortOnLong = [...shortIds].filter(([id]) => longIds.has(id)).reduce(
                (sum, [, count]) => sum + count,
                0,
            );
            expect(longIds.size).toBe(6);
            expect(shortOnLong).toBe(0);
        });

        it("sends short prompts elsewhere when their own upstreams are full (guards against idle upstreams)", () => {
            const first = choose()!;
            const short = new Set([first]);
            for (let count = 0; count < 200; count++) {
                const id = choose()!;
                short.add(id);
                upstreams.find(({ entry }) => entry.id === id)!.beginDispatch(500, 1_000);
            }
            expect(short.size).toBeGreaterThan(2);
        });
    });

    describe("given failing upstreams", () => {
        it("avoids one that fails requests while others are healthy", () => {
            for (let count = 0; count < 8; count++) {
                upstreams[0]!.health.record("failed", clock.monotonicMs());
            }
            const chosen = new Set(Array.from({ length: 100 }, () => choose({ isGeneration: false })));
            expect(chosen.has("u0")).toBe(false);
        });

        it("avoids one that is silent until bytes arrive from it (guards against requests to an unresponsive upstream)", () => {
            const silent = upstreams.slice(1);
            const dispatches = silent.map(upstream => upstream.beginDispatch(0, 300));
            clock.advance(400);
            expect(choose({ isGeneration: false })).toBe("u0");
            silent[0]!.recordResponseBytes(dispatches[0]!);
            upstreams[0]!.beginDispatch(0, 10_000);
            upstreams[0]!.beginDispatch(0, 10_000);
            upstreams[0]!.beginDispatch(0, 10_000);
            expect(choose({ isGeneration: false })).toBe("u1");
        });

        it("tries an avoided one again after a recovery time (guards against a fleet without upstreams)", () => {
            for (let count = 0; count < 8; count++) {
                upstreams[0]!.health.record("failed", clock.monotonicMs());
            }
            clock.advance(10_000);
            expect(upstreams[0]!.health.isAvoided(clock.monotonicMs())).toBe(false);
        });

        it("uses an avoided one when there is no other, but not one that was tried", () => {
            upstreams = upstreams.slice(0, 1);
            upstreams[0]!.health.record("unreachable", clock.monotonicMs());
            expect(choose()).toBe("u0");
            expect(choose({ excludedUpstreamIds: new Set(["u0"]) })).toBeUndefined();
        });
    });

    describe("given upstreams in other zones", () => {
        it("prefers its own zone for plain services (guards against charges for traffic between zones)", () => {
            upstreams = upstreams.map((upstream, index) =>
                new Upstream({ ...upstream.entry, zone: index === 5 ? "a" : "b" }, clock)
            );
            expect(choose({ isGeneration: false })).toBe("u5");
        });
    });
});

describe("affinityKey", () => {
    describe("given prompt parts", () => {
        it("is the id of the longest shared prefix, and undefined for a short one", () => {
            expect(affinityKey(parts("x"))).toBe("x");
            expect(affinityKey([{ id: "a", tokens: 100 }, { id: "b", tokens: 600 }])).toBeUndefined();
        });
    });
});
