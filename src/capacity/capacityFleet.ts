/** Runs a fleet of processes on 127.0.0.1: platform, one upstream and a growing number of routers. */
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

/** Maximum time until a process listens or becomes ready, in milliseconds. */
const StartTimeoutMs = 60_000;

/** Interval of checks whether a version is in force, in milliseconds. */
const PollIntervalMs = 25;

/**
 * Number of routers that start at the same time. Limited because each reads 11 MB of configuration from a platform with one
 * process.
 */
const BatchSize = 8;

/**
 * Lag of the host list of the platform, in milliseconds. Short, so that new routers discover each other within the time of the
 * quick mode.
 */
const HostListLagMs = 1_000;

/** A process and the URL at which it listens. */
interface Program {
    readonly child: ChildProcess;
    readonly url: string;
}

/** Number of store calls of one or several hosts. */
export interface StoreCalls {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
}

/** One router process. */
export interface RouterProgram extends Program {
    readonly hostId: string;
}

/** Starts and measures processes until {@link stop} ends all of them. */
export class CapacityFleet {
    readonly routers: RouterProgram[] = [];
    readonly #directory = mkdtempSync(join(tmpdir(), "toucan-capacity-"));
    readonly #children: ChildProcess[] = [];
    #platform: Program | undefined;
    #platformClient: PlatformClient | undefined;
    #upstreamUrl = "";

    /** Starts platform and upstream and writes the configuration. Throws when one does not respond in time. */
    async start(size: ConfigurationSize): Promise<void> {
        const upstreamPort = await findFreePort();
        this.#upstreamUrl = `http://127.0.0.1:${upstreamPort}`;
        this.#spawn("toucanUpstream.js", { port: upstreamPort, models: ["m1", "m2", "m3", "m4", "m5", "m6"] });
        const port = await findFreePort();
        const url = `http://127.0.0.1:${port}`;
        // The usual limits of the store are meant for the fleet; raised so that the bulk write of this tool is not refused.
        const limits = { writesPerS: 100_000, readsPerS: 100_000 };
        const child = this.#spawn("toucanPlatform.js", { port, hostListLagMs: HostListLagMs, ...limits });
        this.#platform = { child, url };
        await waitFor(`${url}/healthz`);
        await waitFor(`${this.#upstreamUrl}/load`);
        this.#platformClient = new PlatformClient({ url, ...DefaultPlatformTimeouts }, () => undefined);
        await writeConfiguration(this.store, createResources(size, this.#upstreamUrl));
    }

    /** @returns Client of the store, like that of an operator's tool; available after {@link start}. */
    get store(): HttpPlatformStore {
        return new HttpPlatformStore(this.#platformClient!);
    }

    /**
     * Starts routers until there are `count`. Waits until the new ones are ready, or only until they respond when
     * `mustBeReady` is false. Throws when one does not in time.
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

    /** @returns A sample of the platform process. */
    samplePlatform(): ProcessSample {
        return sampleProcess(this.#platform!.child.pid!);
    }

    /** @returns Counters of a router by name. */
    async metricsOf(router: RouterProgram): Promise<Record<string, number>> {
        const response = await fetch(`${router.url}/metrics`);
        return await response.json() as Record<string, number>;
    }

    /** @returns Total store calls of the routers, as the platform counts them. */
    async storeCalls(): Promise<StoreCalls> {
        const response = await fetch(`${this.#platform!.url}/calls`);
        const byHost = await response.json() as Record<string, StoreCalls>;
        const routerCalls = this.routers.map(router => byHost[router.hostId]).filter(calls => calls !== undefined);
        return {
            reads: routerCalls.reduce((sum, calls) => sum + calls.reads, 0),
            writes: routerCalls.reduce((sum, calls) => sum + calls.writes, 0),
            watches: routerCalls.reduce((sum, calls) => sum + calls.watches, 0),
        };
    }

    /** Waits until a router has a configuration version in force. Throws when that takes too long. */
    async awaitVersion(router: RouterProgram, version: number): Promise<void> {
        const deadlineMs = performance.now() + StartTimeoutMs;
        while ((await this.metricsOf(router))["config.version"] !== version) {
            if (performance.now() > deadlineMs) {
                throw new Error(`${router.hostId} does not have version ${version} in force`);
            }
            await sleep(PollIntervalMs);
        }
    }

    /** Kills all processes and removes their settings. */
    async stop(): Promise<void> {
        const exits = this.#children.map(child =>
            child.exitCode !== null || child.signalCode !== null ?
                Promise.resolve() :
                new Promise(resolve => child.once("exit", resolve))
        );
        this.#children.forEach(child => child.kill("SIGKILL"));
        await Promise.all(exits);
        await this.#platformClient?.close();
        rmSync(this.#directory, { recursive: true, force: true });
    }

    #spawn(program: string, settings: object): ChildProcess {
        const file = join(this.#directory, `${this.#children.length}.json`);
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
    let lastResponse = "";
    while (performance.now() < deadlineMs) {
        try {
            const response = await fetch(url, { signal: AbortSignal.timeout(2_000) });
            lastResponse = await response.text();
            if (response.ok) {
                return;
            }
        }
        catch {
            // Not listening yet.
        }
        await sleep(100);
    }
    throw new Error(`no successful response from ${url}: ${lastResponse.slice(0, 300)}`);
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number; };
    await new Promise(resolve => server.close(resolve));
    return port;
}
