#!/usr/bin/env node
/** Stand-in for a model engine or a plain service, for tests and demonstrations. */
import { log } from "../base/log.js";
import { runProgram } from "../base/program.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";
import { UpstreamStandInSettingsSchema } from "../standins/upstream/upstreamSettings.js";

await runProgram({
    name: "toucan-upstream",
    description: "Stand-in for a model engine or a plain service, for tests and demonstrations.",
    schema: UpstreamStandInSettingsSchema,
    start: async settings => {
        const server = new UpstreamServer(settings);
        const url = await server.start();
        log.info(`upstream ${settings.name} listens on ${url}`);
        return { dumpState: () => server.dumpState(), stop: () => server.stop() };
    },
});
