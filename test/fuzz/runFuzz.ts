/** Runs many sequences: `npm run fuzz -- --sequences 10000 --seed N`. */
import fc from "fast-check";
import { createFigures, runSequence, SequenceArbitrary } from "./sequence.js";

const argument = (name: string, fallback: number): number => {
    const index = process.argv.indexOf(`--${name}`);
    return index < 0 ? fallback : Number(process.argv[index + 1]);
};

const seed = argument("seed", Date.now() % 1_000_000_000);
const sequences = argument("sequences", 1_000);
const figures = createFigures();
const started = Date.now();
console.log(`seed ${seed}, ${sequences} sequences`);
const result = fc.check(
    fc.property(SequenceArbitrary, sequence => {
        runSequence(sequence, {}, figures);
    }),
    { seed, numRuns: sequences, endOnFailure: process.argv.includes("--no-shrink") },
);
console.log(JSON.stringify({ ...figures, seconds: (Date.now() - started) / 1_000 }));
if (result.failed) {
    console.log(`failed after ${result.numRuns} sequences, seed ${result.seed}, path ${result.counterexamplePath}`);
    console.log(JSON.stringify(result.counterexample));
    console.log(String(result.errorInstance));
    process.exitCode = 1;
}
