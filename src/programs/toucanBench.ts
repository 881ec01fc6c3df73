#!/usr/bin/env node
/** Benchmark that runs deployments with the router's own admission policy and with baseline policies. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCodes } from "../base/exitCodes.js";
import { formatProblems, readSettings } from "../base/settings.js";
import { type BenchDeployment, BenchDeploymentSchema } from "../bench/benchDeployment.js";
import { type BenchDetails, type BenchFigures, FigureCalculator } from "../bench/benchFigures.js";
import { runDeployment } from "../bench/benchRun.js";
import { formatTable } from "../load/loadStatistics.js";

/** The router's own admission policy; all other policies are baselines. */
const OwnPolicy = "adaptive";
/** Factors on the phase durations. With them, quick runs end within 2 minutes and full runs within 10. */
const TimeScales = { quick: { own: 0.65, baseline: 0.3 }, full: { own: 4, baseline: 2.5 } } as const;

const options = await yargs(hideBin(process.argv))
    .scriptName("toucan-bench")
    .usage(
        "$0 [--quick]\n\nRuns the Suds and Georgia deployments as processes on loopback and prints figures for the own policy " +
            "and for baseline policies.\nThe last line is JSON. Exit codes: 0 done, 1 failed, 2 usage or settings.",
    )
    .option("quick", { type: "boolean", default: false, describe: "short phases; under 2 minutes" })
    .option("deployment", { type: "string", array: true, default: ["suds", "georgia"], describe: "names in bench/" })
    .option("policy", {
        type: "string",
        array: true,
        default: [OwnPolicy, "roundRobin", "leastRequests", "singleQueue"],
        describe: "admission policies to run",
    })
    .option("admission", { type: "string", default: "{}", describe: "JSON with admission settings of the own policy" })
    .option("scale", { type: "number", describe: "factor on the phase durations" })
    .option("keep-files", { type: "boolean", default: false, describe: "keep settings, logs and records" })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseAsync();

/** Results of one deployment with one policy. */
interface Row {
    readonly policy: string;
    readonly deployment: string;
    readonly figures: BenchFigures;
    readonly details: BenchDetails;
}

function readDeployment(name: string): BenchDeployment {
    const path = new URL(`../../bench/${name}.json`, import.meta.url);
    const deployment = readSettings(BenchDeploymentSchema, path.pathname);
    if (deployment.isErr) {
        process.stderr.write(`bench/${name}.json: ${formatProblems(deployment.error)}\n`);
        process.exit(ExitCodes.Usage);
    }
    return deployment.value;
}

async function measure(deployment: BenchDeployment, policy: string): Promise<Row> {
    const isOwnPolicy = policy === OwnPolicy;
    const scales = options.quick ? TimeScales.quick : TimeScales.full;
    const observations = await runDeployment(deployment, {
        label: `${deployment.name} ${policy}`,
        admission: { policy, ...(isOwnPolicy ? JSON.parse(options.admission) as object : {}) },
        timeScale: options.scale ?? (isOwnPolicy ? scales.own : scales.baseline),
        keepFiles: options.keepFiles,
        onProgress: message => process.stderr.write(`${message}\n`),
    });
    const calculator = new FigureCalculator(deployment, observations);
    return { policy, deployment: deployment.name, figures: calculator.figures(), details: calculator.details() };
}

function printTable(rows: readonly Row[]): void {
    const names: readonly (keyof BenchFigures)[] = [
        "overspendTokens",
        "falseRefusalRatio",
        "crestGoodputRatio",
        "crestRefusalRatio",
        "crestPriorityFirstTokenP99Ratio",
        "shortP99WithLongWorkRatio",
        "slowedP99Ratio",
        "requests",
    ];
    const header = ["deployment", "figure", ...options.policy, ""];
    const lines = options.deployment.flatMap(deployment =>
        names.map(name => {
            const cells = options.policy.map(policy => {
                const row = rows.find(entry => entry.policy === policy && entry.deployment === deployment);
                return String(row?.figures[name] ?? "-");
            });
            return [deployment, name, ...cells, ""];
        })
    );
    process.stdout.write(`${formatTable(header, lines)}\n`);
    for (const { policy, deployment, details } of rows) {
        process.stdout.write(`${deployment} ${policy}: ${JSON.stringify(details)}\n`);
    }
}

try {
    // The deployments run in parallel, and the policies one after another, so that all policies run in equal conditions.
    const deployments = options.deployment.map(readDeployment);
    const rows: Row[] = [];
    for (const policy of options.policy) {
        rows.push(...await Promise.all(deployments.map(deployment => measure(deployment, policy))));
    }
    printTable(rows);
    const figuresOf = (policy: string) =>
        Object.fromEntries(rows.filter(row => row.policy === policy).map(row => [row.deployment, row.figures]));
    const baselines = options.policy.filter(policy => policy !== OwnPolicy);
    const result = {
        ...figuresOf(OwnPolicy),
        baselines: Object.fromEntries(baselines.map(policy => [policy, figuresOf(policy)])),
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
}
catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = ExitCodes.Failed;
}
