import { describe, expect, it } from "vitest";
import { ClaimBreaks } from "./claimBreaks.js";
import { checkClaimSequences } from "./claimCheck.js";
import { type ClaimSequence, runClaimSequence } from "./claimSequence.js";

/** Sequences of the run without a break. */
const SequenceCount = 150;

/** Sequences within which a break must be found. */
const BreakSequenceCount = 600;

describe("claims under faults", () => {
    describe("with the real controller", () => {
        it("keep work to one run and one bill (guards against doubled sales and crossed answers)", () => {
            expect(checkClaimSequences({ seed: 4, sequences: SequenceCount }).report).toBe("");
        }, 60_000);
    });

    describe("found by earlier runs", () => {
        it("a host that shuts down cancels its duplicate bill first (guards against a key billed twice)", () => {
            const request = { host: 1, budget: 0, costTokens: 1, usedShare: 0, durationMs: 300 } as const;
            const sequence: ClaimSequence = {
                seed: 2524,
                commands: [
                    { type: "cutStore", host: 1 },
                    { type: "keyedChat", host: 1, key: 0, durationMs: 5 },
                    { ...request, type: "request" },
                    { type: "shutdown", host: 1 },
                    { type: "sale", host: 0, key: 0, durationMs: 5 },
                    { ...request, type: "burst", host: 0, durationMs: 5 },
                    { ...request, type: "request", host: 0, durationMs: 5 },
                    { type: "keyedChat", host: 0, key: 0, durationMs: 5 },
                    { type: "sale", host: 0, key: 0, durationMs: 5 },
                ],
            };
            expect(() => runClaimSequence(sequence)).not.toThrow();
        });
    });

    describe("with a deliberate break", () => {
        it.each(Object.entries(ClaimBreaks))(
            "%s is found (guards against an oracle that sees nothing)",
            (_, create) => {
                const options = { seed: 4, sequences: BreakSequenceCount, shrink: false };
                expect(checkClaimSequences(options, create).failedAt).toBeGreaterThan(0);
            },
            60_000,
        );
    });
});
