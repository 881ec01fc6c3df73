#!/usr/bin/env node
/** Chaos test: runs the programs as processes, injects failures and checks invariants. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { inspect } from "node:util";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCodes } from "../base/exitCodes.js";
import { configureLog, log } from "../base/log.js";
import { type FailureKind, FailureKinds } from "../chaos/chaosFailures.js";
import { formatReport, summarise } from "../chaos/chaosReport.js";
import { ChaosRun } from "../chaos/chaosRun.js";

const options = await yargs(hideBin(process.argv))
    .scriptName("toucan-chaos")
    .usage(
        "$0 --seed N --seconds S\n\nRuns platform, routers and upstreams on loopback, injects failures during random " +
            "traffic and checks the result.\nThe last line is JSON. Exit codes: 0 done, 1 a property was violated or " +
            "the run failed, 2 usage.",
    )
    .option("seed", { type: "number", default: 1, describe: "seed of traffic, failures and operator commands" })
    .option("seconds", { type: "number", default: 60, describe: "duration of the traffic, at most 600" })
    .option("rate", { type: "number", default: 25, describe: "mean rate of new requests a second" })
    .option("max-requests", { type: "number", default: 20_000, describe: "limit on the number of new requests" })
    .option("max-failures", { type: "number", default: 1_000, describe: "limit on the number of failures" })
    .option("failures", { choices: FailureKinds, array: true, default: FailureKinds, describe: "kinds to draw from" })
    .option("quiet-seconds", {
        type: "number",
        default: 60,
        describe: "maximum wait after the traffic until the state is consistent",
    })
    .option("keep-files", {
        type: "boolean",
        default: false,
        describe: "keep settings and logs even if no property is violated",
    })
    .option("log-level", { choices: ["error", "warn", "info", "debug"] as const, default: "info" as const })
    .check(({ seconds, rate }) => seconds > 0 && seconds <= 600 && rate > 0 || "--seconds or --rate is out of range")
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseAsync();
configureLog(options.logLevel, "text");

const run = new ChaosRun({
    seed: options.seed,
    durationMs: options.seconds * 1_000,
    ratePerS: options.rate,
    maxRequests: options.maxRequests,
    maxFailures: options.maxFailures,
    failureKinds: options.failures as readonly FailureKind[],
    quietTimeoutMs: options.quietSeconds * 1_000,
    keepFiles: options.keepFiles,
    onProgress: message => log.info(message),
});

async function abort(reason: string): Promise<void> {
    log.error(`the run is aborted: ${reason}`);
    await run.abort();
    process.exit(ExitCodes.Failed);
}

for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => void abort(signal));
}
process.once("unhandledRejection", error => void abort(inspect(error)));
process.once("uncaughtException", error => void abort(inspect(error)));

try {
    const result = await run.run();
    if (result.directory !== undefined) {
        writeFileSync(join(result.directory, "violations.json"), JSON.stringify(result.violations, undefined, 1));
        writeFileSync(join(result.directory, "evidence.json"), JSON.stringify(result.evidence));
    }
    process.stdout.write(`${formatReport(result)}\n${JSON.stringify(summarise(options.seed, result))}\n`);
    process.exit(result.violations.length === 0 ? ExitCodes.Done : ExitCodes.Failed);
}
catch (error) {
    await abort(inspect(error));
}
