/** Runs many sequences of keyed requests; shared by the specs and the command line. */
import fc from "fast-check";
import { countCommands } from "./check.js";
import {
    ClaimSequenceArbitrary,
    type CreateIdempotency,
    createIdempotency,
    runClaimSequence,
} from "./claimSequence.js";

/** Seed and number of sequences of a run. */
export interface ClaimFuzzOptions {
    readonly seed: number;
    readonly sequences: number;
    /** Whether a failing sequence is reduced to a small one. */
    readonly shrink?: boolean;
}

/** Totals of a run, and its first failure. */
export interface ClaimFuzzResult {
    readonly figures: {
        sequences: number;
        commands: number;
        keyedRequests: number;
        /** Keyed requests by the outcome of their claim; `none` when their process ended first. */
        outcomes: Record<string, number>;
    };
    /** Commands performed, by type. */
    readonly commandCounts: Readonly<Record<string, number>>;
    /** Number of the sequence that failed, from 1; `undefined` when none did. */
    readonly failedAt: number | undefined;
    /** Seed and path, the smallest failing sequence and its error; empty when none failed. */
    readonly report: string;
}

/** Runs sequences until one fails; a failure is part of the result, not thrown. */
export function checkClaimSequences(
    { seed, sequences, shrink = true }: ClaimFuzzOptions,
    create: CreateIdempotency = createIdempotency,
): ClaimFuzzResult {
    const figures: ClaimFuzzResult["figures"] = { sequences: 0, commands: 0, keyedRequests: 0, outcomes: {} };
    const commandCounts: Record<string, number> = {};
    const property = fc.property(ClaimSequenceArbitrary, sequence => {
        countCommands(sequence.commands, commandCounts);
        const gateway = runClaimSequence(sequence, create);
        figures.sequences++;
        figures.commands += sequence.commands.length;
        for (const { outcome } of gateway.keyed.values()) {
            const name = outcome?.status === "refused" ? outcome.code : outcome?.status ?? "none";
            figures.keyedRequests++;
            figures.outcomes[name] = (figures.outcomes[name] ?? 0) + 1;
        }
    });
    const details = fc.check(property, { seed, numRuns: sequences, endOnFailure: !shrink });
    const smallest = JSON.stringify(details.counterexample?.[0]);
    return {
        figures,
        commandCounts,
        failedAt: details.failed ? details.numRuns : undefined,
        report: details.failed ?
            `seed ${seed}, path ${details.counterexamplePath}\n${smallest}\n${details.errorInstance}` :
            "",
    };
}
