/** Starts the project's programs as processes and stops them by their ids. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** Longest wait for a process to exit after SIGTERM. */
const StopTimeoutMs = 1_000;
/** Interval of checks whether a process is ready. */
const ReadyIntervalMs = 50;

/** Ports below the range from which the operating system takes ports for connections and for port 0. */
const FirstPort = 12_000;
const PortCount = 18_000;

/** Ports that were handed out; deployments that start side by side must not get the same ones. */
const takenPorts = new Set<number>();

/** @returns Ports on loopback that were free a moment ago. */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FirstPort + Math.floor(Math.random() * PortCount);
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
     * @param program File name in `dist/programs`, without its ending.
     * @param name Name of the settings and log files.
     */
    start(program: string, name: string, settings: unknown, more: readonly string[] = []): ChildProcess {
        const settingsPath = this.writeJson(`${name}.json`, settings);
        const script = fileURLToPath(new URL(`../programs/${program}.js`, import.meta.url));
        const logFile = openSync(join(this.directory, `${name}.log`), "a");
        const child = spawn(process.execPath, [script, "--settings", settingsPath, ...more], {
            stdio: ["ignore", logFile, logFile],
        });
        this.#children.push(child);
        return child;
    }

    /** @returns Path of the written file. */
    writeJson(name: string, value: unknown): string {
        const path = join(this.directory, name);
        writeFileSync(path, JSON.stringify(value));
        return path;
    }

    /** Stops all processes that are still running. Routers do not wait for the balancer here. */
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

/** Waits until a URL answers with status 200. */
export async function waitForReady(url: string, timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    let last = "no answer";
    while (performance.now() < endMs) {
        try {
            const answer = await fetch(url);
            last = `${answer.status} ${await answer.text()}`;
            if (answer.status === 200) {
                return;
            }
        }
        catch (error) {
            last = (error as Error).message;
        }
        await delay(ReadyIntervalMs);
    }
    throw new Error(`${url} is not ready after ${timeoutMs} ms: ${last}`);
}
