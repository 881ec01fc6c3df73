import { describe, expect, it } from "vitest";
import { isNestedDeeper } from "./nesting.js";

/** @returns Arrays within arrays around a number. */
const nest = (levels: number): unknown => Array.from({ length: levels }).reduce(inner => [inner], 1);

describe("isNestedDeeper", () => {
    describe("given nested arrays and objects", () => {
        it("counts their levels (guards against values that fill the stack when they are written)", () => {
            expect(isNestedDeeper(nest(3), 3)).toBe(false);
            expect(isNestedDeeper(nest(4), 3)).toBe(true);
            expect(isNestedDeeper({ a: [{ b: 1 }], c: 2 }, 3)).toBe(false);
            expect(isNestedDeeper({ a: [{ b: [1] }] }, 3)).toBe(true);
            expect(isNestedDeeper(nest(20_000), 3)).toBe(true);
        });

        it("takes empty and plain values for flat", () => {
            expect([undefined, 1, "text", {}, []].filter(value => isNestedDeeper(value, 0))).toEqual([]);
        });
    });
});
