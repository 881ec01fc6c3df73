import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../base/random.js";
import { chooseUpstream, scoreOf, type UpstreamCandidate } from "./chooseUpstream.js";

const settings = { randomChoices: 2, prefixAffinity: true, affinityLoadBound: 1.25 };
const choice = (name: string, overrides: Partial<UpstreamCandidate> = {}): UpstreamCandidate => ({
    name,
    slots: 8,
    ownInFlight: 0,
    otherLoad: 0,
    slownessFactor: 1,
    weight: 1,
    ...overrides,
});
const names = ["a", "b", "c", "d"];

function countsOf(choices: readonly UpstreamCandidate[], count: number, prefixKey?: string): Map<string, number> {
    const random = new SeededRandom(5);
    const counts = new Map<string, number>();
    for (let index = 0; index < count; index++) {
        const { name } = chooseUpstream(choices, prefixKey, random, settings);
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}

describe("scoreOf", () => {
    it("grows with load and slowness, even without load (guards against an idle slow upstream that scores best)", () => {
        expect(scoreOf(choice("a", { slownessFactor: 10 }))).toBeGreaterThan(scoreOf(choice("b", { ownInFlight: 4 })));
        expect(scoreOf(choice("a", { weight: 2 }))).toBeLessThan(scoreOf(choice("b")));
    });
});

describe("chooseUpstream", () => {
    describe("when all upstreams are equal", () => {
        it("spreads the requests (guards against hosts that all choose the same upstream)", () => {
            const counts = countsOf(names.map(name => choice(name)), 400);
            names.forEach(name => expect(counts.get(name)).toBeGreaterThan(60));
        });
    });

    describe("when one upstream is slow", () => {
        it("nearly always chooses another one (guards against slow responses)", () => {
            const choices = names.map(name => choice(name, name === "a" ? { slownessFactor: 10 } : {}));
            expect(countsOf(choices, 400).get("a") ?? 0).toBeLessThan(4);
        });
    });

    describe("when the prompt has a prefix", () => {
        it("chooses the same upstream while its load permits (guards against a cold cache)", () => {
            expect(countsOf(names.map(name => choice(name)), 50, "p").size).toBe(1);
        });

        it("chooses others when its load exceeds the bound (guards against one overloaded upstream)", () => {
            const preferred = [...countsOf(names.map(name => choice(name)), 1, "p").keys()][0]!;
            const choices = names.map(name => choice(name, { ownInFlight: name === preferred ? 6 : 1 }));
            expect(countsOf(choices, 50, "p").get(preferred)).toBeUndefined();
        });
    });
});
