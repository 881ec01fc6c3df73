/** Starts programs of the project as processes and stops them by their process ids. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** Maximum wait until a process exits after SIGTERM, in milliseconds; it is killed then. */
const StopTimeoutMs = 1_000;
/** Interval of checks whether a process is ready, in milliseconds. */
const ReadyIntervalMs = 50;

/** Ports below the range from which the operating system takes ports for connections and for port 0. */
const MinPort = 12_000;
const PortCount = 18_000;

/** Ports that were returned; deployments that start concurrently must not get the same ones. */
const takenPorts = new Set<number>();

/** @returns Ports on 127.0.0.1 that were free when they were checked and are not returned again. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = MinPort + Math.floor(Math.random() * PortCount);
        if (takenPorts.has(port)) {
            continue;
        }
        takenPorts.add(port);
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** A group of processes with a directory for their settings and logs. */
export class ProcessGroup {
    readonly directory = mkdtempSync(join(tmpdir(), "toucan-bench-"));
    readonly #children: ChildProcess[] = [];

    /**
     * Starts a program.
     * @param program File name in `dist/programs`, without extension.
     * @param name Name of the settings and log files, without extension.
     * @param extraArguments Arguments after the settings file.
     */
    start(program: string, name: string, settings: unknown, extraArguments: readonly string[] = []): ChildProcess {
        const settingsPath = this.writeJson(`${name}.json`, settings);
        const script = fileURLToPath(new URL(`../programs/${program}.js`, import.meta.url));
        const logFile = openSync(join(this.directory, `${name}.log`), "a");
        const child = spawn(process.execPath, [script, "--settings", settingsPath, ...extraArguments], {
            stdio: ["ignore", logFile, logFile],
        });
        this.#children.push(child);
        return child;
    }

    /**
     * Writes a file to the directory of the group.
     * @returns Path of the file.
     */
    writeJson(name: string, value: unknown): string {
        const path = join(this.directory, name);
        writeFileSync(path, JSON.stringify(value));
        return path;
    }

    /**
     * Stops all processes that are still running, and removes the directory unless files are kept. Routers get too little time to
     * wait for the balancer.
     */
    async stop(keepFiles: boolean): Promise<void> {
        const running = this.#children.filter(child => child.exitCode === null && child.signalCode === null);
        const exits = running.map(child => new Promise(resolve => child.once("exit", resolve)));
        running.forEach(child => child.kill("SIGTERM"));
        await Promise.race([Promise.all(exits), delay(StopTimeoutMs)]);
        running.forEach(child => child.kill("SIGKILL"));
        await Promise.all(exits);
        if (!keepFiles) {
            rmSync(this.directory, { recursive: true, force: true });
        }
    }
}

/** Waits until a URL responds with status 200. Throws when it does not in time. */
export async function waitForReady(url: string, timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    let lastResult = "no response";
    while (performance.now() < deadlineMs) {
        try {
            const response = await fetch(url);
            lastResult = `${response.status} ${await response.text()}`;
            if (response.status === 200) {
                return;
            }
        }
        catch (error) {
            lastResult = (error as Error).message;
        }
        await delay(ReadyIntervalMs);
    }
    throw new Error(`${url} is not ready after ${timeoutMs} ms: ${lastResult}`);
}
