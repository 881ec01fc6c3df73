/**
 * Runs many sequences: `npm run fuzz -- --sequences 10000 --seed N`. `--claims` runs keyed requests. `--breaks`
 * runs each deliberate fault instead, and prints after how many sequences it is caught.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { checkSequences, type FuzzOptions } from "./check.js";
import { checkClaimSequences } from "./claimCheck.js";
import { ClaimMutations } from "./claimMutations.js";
import { Mutations } from "./mutations.js";

/** Result of either fuzzer. */
interface RunResult {
    readonly figures: object;
    readonly commandCounts: Readonly<Record<string, number>>;
    readonly failedAt: number | undefined;
    readonly report: string;
}

type Run = (options: FuzzOptions) => RunResult;

const options = yargs(hideBin(process.argv))
    .option("sequences", { type: "number", default: 1_000, alias: "runs", describe: "sequences to run" })
    .option("seed", { type: "number", default: Date.now() % 1_000_000_000, describe: "seed of the run" })
    .option("claims", { type: "boolean", default: false, describe: "run keyed requests and tickets" })
    .option("breaks", {
        type: "boolean",
        default: false,
        describe: "count the sequences until each deliberate fault is caught",
    })
    .strict()
    .parseSync();

function runBreaks(runs: readonly (readonly [string, Run])[]): void {
    for (const [name, run] of runs) {
        const { failedAt, report } = run({ ...options, shrink: false });
        console.log(`| ${name} | ${failedAt ?? "not caught"} | ${report.split("\n").at(-1)!.slice(0, 90)} |`);
        process.exitCode = failedAt === undefined ? 1 : process.exitCode;
    }
}

function runOnce(run: Run): void {
    const startedMs = Date.now();
    const { figures, commandCounts, failedAt, report } = run(options);
    const violations = failedAt === undefined ? 0 : 1;
    const seconds = (Date.now() - startedMs) / 1_000;
    console.log(JSON.stringify({ ...figures, commandCounts, violations, seconds }));
    if (failedAt !== undefined) {
        console.log(`failed after ${failedAt} sequences\n${report}`);
        process.exitCode = 1;
    }
}

console.log(`seed ${options.seed}, ${options.sequences} sequences`);
if (!options.breaks) {
    runOnce(options.claims ? checkClaimSequences : checkSequences);
}
else if (options.claims) {
    runBreaks(
        Object.entries(ClaimMutations).map(([name, create]) =>
            [name, fuzzOptions => checkClaimSequences(fuzzOptions, create)] as const
        ),
    );
}
else {
    runBreaks(
        Object.entries(Mutations).map(([name, changes]) =>
            [name, fuzzOptions => checkSequences({ ...fuzzOptions, changes })] as const
        ),
    );
}
