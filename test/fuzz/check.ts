/** Runs many sequences with fast-check; shared by the specs and the command line. */
import fc from "fast-check";
import {
    createFigures,
    type FuzzFigures,
    runSequence,
    type Sequence,
    SequenceArbitrary,
    type WorldChanges,
} from "./sequence.js";

/** Result of a run. */
export interface FuzzResult {
    readonly figures: FuzzFigures;
    /** Number of the sequence that failed, from 1; `undefined` when none did. */
    readonly failedAt: number | undefined;
    /** Seed and path, the smallest failing sequence and its error; empty when none failed. */
    readonly report: string;
}

/** What to run. */
export interface FuzzOptions {
    readonly seed: number;
    readonly sequences: number;
    readonly changes?: WorldChanges;
    /** Whether a failing sequence is reduced to a small one. */
    readonly shrink?: boolean;
}

/** Runs sequences until one fails. */
export function checkSequences({ seed, sequences, changes = {}, shrink = true }: FuzzOptions): FuzzResult {
    const figures = createFigures();
    const property = fc.property(SequenceArbitrary, sequence => void runSequence(sequence, changes, figures));
    const details = fc.check(property, { seed, numRuns: sequences, endOnFailure: !shrink });
    const [smallest] = details.counterexample ?? [];
    return {
        figures,
        failedAt: details.failed ? details.numRuns : undefined,
        report: details.failed ?
            `seed ${seed}, path ${details.counterexamplePath}\n${formatSequence(smallest)}\n${details.errorInstance}` :
            "",
    };
}

function formatSequence(sequence: Sequence | undefined): string {
    return JSON.stringify(sequence);
}
