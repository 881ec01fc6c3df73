#!/usr/bin/env node
/** Operator tool: runs one command against the platform and the routers. */
import { userInfo } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { hideBin } from "yargs/helpers";
import { SystemClock } from "../base/clock.js";
import { SystemRandom } from "../base/random.js";
import { formatProblems, readSettings } from "../base/settings.js";
import { type ControlContextFactory, runCli } from "../control/cli.js";
import { ControlSettingsSchema } from "../control/controlSettings.js";
import { HttpOperatorClient } from "../control/httpOperatorClient.js";
import { HttpHostList, HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { PlatformClient } from "../platform/platformClient.js";

/** Opened by the command, if one runs; closed at the end. */
let connection: PlatformClient | undefined;

const openContext: ControlContextFactory = args => {
    const settings = readSettings(ControlSettingsSchema, args.settings);
    if (settings.isErr) {
        return formatProblems(settings.error);
    }
    const { platformUrl, timeoutMs, connectTimeoutMs, operatorToken, author, retryMs } = settings.value;
    connection = new PlatformClient(
        { url: args.platform ?? platformUrl, timeoutMs, connectTimeoutMs },
        () => undefined,
    );
    return {
        store: new HttpPlatformStore(connection),
        hostList: new HttpHostList(connection),
        operatorClient: new HttpOperatorClient(operatorToken, timeoutMs),
        clock: new SystemClock(),
        random: new SystemRandom(),
        sleep: durationMs => sleep(durationMs),
        author: args.author ?? author ?? userInfo().username,
        retryMs,
    };
};

const result = await runCli(hideBin(process.argv), openContext);
process.stdout.write(result.stdout);
process.stderr.write(result.stderr);
await connection?.close();
process.exitCode = result.exitCode;
