#!/usr/bin/env node
/** Stand-in for the platform: an in-memory object API and host list, for tests and demonstrations. */
import { SystemClock } from "../base/clock.js";
import { Counters, startMetrics } from "../base/counters.js";
import { log } from "../base/log.js";
import { runProgram } from "../base/program.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import { PlatformSettingsSchema } from "../standins/platform/platformSettings.js";

await runProgram({
    name: "toucan-platform",
    description: "Serves an object API in memory, with a host list and injectable faults.",
    schema: PlatformSettingsSchema,
    start: async settings => {
        const counters = new Counters();
        const server = new PlatformServer(settings, new SystemClock(), counters);
        const url = await server.start();
        const stopMetrics = startMetrics(counters, settings.metrics);
        log.info(`platform listens on ${url}`);
        return {
            dumpState: () => server.dumpState(),
            stop: async () => {
                await server.stop();
                stopMetrics();
            },
        };
    },
});
