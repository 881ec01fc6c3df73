// A drill, in which the store comes back from a copy that was made before a tenant was added.
import { runDrill } from "../harness/drill.mjs";

await runDrill({
    tenantCount: 1,
    areTenantsNew: true,
    hasDrill: process.env.TROUBLE !== "0",
    hasKill: false,
    requestsPerS: 30,
    drillAfterMs: 6_000,
    awayMs: 2_500,
    trafficMs: 22_000,
}, new URL("record.txt", import.meta.url));
