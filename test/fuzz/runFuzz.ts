/** Runs many sequences: `npm run fuzz -- --sequences 10000 --seed N`; `--breaks` runs every deliberate break instead. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Breaks } from "./breaks.js";
import { checkSequences } from "./check.js";

const options = yargs(hideBin(process.argv))
    .option("sequences", { type: "number", default: 1_000, describe: "sequences to run" })
    .option("seed", { type: "number", default: Date.now() % 1_000_000_000, describe: "seed of the run" })
    .option("breaks", {
        type: "boolean",
        default: false,
        describe: "count the sequences that each break needs to fail",
    })
    .strict()
    .parseSync();

console.log(`seed ${options.seed}, ${options.sequences} sequences`);
if (options.breaks) {
    for (const [name, changes] of Object.entries(Breaks)) {
        const result = checkSequences({ ...options, changes, shrink: false });
        console.log(
            `| ${name} | ${result.failedAt ?? "not caught"} | ${result.report.split("\n").at(-1)!.slice(0, 90)} |`,
        );
        process.exitCode = result.failedAt === undefined ? 1 : process.exitCode;
    }
}
else {
    const startedMs = Date.now();
    const result = checkSequences(options);
    console.log(JSON.stringify({ ...result.figures, seconds: (Date.now() - startedMs) / 1_000 }));
    if (result.failedAt !== undefined) {
        console.log(`failed after ${result.failedAt} sequences\n${result.report}`);
        process.exitCode = 1;
    }
}
