/**
 * Case 4: a part of prompts crashes each worker that begins to write an answer on it. The machines learn it and refuse the part. Then all
 * processes are killed, twice; each time the machines send requests with the part to workers again, although they are in touch again.
 */
import { Traffic } from "../lib/client.mjs";
import { HasTrouble, runCase, sleep } from "../lib/deployment.mjs";

/** Bounds of the site and of the rule. */
const StableWindowMs = 3_000;
const MaxArrivals = 3;

/** Pause between two requests with the part, and time after a kill of all processes before the first one, in milliseconds. */
const PauseMs = 2_500;
const AfterKillMs = 6_000;

/** Time after a crash at which a worker is back, in milliseconds. */
const BackAfterMs = 3_000;

/** Requests with the part in each span between the kills. */
const RequestsPerSpan = 7;
const Kills = 2;

const Part = "deadbeef";

await runCase(import.meta.url, async deployment => {
    deployment.configure(3, { tenants: [{ "name": "team-a", "api-keys": ["key-a"] }] });
    const arrivals = [];
    const crashes = [];
    for (let index = 1; index <= 8; index++) {
        const worker = await deployment.addWorker(`i-llm-${index}`, "advisor-llm", {});
        worker.crashesOn = ({ headers }) => headers["toucanjunction-prefix-hash"].includes(`${Part}:`);
        worker.onArrival = id => arrivals.push({ id, atMs: performance.now() });
        worker.onCrash = () => {
            crashes.push(performance.now());
            deployment.record(`crash ${crashes.length}: ${worker.id}`);
            setTimeout(() => void worker.restart(deployment.store), BackAfterMs);
        };
    }
    await deployment.startEdges(3);
    await sleep(4_000);
    const traffic = new Traffic(deployment.edges, deployment.record);
    let count = 0;
    const request = part => ({
        method: "POST",
        path: "/crew-ask/x",
        key: "key-a",
        deadlineMs: 15_000,
        headers: {
            "Toucanjunction-Model": "m",
            "Toucanjunction-Token-Counts": "800,60",
            "Toucanjunction-Prefix-Hash": `${(++count % 20).toString(16)}a:100,${part}:80,${count.toString(16)}c:620`,
        },
        body: "prompt",
    });
    traffic.start(10, () => request(`${(count % 144).toString(16)}b`));
    let counted = 0;
    for (let span = 0; span <= Kills; span++) {
        const fromMs = performance.now();
        for (let index = 0; index < RequestsPerSpan; index++) {
            void traffic.sendOne(request(Part));
            await sleep(PauseMs);
        }
        const fifthMs = crashes[4] ?? Number.POSITIVE_INFINITY;
        const late = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs > fifthMs + StableWindowMs);
        counted += late.length;
        deployment.record(`requests with the part that reached workers later than the bound: ${late.length}, ${late.map(({ id }) => id).join(" ")}`);
        if (span < Kills) {
            if (HasTrouble) {
                deployment.edges.forEach(edge => edge.kill());
            }
            await sleep(AfterKillMs);
        }
    }
    await traffic.stop();
    deployment.record(`crashes: ${crashes.length}; arrivals: ${arrivals.length}; counted: ${counted} (${MaxArrivals} are allowed)`);
    console.log(`crashes: ${crashes.length}; counted: ${counted}`);
    return counted <= MaxArrivals;
});
