#!/usr/bin/env node
/** Stand-in for the platform's object API. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Counters, startMetrics } from "../base/counters.js";
import { ExitCodes } from "../base/exitCodes.js";
import { configureLog, log } from "../base/log.js";
import { formatProblems, readSettings } from "../base/settings.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import { PlatformSettingsSchema } from "../standins/platform/platformSettings.js";

const options = yargs(hideBin(process.argv))
    .scriptName("toucan-platform")
    .usage(
        "$0 [--settings FILE] [--port PORT]\n\nServes an object API in memory, with a host list and faults on request.",
    )
    .option("settings", { type: "string", describe: "JSON settings file" })
    .option("port", { type: "number", describe: "port of the object API, instead of the one in the settings" })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseSync();

const settings = readSettings(PlatformSettingsSchema, options.settings);
if (settings.isErr) {
    process.stderr.write(`${formatProblems(settings.error)}\n`);
    process.exit(ExitCodes.Usage);
}
configureLog(settings.value.log.level, settings.value.log.format);

const counters = new Counters();
const stopMetrics = startMetrics(counters, settings.value.metrics);
const server = new PlatformServer(settings.value, undefined, counters);
try {
    const url = await server.start(options.port);
    log.info("platform is listening", { url });
    process.stdout.write(`${JSON.stringify({ url })}\n`);
}
catch (error) {
    log.error("platform cannot listen", { reason: (error as Error).message });
    process.exit(ExitCodes.Failed);
}

process.on("SIGUSR2", () => process.stdout.write(`${JSON.stringify(server.dumpState())}\n`));
const stop = async (): Promise<void> => {
    await server.stop();
    stopMetrics();
    log.info("platform stopped");
    process.exit(ExitCodes.Done);
};
process.once("SIGTERM", () => void stop());
process.once("SIGINT", () => void stop());
