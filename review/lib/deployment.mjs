/** A small deployment on loopback: store, workers, machines of the system and the record of what happened. */
import { createWriteStream, mkdtempSync } from "node:fs";
import http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Edge, machineAddress } from "./edge.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const Zones = ["chattahoochee", "savannah", "oconee"];

/** Maximum time until all machines are ready, in milliseconds. */
const StartTimeoutMs = 12_000;

/** Exit codes of a case. */
export const Held = 0;
export const Broken = 1;
export const NotRun = 2;

/** Whether the disruption of the case is to happen. */
export const HasTrouble = process.env.TROUBLE !== "0";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Services of the small deployment, as in the site file. */
const Services = [
    { "name": "dispatch-app", "max-conns": 110 },
    { "name": "advisor-llm", "max-conns": 370, "engine": { "slots": 64, "kv-tokens": 346_651, "stride": 3 } },
];

/** Limits of the configuration. */
const Limits = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
};

/** Routes of the small deployment, with the figures of the site file. */
export function routes() {
    const route = (name, kind, service, more) => (
        { name, "host": "h.example", "path-prefix": `/${name}/`, kind, service, "max-attempts": 1, ...more }
    );
    const plain = { "timeout-ms": 800, "target-latency-ms": 100, "priority": 2 };
    return [
        route("rake-order", "non_idempotent", "dispatch-app", plain),
        route("screen-status", "idempotent", "dispatch-app", { ...plain, "max-attempts": 2 }),
        route("debris-report", "streaming", "advisor-llm", {
            "timeout-ms": 6_000,
            "target-latency-ms": 800,
            "gap-target-ms": 250,
            "priority": 1,
            "sticky": true,
        }),
        route("crew-ask", "streaming", "advisor-llm", {
            "timeout-ms": 15_000,
            "target-latency-ms": 400,
            "gap-target-ms": 250,
            "priority": 0,
            "sticky": true,
            "resumable": true,
            "max-attempts": 2,
        }),
    ];
}

/** Everything that a case starts. */
export class Deployment {
    directory = mkdtempSync(join(tmpdir(), "review-"));
    store = new Store();
    edges = [];
    workers = [];
    #startedMs = performance.now();
    #recordFile;

    /** @param caseUrl `import.meta.url` of the case, in whose folder `record.txt` is written. */
    constructor(caseUrl) {
        this.#recordFile = createWriteStream(fileURLToPath(new URL("record.txt", caseUrl)));
    }

    /** Writes a line to the record, with the time since the start in seconds. */
    record = line => {
        this.#recordFile.write(`${((performance.now() - this.#startedMs) / 1_000).toFixed(3)} ${line}\n`);
    };

    /** Writes a version of the configuration as the operator does. */
    configure(version, changes = {}) {
        const configuration = { version, "routes": routes(), "services": Services, "limits": Limits, ...changes };
        this.store.set("config/main", configuration);
        this.record(`operator: version ${version} is acknowledged`);
    }

    /** Adds a worker of a service and starts it. */
    async addWorker(id, service, options = {}) {
        const defaults = { zone: Zones[this.workers.length % Zones.length], slots: 64, workMs: 20, firstEventMs: 60, eventMs: 20, stride: 3 };
        const worker = new Worker(id, service, { ...defaults, ...options }, this.record);
        await worker.start(this.store);
        this.workers.push(worker);
        return worker;
    }

    /**
     * Starts machines, one in each zone in turn, and waits until all are ready.
     * @param storeAddress Address of the store for a machine; by default that of the store itself.
     */
    async startEdges(count, storeAddress = () => `127.0.0.1:${this.store.port}`) {
        for (let index = 0; index < count; index++) {
            const zone = Zones[index % Zones.length];
            const edge = new Edge(`front-${zone}-${1 + Math.floor(index / Zones.length)}`, machineAddress(index), zone, this.record);
            this.edges.push(edge);
            await edge.start(this.directory, await storeAddress(index), Zones);
        }
        const untilMs = performance.now() + StartTimeoutMs;
        while (!(await Promise.all(this.edges.map(isReady))).every(Boolean)) {
            if (performance.now() > untilMs) {
                throw new Error("the machines did not become ready");
            }
            await sleep(100);
        }
        this.record("all machines are ready");
    }

    /** Ends all processes and servers. */
    async stop() {
        this.edges.forEach(edge => edge.stop());
        this.workers.forEach(worker => worker.stop());
        this.store.stop();
        await new Promise(resolve => this.#recordFile.end(resolve));
    }
}

/** @returns Whether the readiness address of a machine answers 200. */
export function isReady(edge) {
    return new Promise(resolve => {
        const call = http.get({ host: edge.ip, port: edge.readyPort, path: "/readiness", agent: false, timeout: 1_000 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("error", () => resolve(false));
        call.on("timeout", () => call.destroy());
    });
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param play Plays the case; returns whether the rule held, and writes its verdict to the record.
 */
export async function runCase(caseUrl, play) {
    const deployment = new Deployment(caseUrl);
    const giveUp = reason => {
        console.error(String(reason));
        void deployment.stop().finally(() => process.exit(NotRun));
    };
    process.on("SIGTERM", () => giveUp("the case took too long"));
    process.on("SIGINT", () => giveUp("interrupted"));
    process.on("uncaughtException", error => giveUp(error.stack));
    let exitCode = NotRun;
    try {
        await deployment.store.start();
        exitCode = await play(deployment) ? Held : Broken;
    }
    catch (error) {
        deployment.record(`the case could not run: ${error.stack}`);
        console.error(String(error.stack));
    }
    finally {
        await deployment.stop();
    }
    process.exit(exitCode);
}
