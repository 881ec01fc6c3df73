#!/usr/bin/env node
/** Router process of a host: serves callers, peers and operators. */
import "../base/startupHeap.js";

const { log } = await import("../base/log.js");
const { runProgram } = await import("../base/program.js");
const { createRouter } = await import("../router/createRouter.js");
const { RouterSettingsSchema } = await import("../router/routerSettings.js");

await runProgram({
    name: "toucan-router",
    description: "Relays requests of callers to upstreams within prepaid budgets.",
    schema: RouterSettingsSchema,
    start: async settings => {
        const router = createRouter(settings);
        await router.start();
        process.stdout.write(`${JSON.stringify(router.addresses)}\n`);
        // A drain by an operator stops the process in the same way as a signal.
        void router.drained.then(() => {
            log.info("drained");
            process.kill(process.pid, "SIGTERM");
        });
        return { dumpState: () => router.dumpState(), stop: () => router.stop() };
    },
});
