/** The processes of a chaos run: platform, routers and upstreams on free ports of loopback. */
import { type ChildProcess, execFile } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { findFreePorts, ProcessGroup, waitForReady } from "../bench/processes.js";
import { HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { DefaultPlatformTimeouts, PlatformClient } from "../platform/platformClient.js";
import type { FaultInput } from "../standins/platform/faultInjector.js";
import { chaosResources, FirstPayments, type RouterPorts, routerSettings } from "./chaosResources.js";

const RouterCount = 4;
const EngineCount = 2;
const StartTimeoutMs = 30_000;
/** Time for the routers to find each other before the traffic starts. */
const GossipMs = 2_000;
/** Longest run of an operator command; it is killed then. */
const CommandTimeoutMs = 25_000;

/** Tries of a request to a stand-in, and the pause between them. */
const MaxTries = 4;
const RetryMs = 200;

/** A host id with its current router process. */
export interface RouterSlot {
    readonly hostId: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly ports: RouterPorts;
    readonly zone: string;
    generation: number;
    child: ChildProcess | undefined;
    /** Whether the balancer sends calls here. */
    inRotation: boolean;
    /** Whether a failure is being injected here. */
    busy: boolean;
}

/** An upstream with its address. */
export interface UpstreamSlot {
    readonly name: string;
    readonly url: string;
}

/** Result of an operator command. */
export interface CommandOutcome {
    readonly exitCode: number;
    readonly output: string;
}

/** Starts and stops the processes. */
export class ChaosDeployment {
    readonly routers: RouterSlot[] = [];
    readonly upstreams: UpstreamSlot[] = [];
    readonly #group = new ProcessGroup();
    readonly #commands = new Set<ChildProcess>();
    #platformUrl = "";
    #connection: PlatformClient | undefined;
    #stopped = false;

    /** @returns Directory of settings and logs. */
    get directory(): string {
        return this.#group.directory;
    }

    /** @returns The store, for reading. */
    get store(): HttpPlatformStore {
        return new HttpPlatformStore(this.#connection!);
    }

    /** Starts everything, applies the configuration and pays the budgets in. */
    async start(): Promise<void> {
        const ports = await findFreePorts(1 + EngineCount + 1 + 3 * RouterCount);
        const take = (): number => ports.pop()!;
        const platformPort = take();
        this.#platformUrl = `http://127.0.0.1:${platformPort}`;
        this.#connection = new PlatformClient(
            { url: this.#platformUrl, ...DefaultPlatformTimeouts },
            () => undefined,
        );
        // A host that is gone leaves the list before the run ends.
        this.#group.start("toucanPlatform", "platform", { port: platformPort, hostExpiryMs: 8_000 });
        for (let index = 1; index <= EngineCount; index++) {
            this.#startUpstream(`engine-${index}`, take(), { slots: 32 });
        }
        this.#startUpstream("till-1", take(), { type: "service", serviceTimeMs: 30 });
        await waitForReady(`${this.#platformUrl}/healthz`, StartTimeoutMs);
        await Promise.all(this.upstreams.map(({ url }) => waitForReady(`${url}/load`, StartTimeoutMs)));
        await this.#configure();
        for (let index = 1; index <= RouterCount; index++) {
            this.#addRouter(index, { caller: take(), operator: take(), peer: take() });
        }
        await Promise.all(this.routers.map(({ callerUrl }) => waitForReady(`${callerUrl}/readyz`, StartTimeoutMs)));
        await sleep(GossipMs);
    }

    /** Starts a router process under the host id of the slot. */
    startRouter(slot: RouterSlot): void {
        if (this.#stopped) {
            return;
        }
        slot.generation++;
        const settings = routerSettings(slot.hostId, slot.zone, slot.ports, this.#platformUrl);
        slot.child = this.#group.start("toucanRouter", slot.hostId, settings);
    }

    /** Replaces the faults of the platform. */
    async setPlatformFaults(faults: readonly FaultInput[]): Promise<void> {
        await postJson(`${this.#platformUrl}/faults`, { faults });
    }

    /** Changes the faults of an upstream. */
    async setUpstreamFaults(upstream: UpstreamSlot, faults: Record<string, unknown>): Promise<void> {
        await postJson(`${upstream.url}/faults`, faults);
    }

    /** Runs the operator tool. */
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

    /** @returns Everything that ran at an upstream, as JSON. */
    async readExecutions(upstream: UpstreamSlot): Promise<unknown> {
        return withRetries(async () => (await fetch(`${upstream.url}/executions`)).json());
    }

    /** @returns Path of the written file. */
    writeJson(name: string, value: unknown): string {
        return this.#group.writeJson(name, value);
    }

    /** Ends all processes by their ids. */
    async stop(keepFiles: boolean): Promise<void> {
        this.#stopped = true;
        this.#commands.forEach(child => child.kill("SIGKILL"));
        await this.#group.stop(keepFiles);
        await this.#connection?.close();
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
            busy: false,
        };
        this.routers.push(slot);
        this.startRouter(slot);
    }

    async #configure(): Promise<void> {
        const engineUrls = this.upstreams.filter(({ name }) => name.startsWith("engine")).map(({ url }) => url);
        const tillUrl = this.upstreams.find(({ name }) => name.startsWith("till"))!.url;
        const file = this.writeJson("resources.json", chaosResources(engineUrls, tillUrl));
        await this.#require("apply", "-f", file);
        for (const [budget, tokens] of Object.entries(FirstPayments)) {
            await this.#require("topup", budget, String(tokens), "--operation-id", `first-${budget}`);
        }
    }

    async #require(...args: string[]): Promise<void> {
        const { exitCode, output } = await this.control(...args);
        if (exitCode !== 0) {
            throw new Error(`toucanctl ${args.join(" ")} ended with exit code ${exitCode}: ${output}`);
        }
    }
}

/** Sends a request to a stand-in. A kept connection may close just when it is used, so that the request is repeated. */
async function postJson(url: string, body: unknown): Promise<void> {
    const answer = await withRetries(() =>
        fetch(url, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
        })
    );
    if (!answer.ok) {
        throw new Error(`${url} answered with status ${answer.status}: ${await answer.text()}`);
    }
    await answer.body?.cancel();
}

async function withRetries<T>(call: () => Promise<T>): Promise<T> {
    for (let tries = 1;; tries++) {
        try {
            return await call();
        }
        catch (error) {
            if (tries >= MaxTries) {
                throw error;
            }
            await sleep(RetryMs);
        }
    }
}
