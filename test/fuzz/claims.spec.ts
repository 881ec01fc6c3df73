import { describe, expect, it } from "vitest";
import { checkClaimSequences } from "./claimCheck.js";
import { ClaimMutations } from "./claimMutations.js";
import { runClaimSequence } from "./claimSequence.js";
import { FailedClaimSequences } from "./failedClaimSequences.js";

/** Number of sequences of the run without a deliberate fault. */
const SequenceCount = 150;

/** Number of sequences within which a deliberate fault must be found. */
const BreakSequenceCount = 600;

describe("claims under faults", () => {
    describe("with the real controller", () => {
        it("run work once and bill it once (guards against doubled sales and swapped responses)", () => {
            expect(checkClaimSequences({ seed: 4, sequences: SequenceCount }).report).toBe("");
        }, 60_000);
    });

    describe("in sequences that once failed", () => {
        it.each(Object.entries(FailedClaimSequences))("hold: %s", (_failure, sequence) => {
            expect(() => runClaimSequence(sequence)).not.toThrow();
        });
    });

    describe("with a deliberate break", () => {
        it.each(Object.entries(ClaimMutations))(
            "%s is found (guards against an oracle that detects nothing)",
            (_, create) => {
                const options = { seed: 4, sequences: BreakSequenceCount, shrink: false };
                expect(checkClaimSequences(options, create).failedAt).toBeGreaterThan(0);
            },
            60_000,
        );
    });
});
