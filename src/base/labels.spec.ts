import { describe, expect, it } from "vitest";
import { MatchAllSelector, matchesSelector, parseSelector, selectorKeys } from "./labels.js";

describe("selectors", () => {
    describe("given the text form", () => {
        it("matches each operator (guards against requests routed by the wrong labels)", () => {
            const selector = parseSelector("app=chat,tier in (a, b),!legacy,zone!=z1,owner")!;
            const labels = { app: "chat", tier: "a", zone: "z2", owner: "x" };
            expect(matchesSelector(selector, labels)).toBe(true);
            expect(matchesSelector(selector, { ...labels, tier: "c" })).toBe(false);
            expect(matchesSelector(selector, { ...labels, legacy: "" })).toBe(false);
            expect(matchesSelector(selector, { ...labels, zone: "z1" })).toBe(false);
            expect(matchesSelector(selector, { app: "chat", tier: "a" })).toBe(false);
        });

        it("rejects malformed terms (guards against a typo that selects everything)", () => {
            expect(parseSelector("app=")).toBeUndefined();
            expect(parseSelector("a b")).toBeUndefined();
            expect(parseSelector("tier in a")).toBeUndefined();
        });
    });

    describe("given an empty selector", () => {
        it("matches all labels and refers to no key", () => {
            expect(parseSelector("")).toEqual(MatchAllSelector);
            expect(matchesSelector(MatchAllSelector, {})).toBe(true);
            expect(selectorKeys(MatchAllSelector)).toEqual([]);
        });
    });
});
