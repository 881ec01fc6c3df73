#!/usr/bin/env node
/** Measures the idle CPU, network and memory cost of a router by fleet size and configuration size. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCodes } from "../base/exitCodes.js";
import {
    type FleetFigures,
    FullPlan,
    measureFleets,
    measureMemory,
    QuickPlan,
    summarise,
} from "../capacity/capacityRun.js";
import { rounded } from "../capacity/statistics.js";

const options = yargs(hideBin(process.argv))
    .scriptName("toucan-capacity")
    .usage("$0 [--quick]\n\nStarts platform and routers on loopback and measures idle cost. The last line is JSON.")
    .option("quick", { type: "boolean", default: false, describe: "under 2 minutes, with fewer fleet sizes" })
    .option("skip-memory", { type: "boolean", default: false, describe: "do not measure memory per resource" })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseSync();

function writeFigures(figures: FleetFigures): void {
    const { configInForceMs, ...means } = figures;
    const row = Object.entries(means).map(([name, value]) => `${name}=${rounded(value)}`).join(" ");
    process.stdout.write(`${row} configInForceMaxMs=${rounded(Math.max(...configInForceMs))}\n`);
}

const plan = options.quick ? QuickPlan : FullPlan;
try {
    const memory = options.skipMemory ? {} : await measureMemory(plan.settleMs);
    const figures = await measureFleets(plan, writeFigures);
    process.stdout.write(`${JSON.stringify(summarise(figures, memory))}\n`);
}
catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = ExitCodes.Failed;
}
