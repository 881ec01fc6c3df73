/** Runs the processes of a chaos run: platform, routers and upstreams on free ports of 127.0.0.1. */
import { type ChildProcess, execFile } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { findFreePorts, ProcessGroup, waitForReady } from "../bench/processes.js";
import { HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { DefaultPlatformTimeouts, PlatformClient } from "../platform/platformClient.js";
import type { FaultInput } from "../standins/platform/faultInjector.js";
import { chaosResources, InitialPayments, type RouterPorts, routerSettings } from "./chaosResources.js";

const RouterCount = 4;
const EngineCount = 2;
/** Maximum time until a process is ready, in milliseconds. */
const StartTimeoutMs = 30_000;
/** Time for the routers to discover each other before the traffic starts, in milliseconds. */
const GossipMs = 2_000;
/** Maximum duration of an operator command, in milliseconds; it is killed after it. */
const CommandTimeoutMs = 25_000;

/** Maximum number of attempts of a request to a stand-in. */
const MaxAttempts = 4;
/** Pause between these attempts, in milliseconds. */
const RetryPauseMs = 200;

/** A host id and its current router process. */
export interface RouterSlot {
    readonly hostId: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly ports: RouterPorts;
    readonly zone: string;
    /** Number of the current router process, starting at 1; 0 before the first. */
    generation: number;
    child: ChildProcess | undefined;
    /** Whether the balancer sends calls to this router. */
    inRotation: boolean;
    /** Whether this router has an injected failure. */
    hasFailure: boolean;
}

/** An upstream and its URL. */
export interface UpstreamSlot {
    readonly name: string;
    readonly url: string;
}

/** Result of an operator command. */
export interface CommandOutcome {
    /** Exit code; -1 when the command was killed. */
    readonly exitCode: number;
    /** Standard output followed by standard error. */
    readonly output: string;
}

/** Starts, controls and stops the processes. */
export class ChaosDeployment {
    readonly routers: RouterSlot[] = [];
    readonly upstreams: UpstreamSlot[] = [];
    readonly #group = new ProcessGroup();
    readonly #commands = new Set<ChildProcess>();
    #platformUrl = "";
    #platformClient: PlatformClient | undefined;
    #isStopped = false;

    /** @returns Directory of settings and logs. */
    get directory(): string {
        return this.#group.directory;
    }

    /** @returns Client of the store, for reading; available after {@link start}. */
    get store(): HttpPlatformStore {
        return new HttpPlatformStore(this.#platformClient!);
    }

    /** Starts all processes, applies the configuration and tops the budgets up. Throws when a process is not ready in time. */
    async start(): Promise<void> {
        const ports = await findFreePorts(1 + EngineCount + 1 + 3 * RouterCount);
        const takePort = (): number => ports.pop()!;
        const platformPort = takePort();
        this.#platformUrl = `http://127.0.0.1:${platformPort}`;
        this.#platformClient = new PlatformClient(
            { url: this.#platformUrl, ...DefaultPlatformTimeouts },
            () => undefined,
        );
        // Short enough that a host which has ended is removed from the list before the run ends.
        this.#group.start("toucanPlatform", "platform", { port: platformPort, hostExpiryMs: 8_000 });
        for (let index = 1; index <= EngineCount; index++) {
            this.#startUpstream(`engine-${index}`, takePort(), { slots: 32 });
        }
        this.#startUpstream("till-1", takePort(), { type: "service", serviceTimeMs: 30 });
        await waitForReady(`${this.#platformUrl}/healthz`, StartTimeoutMs);
        await Promise.all(this.upstreams.map(({ url }) => waitForReady(`${url}/load`, StartTimeoutMs)));
        await this.#configure();
        for (let index = 1; index <= RouterCount; index++) {
            this.#addRouter(index, { caller: takePort(), operator: takePort(), peer: takePort() });
        }
        await Promise.all(this.routers.map(({ callerUrl }) => waitForReady(`${callerUrl}/readyz`, StartTimeoutMs)));
        await sleep(GossipMs);
    }

    /** Starts a router process with the host id of the slot; does nothing after {@link stop}. */
    startRouter(slot: RouterSlot): void {
        if (this.#isStopped) {
            return;
        }
        slot.generation++;
        const settings = routerSettings(slot.hostId, slot.zone, slot.ports, this.#platformUrl);
        slot.child = this.#group.start("toucanRouter", slot.hostId, settings);
    }

    /** Replaces all faults of the platform stand-in. */
    async setPlatformFaults(faults: readonly FaultInput[]): Promise<void> {
        await postJson(`${this.#platformUrl}/faults`, { faults });
    }

    /** Sets the given faults of an upstream and leaves its other faults unchanged. */
    async setUpstreamFaults(upstream: UpstreamSlot, faults: Record<string, unknown>): Promise<void> {
        await postJson(`${upstream.url}/faults`, faults);
    }

    /** Runs the operator tool. Never throws: failures are in the exit code. */
    control(...args: string[]): Promise<CommandOutcome> {
        const script = fileURLToPath(new URL("../programs/toucanctl.js", import.meta.url));
        return new Promise(resolve => {
            const child = execFile(
                process.execPath,
                [script, "--platform", this.#platformUrl, "--author", "chaos", ...args],
                { timeout: CommandTimeoutMs, killSignal: "SIGKILL", maxBuffer: 256 * 1_024 * 1_024 },
                (_error, stdout, stderr) => {
                    this.#commands.delete(child);
                    resolve({ exitCode: child.exitCode ?? -1, output: `${stdout}${stderr}` });
                },
            );
            this.#commands.add(child);
        });
    }

    /** @returns All executions at an upstream, as parsed JSON. */
    async readExecutions(upstream: UpstreamSlot): Promise<unknown> {
        return withRetries(async () => (await fetch(`${upstream.url}/executions`)).json());
    }

    /**
     * Writes a file to the directory of the run.
     * @returns Path of the file.
     */
    writeJson(name: string, value: unknown): string {
        return this.#group.writeJson(name, value);
    }

    /** Kills running commands, stops all processes, and removes the files unless they are to be kept. */
    async stop(keepFiles: boolean): Promise<void> {
        this.#isStopped = true;
        this.#commands.forEach(child => child.kill("SIGKILL"));
        await this.#group.stop(keepFiles);
        await this.#platformClient?.close();
    }

    #startUpstream(name: string, port: number, settings: Record<string, unknown>): void {
        this.#group.start("toucanUpstream", name, { ...settings, name, port });
        this.upstreams.push({ name, url: `http://127.0.0.1:${port}` });
    }

    #addRouter(index: number, ports: RouterPorts): void {
        const slot: RouterSlot = {
            hostId: `chaos-${index}`,
            callerUrl: `http://127.0.0.1:${ports.caller}`,
            operatorUrl: `http://127.0.0.1:${ports.operator}`,
            ports,
            zone: `zone-${1 + index % 2}`,
            generation: 0,
            child: undefined,
            inRotation: true,
            hasFailure: false,
        };
        this.routers.push(slot);
        this.startRouter(slot);
    }

    async #configure(): Promise<void> {
        const engineUrls = this.upstreams.filter(({ name }) => name.startsWith("engine")).map(({ url }) => url);
        const tillUrl = this.upstreams.find(({ name }) => name.startsWith("till"))!.url;
        const file = this.writeJson("resources.json", chaosResources(engineUrls, tillUrl));
        await this.#runRequired("apply", "-f", file);
        for (const [budget, tokens] of Object.entries(InitialPayments)) {
            await this.#runRequired("topup", budget, String(tokens), "--operation-id", `first-${budget}`);
        }
    }

    async #runRequired(...args: string[]): Promise<void> {
        const { exitCode, output } = await this.control(...args);
        if (exitCode !== 0) {
            throw new Error(`toucanctl ${args.join(" ")} ended with exit code ${exitCode}: ${output}`);
        }
    }
}

/** Sends a request to a stand-in. A persistent connection may close at the moment of its use, so failed requests are repeated. */
async function postJson(url: string, body: unknown): Promise<void> {
    const response = await withRetries(() =>
        fetch(url, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
        })
    );
    if (!response.ok) {
        throw new Error(`${url} responded with status ${response.status}: ${await response.text()}`);
    }
    await response.body?.cancel();
}

async function withRetries<T>(call: () => Promise<T>): Promise<T> {
    for (let attempt = 1;; attempt++) {
        try {
            return await call();
        }
        catch (error) {
            if (attempt >= MaxAttempts) {
                throw error;
            }
            await sleep(RetryPauseMs);
        }
    }
}
