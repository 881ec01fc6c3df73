#!/usr/bin/env node
/** Runs the platform, two routers, upstreams and the Suds example in one process. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCodes } from "../base/exitCodes.js";
import { configureLog, log } from "../base/log.js";
import { createRouter } from "../router/createRouter.js";
import type { RouterProcess } from "../router/routerProcess.js";
import { RouterSettingsSchema } from "../router/routerSettings.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import {
    createExampleResources,
    ExampleApiKey,
    ExamplePaidTokens,
    seedStore,
} from "../standins/router/exampleConfiguration.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";

const EngineCount = 3;
const RouterCount = 2;

/** Interval between checks whether the routers are ready. */
const ReadyCheckMs = 50;
/** Maximum wait until the routers are ready. */
const ReadyTimeoutMs = 20_000;

const options = await yargs(hideBin(process.argv))
    .scriptName("toucan-demo")
    .usage("$0 [--port PORT]\n\nRuns the whole system in one process, with the Suds example. Ctrl-C stops it.")
    .option("port", { type: "number", default: 0, describe: "caller port of the first router; 0 chooses free ports" })
    .option("log-level", { choices: ["error", "warn", "info", "debug"] as const, default: "warn" as const })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? error.message}\n`);
        process.exit(ExitCodes.Usage);
    })
    .parseAsync();
configureLog(options.logLevel, "text");

async function startRouter(index: number, platformUrl: string): Promise<RouterProcess> {
    const router = createRouter(RouterSettingsSchema.parse({
        hostId: `demo-${index + 1}`,
        zone: `zone-${index + 1}`,
        caller: { port: options.port === 0 ? 0 : options.port + index },
        operator: { port: 0 },
        platform: { url: platformUrl },
        features: { lifecycle: { balancerLagMs: 200 } },
    }));
    await router.start();
    return router;
}

async function waitUntilReady(routers: readonly RouterProcess[]): Promise<void> {
    const deadlineMs = performance.now() + ReadyTimeoutMs;
    while (!routers.every(router => router.readReadiness().ready)) {
        if (performance.now() > deadlineMs) {
            throw new Error(
                `not ready: ${routers.map(router => router.readReadiness().reasons.join(", ")).join("; ")}`,
            );
        }
        await new Promise(resolve => {
            setTimeout(resolve, ReadyCheckMs);
        });
    }
}

function describeDemo(platformUrl: string, routers: readonly RouterProcess[]): string {
    const [first, second] = routers.map(router => router.addresses) as [
        RouterProcess["addresses"],
        RouterProcess["addresses"],
    ];
    const key = `-H 'Authorization: Bearer ${ExampleApiKey}'`;
    const chat = "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"Is a dryer free?\"}]";
    return `caller URL   http://${first.caller}   (second host: http://${second.caller})
example key  ${ExampleApiKey}
platform     ${platformUrl}
operator     http://${first.operator}   http://${second.operator}

a JSON response:
  curl -s ${key} -H 'Content-Type: application/json' -d '${chat}}' http://${first.caller}/v1/chat/completions
a streamed response:
  curl -sN ${key} -H 'Content-Type: application/json' -d '${chat},"stream":true}' http://${first.caller}/v1/chat/completions
a token sale; the second host answers the repeated request without a second sale:
  curl -si ${key} -H 'Idempotency-Key: sale-1' -d 'card=7&tokens=10' http://${first.caller}/services/sales/buy
  curl -si ${key} -H 'Idempotency-Key: sale-1' -d 'card=7&tokens=10' http://${second.caller}/services/sales/buy
balances and bills:
  node dist/programs/toucanctl.js --platform ${platformUrl} balances
  node dist/programs/toucanctl.js --platform ${platformUrl} bills

Ctrl-C stops the demo.
`;
}

const platform = new PlatformServer();
const engines = Array.from({ length: EngineCount }, (_, index) =>
    new UpstreamServer({
        name: `assistant-${index + 1}`,
        port: 0,
    }));
const sales = new UpstreamServer({ name: "sales-1", port: 0, type: "service" });
let routers: RouterProcess[] = [];

async function stop(exitCode: number): Promise<void> {
    await Promise.all(routers.map(router => router.stop()));
    await Promise.all([...engines, sales].map(upstream => upstream.stop()));
    await platform.stop();
    process.exit(exitCode);
}

try {
    const platformUrl = await platform.start(0);
    const urls = {
        engines: await Promise.all(engines.map(engine => engine.start())),
        sales: await sales.start(),
    };
    seedStore(platform.objects, createExampleResources(urls), ExamplePaidTokens);
    routers = await Promise.all(Array.from({ length: RouterCount }, (_, index) => startRouter(index, platformUrl)));
    await waitUntilReady(routers);
    process.stdout.write(describeDemo(platformUrl, routers));
    process.once("SIGINT", () => void stop(ExitCodes.Done));
    process.once("SIGTERM", () => void stop(ExitCodes.Done));
}
catch (error) {
    log.error("the demo cannot start", { reason: (error as Error).message });
    process.exit(ExitCodes.Failed);
}
