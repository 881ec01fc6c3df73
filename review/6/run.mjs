// A drill, in which the store comes back from a copy that was made before tenants were added.
import { runDrill } from "../harness/drill.mjs";

await runDrill({
    tenantCount: 4,
    prepaid: 100_000,
    roundCount: 5,
    hasDrill: process.env.TROUBLE !== "0",
    requestsPerS: 30,
    drillAfterMs: 4_000,
    awayMs: [1_500, 200, 2_500, 800, 3_500],
    trafficMs: 12_000,
}, new URL("record.txt", import.meta.url));
