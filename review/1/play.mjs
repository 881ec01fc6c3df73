/**
 * Case 1: workers spoil a few of their answers. A spoilt answer without a length, with a control character in a header, ends the
 * process that reads it, and with it all requests that the process has passed on to sound workers.
 */
import { Traffic } from "../lib/client.mjs";
import { HasTrouble, runCase, sleep } from "../lib/deployment.mjs";

/** Figures of the site file: requests a second of each kind, and the dose of `garble` (one worker of three, x 0.05, for 6.5 s). */
const PerS = { "rake-order": 8.64, "screen-status": 4.19, "debris-report": 14.6, "crew-ask": 19.9 };
const SpoilEvery = 20;
const GarbleMs = 6_500;
const GarbleAtMs = [5_000, 15_000, 25_000, 35_000, 45_000, 55_000, 65_000, 75_000];
const LengthMs = 83_000;

/** Most requests that the rule lets one machine close without an answer. */
const MaxLost = 3;

const Tenants = [{ "name": "team-a", "api-keys": ["key-a"] }];

/** @returns An answer without a length that ends with its connection; one byte of a header is wrong. */
function spoilt(id, worker) {
    const head = [
        "HTTP/1.1 200 OK",
        `Toucanjunction-Request-Id: ${id}`,
        `Toucanjunction-Server-Signature: ${worker.id}.${id}`,
        "Content-Type: text/\u0010lain",
    ];
    return Buffer.from(`${head.join("\r\n")}\r\n\r\n${worker.id} ran ${id}`, "latin1");
}

await runCase(import.meta.url, async deployment => {
    deployment.configure(3, { tenants: Tenants });
    for (let index = 1; index <= 3; index++) {
        await deployment.addWorker(`i-app-${index}`, "dispatch-app", { slots: 6, workMs: 20 });
        await deployment.addWorker(`i-llm-${index}`, "advisor-llm", { firstEventMs: 200, eventMs: 15 });
    }
    await deployment.startEdges(3);
    await sleep(4_000);
    const faulty = deployment.workers.filter(({ service }) => service === "dispatch-app").slice(0, 1);
    const traffic = new Traffic(deployment.edges, deployment.record);
    const plain = (name, method, body) => ({ method, path: `/${name}/x`, key: "key-a", deadlineMs: 1_500, body });
    const stream = (name, counts, deadlineMs) => ({
        method: "POST",
        path: `/${name}/x`,
        key: "key-a",
        deadlineMs,
        headers: { "Toucanjunction-Model": "m", "Toucanjunction-Token-Counts": counts },
        body: "prompt",
    });
    traffic.start(PerS["rake-order"], () => plain("rake-order", "POST", "order"));
    traffic.start(PerS["screen-status"], () => plain("screen-status", "GET"));
    traffic.start(PerS["debris-report"], () => stream("debris-report", "9190,51", 6_000));
    traffic.start(PerS["crew-ask"], () => stream("crew-ask", "826,264", 15_000));
    for (const atMs of HasTrouble ? GarbleAtMs : []) {
        setTimeout(() => {
            deployment.record(`garble begins at ${faulty.map(({ id }) => id).join(" ")}`);
            faulty.forEach(worker => {
                worker.spoil = (_request, id, number) => number % SpoilEvery === 0 ? spoilt(id, worker) : undefined;
            });
        }, atMs);
        setTimeout(() => {
            deployment.record("garble ends");
            faulty.forEach(worker => worker.spoil = () => undefined);
        }, atMs + GarbleMs);
    }
    await sleep(LengthMs);
    await traffic.stop();

    // Model workers are sound throughout. Only requests on kept connections without any answer count.
    const streams = traffic.results.filter(({ request }) => request.headers !== undefined);
    const sound = deployment.workers.filter(({ service }) => service === "advisor-llm");
    const lost = streams.filter(({ id, status, wasKept, hasTimedOut }) =>
        status === 0 && wasKept && !hasTimedOut && sound.some(({ ran }) => ran.has(id))
    );
    const lostAt = deployment.edges.map(({ name }) => lost.filter(({ edge }) => edge === name).length);
    const most = Math.max(...lostAt);
    const cut = streams.filter(({ status, isComplete }) => status === 200 && !isComplete);
    const ends = deployment.edges.map(({ name, ownEnds }) => `${name}=${ownEnds}`).join(" ");
    deployment.record(`processes that ended by themselves: ${ends}`);
    deployment.record(`requests: ${traffic.results.length}; streams cut off midway: ${cut.length}`);
    deployment.record(`requests to sound workers on kept connections closed without an answer, by machine: ${lostAt.join(", ")}`);
    deployment.record(`the most at one machine: ${most} (${MaxLost} are allowed)`);
    console.log(`own ends: ${ends}; lost by machine: ${lostAt.join(", ")}; cut: ${cut.length}`);
    return most <= MaxLost;
});
