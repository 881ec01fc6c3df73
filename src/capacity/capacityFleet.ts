/** A fleet of processes on loopback: platform, one upstream and a growing number of routers. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { DefaultPlatformTimeouts, PlatformClient } from "../platform/platformClient.js";
import { type ProcessSample, sampleProcess } from "./processSample.js";
import { type ConfigurationSize, createResources, writeConfiguration } from "./targetConfiguration.js";

/** Longest wait for a process to listen or to become ready. */
const StartTimeoutMs = 60_000;

const PollIntervalMs = 25;

/** Routers that are started at a time: each reads 11 MB of configuration from a platform of one process. */
const BatchSize = 8;

/** Host list lag of the platform; short, so that a new fleet finds itself within the quick mode's time. */
const HostListLagMs = 1_000;

interface Program {
    readonly child: ChildProcess;
    readonly url: string;
}

/** Store calls of a host. */
export interface StoreCalls {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
}

/** One router process. */
export interface RouterProgram extends Program {
    readonly hostId: string;
}

/** Starts and measures processes. All of them are ended by {@link stop}. */
export class CapacityFleet {
    readonly routers: RouterProgram[] = [];
    readonly #folder = mkdtempSync(join(tmpdir(), "toucan-capacity-"));
    readonly #children: ChildProcess[] = [];
    #platform: Program | undefined;
    #connection: PlatformClient | undefined;
    #upstreamUrl = "";

    /** Starts platform and upstream and writes the configuration. */
    async start(size: ConfigurationSize): Promise<void> {
        const upstreamPort = await findFreePort();
        this.#upstreamUrl = `http://127.0.0.1:${upstreamPort}`;
        this.#spawn("toucanUpstream.js", { port: upstreamPort, models: ["m1", "m2", "m3", "m4", "m5", "m6"] });
        const port = await findFreePort();
        const url = `http://127.0.0.1:${port}`;
        // The store's limits hold for the fleet; the tool's own bulk write at the start must not be refused by them.
        const limits = { writesPerS: 100_000, readsPerS: 100_000 };
        const child = this.#spawn("toucanPlatform.js", { port, hostListLagMs: HostListLagMs, ...limits });
        this.#platform = { child, url };
        await waitFor(`${url}/healthz`);
        await waitFor(`${this.#upstreamUrl}/load`);
        this.#connection = new PlatformClient({ url, ...DefaultPlatformTimeouts }, () => undefined);
        await writeConfiguration(this.store, createResources(size, this.#upstreamUrl));
    }

    /** @returns The store as an operator's tool uses it. */
    get store(): HttpPlatformStore {
        return new HttpPlatformStore(this.#connection!);
    }

    /**
     * Starts routers until there are `count`, and waits until all are ready or `mustBeReady` is false and all answer.
     */
    async growTo(count: number, mustBeReady = true): Promise<void> {
        while (this.routers.length < count) {
            await this.#startBatch(Math.min(count - this.routers.length, BatchSize), mustBeReady);
        }
    }

    async #startBatch(count: number, mustBeReady: boolean): Promise<void> {
        const started: RouterProgram[] = [];
        while (started.length < count) {
            const hostId = `host-${this.routers.length}`;
            const operatorPort = await findFreePort();
            const child = this.#spawn("toucanRouter.js", {
                hostId,
                zone: `r1-z${this.routers.length % 5}`,
                caller: { port: 0 },
                operator: { port: operatorPort },
                platform: { url: this.#platform!.url },
            });
            const router = { hostId, child, url: `http://127.0.0.1:${operatorPort}` };
            this.routers.push(router);
            started.push(router);
        }
        await Promise.all(started.map(router => waitFor(`${router.url}/${mustBeReady ? "readyz" : "metrics"}`)));
    }

    /** @returns A sample of each router. */
    sample(): ProcessSample[] {
        return this.routers.map(router => sampleProcess(router.child.pid!));
    }

    /** @returns A sample of the platform's process. */
    samplePlatform(): ProcessSample {
        return sampleProcess(this.#platform!.child.pid!);
    }

    /** @returns The counters of a router. */
    async metricsOf(router: RouterProgram): Promise<Record<string, number>> {
        const answer = await fetch(`${router.url}/metrics`);
        return await answer.json() as Record<string, number>;
    }

    /** @returns Store calls by host, as the platform counts them. */
    async storeCalls(): Promise<StoreCalls> {
        const answer = await fetch(`${this.#platform!.url}/calls`);
        const byHost = await answer.json() as Record<string, StoreCalls>;
        const ofRouters = this.routers.map(router => byHost[router.hostId]).filter(calls => calls !== undefined);
        return {
            reads: ofRouters.reduce((sum, calls) => sum + calls.reads, 0),
            writes: ofRouters.reduce((sum, calls) => sum + calls.writes, 0),
            watches: ofRouters.reduce((sum, calls) => sum + calls.watches, 0),
        };
    }

    /** Waits until a router has a version in force. */
    async awaitVersion(router: RouterProgram, version: number): Promise<void> {
        const deadlineMs = performance.now() + StartTimeoutMs;
        while ((await this.metricsOf(router))["config.version"] !== version) {
            if (performance.now() > deadlineMs) {
                throw new Error(`${router.hostId} does not have version ${version} in force`);
            }
            await sleep(PollIntervalMs);
        }
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        const ended = this.#children.map(child =>
            child.exitCode !== null || child.signalCode !== null ?
                Promise.resolve() :
                new Promise(resolve => child.once("exit", resolve))
        );
        this.#children.forEach(child => child.kill("SIGKILL"));
        await Promise.all(ended);
        await this.#connection?.close();
        rmSync(this.#folder, { recursive: true, force: true });
    }

    #spawn(program: string, settings: object): ChildProcess {
        const file = join(this.#folder, `${this.#children.length}.json`);
        writeFileSync(file, JSON.stringify(settings));
        const script = fileURLToPath(new URL(`../programs/${program}`, import.meta.url));
        const child = spawn(process.execPath, [script, "--settings", file], {
            stdio: ["ignore", "ignore", process.env["CAPACITY_LOG"] === undefined ? "ignore" : "inherit"],
        });
        this.#children.push(child);
        return child;
    }
}

async function waitFor(url: string): Promise<void> {
    const deadlineMs = performance.now() + StartTimeoutMs;
    let lastAnswer = "";
    while (performance.now() < deadlineMs) {
        try {
            const answer = await fetch(url, { signal: AbortSignal.timeout(2_000) });
            lastAnswer = await answer.text();
            if (answer.ok) {
                return;
            }
        }
        catch {
            // Not listening yet.
        }
        await sleep(100);
    }
    throw new Error(`no answer from ${url}: ${lastAnswer.slice(0, 300)}`);
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    await new Promise(resolve => server.close(resolve));
    return port;
}
