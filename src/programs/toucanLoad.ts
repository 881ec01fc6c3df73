#!/usr/bin/env node
/** Open-loop load generator: sends requests at the times of a scenario, however long responses take. */
import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { log } from "../base/log.js";
import { ExitCodes } from "../base/program.js";
import { formatProblems, readSettings } from "../base/settings.js";
import { runLoad } from "../load/loadRunner.js";
import { LoadScenarioSchema } from "../load/loadScenario.js";
import { formatSummaries } from "../load/loadStatistics.js";

const options = await yargs(hideBin(process.argv))
    .scriptName("toucan-load")
    .usage(
        "$0 --settings SCENARIO.json\n\nSends an open-loop load to routers. The table goes to standard error and one line " +
            "of JSON to standard output.\nExit codes: 0 done, 1 no request completed, 2 usage or settings.",
    )
    .option("settings", { type: "string", demandOption: true, describe: "JSON scenario" })
    .option("router", { type: "string", array: true, describe: "router URL; replaces those of the scenario" })
    .option("records", { type: "string", describe: "file for one record per request, as JSON" })
    .option("check", { type: "boolean", default: false, describe: "check the scenario and exit" })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseAsync();

const scenario = readSettings(LoadScenarioSchema, options.settings);
if (scenario.isErr) {
    process.stderr.write(`${formatProblems(scenario.error)}\n`);
    process.exitCode = ExitCodes.Usage;
}
else if (options.check) {
    process.stdout.write("settings are valid\n");
}
else {
    const routers = options.router ?? scenario.value.routers;
    const result = await runLoad({ ...scenario.value, routers }, name => log.info(`phase ${name}`));
    if (options.records !== undefined) {
        writeFileSync(options.records, JSON.stringify(result.records));
    }
    process.stderr.write(`${formatSummaries(result.summaries)}\n`);
    process.stdout.write(
        `${JSON.stringify({ sendDelayMaxMs: result.sendDelayMaxMs, summaries: result.summaries })}\n`,
    );
    process.exitCode = result.summaries.some(summary => summary.complete > 0) ? ExitCodes.Done : ExitCodes.Failed;
}
