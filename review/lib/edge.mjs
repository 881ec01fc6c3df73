/** Runs the project's program as a process of its own, with the command of the deploy file and settings as in DEPLOY.md. */
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const Root = fileURLToPath(new URL("../..", import.meta.url));

/** Pause before a process that ended is started again, in milliseconds. */
const RestartPauseMs = 500;

/** @returns Program and arguments of the role in the deploy file. */
function deployCommand() {
    const text = readFileSync(join(Root, "deploy/system.toml"), "utf8");
    return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
}

/** @returns A free port at a loopback address. */
function freePort(host) {
    return new Promise((resolve, reject) => {
        const probe = createServer();
        probe.once("error", reject);
        probe.listen(0, host, () => {
            const { port } = probe.address();
            probe.close(() => resolve(port));
        });
    });
}

/** @returns Loopback address of a machine; the process id keeps runs at the same time apart. */
export function machineAddress(index) {
    return `127.${1 + (process.pid >> 8) % 250}.${process.pid % 256}.${index + 1}`;
}

/** One machine of the system. */
export class Edge {
    name;
    ip;
    zone;
    frontPort = 0;
    /** Number of times that the process ended although nobody ended it. */
    ownEnds = 0;
    starts = 0;
    #settings;
    #log;
    #record;
    #child;
    #isStopping = false;
    #isEndExpected = false;
    #restart;

    constructor(name, ip, zone, record) {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.#record = record;
    }

    /** Writes the settings and starts the process. */
    async start(directory, storeAddress, zones) {
        this.frontPort = await freePort(this.ip);
        const readyPort = await freePort(this.ip);
        this.#settings = join(directory, `${this.name}.conf`);
        this.#log = createWriteStream(join(directory, `${this.name}.log`));
        writeFileSync(
            this.#settings,
            [
                `node=${this.name}`,
                "role=edge",
                "machine-class=front",
                "serves=front",
                `ip=${this.ip}`,
                `zone=${this.zone}`,
                "region=ga-piedmont",
                ...zones.map(zone => `zones.${zone}=ga-piedmont`),
                `listen.front=${this.ip}:${this.frontPort}`,
                `listen.ready=${this.ip}:${readyPort}`,
                "internal-port-range=7200,7215",
                "bootstrap=true",
                "limits.cpu-share=0.675",
                "limits.cores=1",
                "limits.memory-mb=350",
                "limits.max-fds=4100",
                "limits.link-mbps=1000.0",
                "discovery=platform",
                "entry=vip",
                "heartbeat-ms=1200",
                "bounds.stable-window-ms=3000",
                "bounds.drain-ms=2000",
                "bounds.grace-s=8",
                "bounds.config-apply-ms=2000",
                "bounds.retry-budget-ratio=0.2",
                "bounds.budget-window-s=10",
                "bounds.retry-budget-slack=56",
                `platform.address=${storeAddress}`,
                "platform.form=objects",
                "platform.writes-per-s=400",
                "platform.reads-per-s=2000",
                "platform.history-s=20",
                "platform.value-bytes=1048576",
            ].join("\n"),
        );
        this.readyPort = readyPort;
        this.#spawn();
    }

    /** Ends the process at once; the platform starts it again. */
    kill() {
        this.#record(`SIGKILL to ${this.name}`);
        this.#isEndExpected = true;
        this.#child.kill("SIGKILL");
    }

    /** Sends a signal to the process; one that ends it counts as expected. */
    signal(name) {
        this.#record(`${name} to ${this.name}`);
        this.#isEndExpected = name === "SIGTERM";
        this.#child.kill(name);
    }

    /** Ends the process for good. */
    stop() {
        this.#isStopping = true;
        clearTimeout(this.#restart);
        this.#child?.kill("SIGKILL");
    }

    #spawn() {
        this.starts++;
        this.#isEndExpected = false;
        const [program, ...args] = deployCommand();
        const env = { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", TOUCANJUNCTION_BOOT: this.#settings };
        this.#child = spawn(program, args, { cwd: Root, env, stdio: ["ignore", "pipe", "pipe"] });
        this.#child.stdout.pipe(this.#log, { end: false });
        this.#child.stderr.pipe(this.#log, { end: false });
        this.#child.once("exit", (code, signal) => {
            if (this.#isStopping) {
                return;
            }
            if (!this.#isEndExpected) {
                this.ownEnds++;
                this.#record(`process of ${this.name} ended by itself, code=${code} signal=${signal}`);
            }
            this.#restart = setTimeout(() => this.#spawn(), RestartPauseMs);
        });
    }
}
