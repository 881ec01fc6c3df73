import { describe, it } from "vitest";
import { FailedSequences } from "./failedSequences.js";
import { runSequence } from "./sequence.js";

describe("sequences that once failed", () => {
    it.each(Object.entries(FailedSequences))("%s", (_failure, sequence) => {
        runSequence(sequence);
    });
});
