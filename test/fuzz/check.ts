/** Runs many sequences with fast-check; shared by the specs and the command line. */
import fc from "fast-check";
import {
    createFigures,
    type FuzzFigures,
    runSequence,
    type Sequence,
    SequenceArbitrary,
    type TestFleetOverrides,
} from "./sequence.js";

/** Totals of a run, and its first failure. */
export interface FuzzResult {
    readonly figures: FuzzFigures;
    /** Commands performed, by type: faults and waits as well as requests. */
    readonly commandCounts: Readonly<Record<string, number>>;
    /** Number of the sequence that failed, from 1; `undefined` when none did. */
    readonly failedAt: number | undefined;
    /** Seed and path, the smallest failing sequence and its error; empty when none failed. */
    readonly report: string;
}

/** Seed and number of sequences of a run. */
export interface FuzzOptions {
    readonly seed: number;
    readonly sequences: number;
    /** Components of the fleet to replace, for deliberate faults. */
    readonly changes?: TestFleetOverrides;
    /** Whether a failing sequence is reduced to a small one. */
    readonly shrink?: boolean;
}

/** Runs sequences until one fails; a failure is part of the result, not thrown. */
export function checkSequences({ seed, sequences, changes = {}, shrink = true }: FuzzOptions): FuzzResult {
    const figures = createFigures();
    const commandCounts: Record<string, number> = {};
    const property = fc.property(SequenceArbitrary, sequence => {
        countCommands(sequence.commands, commandCounts);
        runSequence(sequence, changes, figures);
    });
    const details = fc.check(property, { seed, numRuns: sequences, endOnFailure: !shrink });
    const [smallest] = details.counterexample ?? [];
    return {
        figures,
        commandCounts,
        failedAt: details.failed ? details.numRuns : undefined,
        report: details.failed ?
            `seed ${seed}, path ${details.counterexamplePath}\n${formatSequence(smallest)}\n${details.errorInstance}` :
            "",
    };
}

/** Adds the commands of a sequence to the counts by type. */
export function countCommands(commands: readonly { readonly type: string; }[], counts: Record<string, number>): void {
    for (const { type } of commands) {
        counts[type] = (counts[type] ?? 0) + 1;
    }
}

function formatSequence(sequence: Sequence | undefined): string {
    return JSON.stringify(sequence);
}
