// Starts the program of the deploy file as separate processes, one for each machine, each on a loopback address of its own.
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const RepositoryRoot = fileURLToPath(new URL("../..", import.meta.url));
const Ports = { front: 8740, ready: 8749, control: 8748, internal: 7200, metrics: 7215 };

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** @returns The command of the only role of the deploy file. */
function deployCommand() {
    const text = readFileSync(join(RepositoryRoot, "deploy/system.toml"), "utf8");
    return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

function isFree(ip, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

/** @returns Loopback addresses on which all ports of a machine are free. */
export async function freeAddresses(count) {
    const addresses = [];
    for (let attempt = 0; addresses.length < count && attempt < 1_000; attempt++) {
        const part = () => 1 + Math.floor(Math.random() * 250);
        const ip = `127.${part()}.${part()}.${part()}`;
        const free = await Promise.all(Object.values(Ports).map(port => isFree(ip, port)));
        if (free.every(Boolean)) {
            addresses.push(ip);
        }
    }
    return addresses;
}

/** One machine: a process that the platform starts again after it has ended. */
export class Machine {
    #directory = mkdtempSync(join(tmpdir(), "review-"));
    #child;
    #isStopped = false;

    constructor(name, zone, ip, storeAddress, settings = {}) {
        this.name = name;
        this.zone = zone;
        this.ip = ip;
        this.front = { host: ip, port: Ports.front };
        this.settingsPath = join(this.#directory, "settings.conf");
        this.logPath = join(this.#directory, "log");
        this.ends = [];
        writeFileSync(this.settingsPath, settingsText({ name, zone, ip, storeAddress, settings }));
    }

    /** @param restartDelayMs Time after the end of a process until the platform starts the next one. */
    start(restartDelayMs = 500) {
        const [program, ...args] = deployCommand();
        const log = openSync(this.logPath, "a");
        this.#child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: RepositoryRoot,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, TOUCANJUNCTION_BOOT: this.settingsPath },
            stdio: ["ignore", log, log],
        });
        this.#child.once("exit", (code, signal) => {
            this.ends.push({ code, signal });
            setTimeout(() => {
                if (!this.#isStopped) {
                    this.start(restartDelayMs);
                }
            }, restartDelayMs);
        });
    }


    async isReady() {
        return await new Promise(resolve => {
            const call = request({ host: this.ip, port: Ports.ready, path: "/readiness", agent: false }, response => {
                response.resume();
                response.once("end", () => resolve(response.statusCode === 200));
            });
            call.setTimeout(1_000, () => call.destroy());
            call.once("error", () => resolve(false));
            call.end();
        });
    }

    log() {
        return readFileSync(this.logPath, "utf8");
    }

    stop() {
        this.#isStopped = true;
        this.#child?.kill("SIGCONT");
        this.#child?.kill("SIGKILL");
        if (process.env.KEEP_LOGS === undefined) {
            setTimeout(() => rmSync(this.#directory, { recursive: true, force: true }), 200);
        }
    }
}

/** @returns Whether all machines are ready within a time. */
export async function allReady(machines, withinMs = 15_000) {
    const untilMs = Date.now() + withinMs;
    while (Date.now() < untilMs) {
        const ready = await Promise.all(machines.map(machine => machine.isReady()));
        if (ready.every(Boolean)) {
            return true;
        }
        await sleep(50);
    }
    return false;
}

function settingsText({ name, zone, ip, storeAddress, settings }) {
    const values = {
        "node": name,
        "role": "edge",
        "machine-class": "front",
        "serves": "front",
        ip,
        zone,
        "region": "ie-south",
        "zones.ie-south-a": "ie-south",
        "zones.ie-south-b": "ie-south",
        "zones.ie-south-c": "ie-south",
        "listen.front": `${ip}:${Ports.front}`,
        "listen.ready": `${ip}:${Ports.ready}`,
        "internal-port-range": `${Ports.internal},${Ports.metrics}`,
        "bootstrap": "true",
        "limits.cpu-share": "0.675",
        "limits.cores": "1",
        "limits.memory-mb": "350",
        "limits.max-fds": "4200",
        "limits.link-mbps": "1000.0",
        "limits.disk-mb": "0",
        "discovery": "platform",
        "entry": "vip",
        "heartbeat-ms": "1200",
        "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
        "bounds.seed-lag-s": "3",
        "bounds.reuse-after-s": "2",
        "bounds.stable-window-ms": "3000",
        "bounds.ack-ms": "4000",
        "bounds.catch-up-s": "4",
        "bounds.drain-ms": "2000",
        "bounds.grace-s": "8",
        "bounds.loss-slack-ms": "200",
        "bounds.config-apply-ms": "2000",
        "bounds.rollback-slack-ms": "250",
        "bounds.max-stretch-ms": "5000",
        "bounds.strict-revoke": "false",
        "bounds.revoke-ms": "5000",
        "bounds.retry-budget-ratio": "0.2",
        "bounds.budget-window-s": "10",
        "bounds.retry-budget-slack": "52",
        "bounds.recovery-s": "12",
        "bounds.pass-ms": "120",
        "bounds.retry-after-s": "9.9",
        "bounds.settle_ms": "1500",
        "platform.address": storeAddress,
        "platform.form": "objects",
        "platform.writes-per-s": "400",
        "platform.reads-per-s": "2000",
        "platform.history-s": "20",
        "platform.value-bytes": "1048576",
        "platform.ttl-min-ms": "1000",
        ...settings,
    };
    return Object.entries(values).map(([key, value]) => `${key}=${value}\n`).join("");
}
