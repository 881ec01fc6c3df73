import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitForReady } from "../bench/processes.js";
import type { RouterSettingsInput } from "../router/routerSettings.js";
import { ClientCrowd, type CrowdPlan } from "../standins/clientCrowd.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import {
    createExampleResources,
    ExampleApiKey,
    ExamplePaidTokens,
    seedStore,
} from "../standins/router/exampleConfiguration.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";

const BytesPerMb = 1_000_000;

/** Limits of the router under test. */
const HeapMb = 64;
const CallerMemoryMb = 24;
const MaxConnections = 64;
const MaxBodyBytes = 4_000_000;

/** Memory of an idle router outside its heap: the program, its libraries and the buffers of its own connections. */
const ProgramMb = 110;
/** Descriptors that a router may use besides those of its callers' connections, as in the deployments. */
const OtherDescriptors = 200;

const MaxRssMb = HeapMb + CallerMemoryMb + ProgramMb;
const MaxDescriptors = MaxConnections + OtherDescriptors;

/** Duration of a sale, in milliseconds; longer than a test. */
const SaleMs = 60_000;

/** Time after which a crowd that no longer changes is taken to have been read as far as it will be, in milliseconds. */
const QuietMs = 1_000;

/** Time that a crowd has acted when an ordinary request is sent beside it, in milliseconds. */
const CrowdMs = 3_000;

/** Time between two requests that compete, in milliseconds. */
const SendMs = 300;

/** Time within which an ordinary caller wants its response, in milliseconds. */
const DeadlineMs = 30_000;

/** Processor time up to which a process counts as idle in a tenth of a second, in ticks of 10 ms. */
const MaxIdleTicks = 3;

/** @returns The head of a request with a body in chunks. */
function chunkedHead(path: string, apiKey = ExampleApiKey): string {
    return `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n` +
        `Authorization: Bearer ${apiKey}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

const ChatPath = "/v1/chat/completions";
const ChatHead = chunkedHead(ChatPath);
const SmallChunks = "1\r\nx\r\n".repeat(5_000);

describe("a router process whose callers do not respect the limits", () => {
    let platform: PlatformServer;
    let engine: UpstreamServer;
    let sales: UpstreamServer;
    let folder: string;
    let router: ChildProcess;
    let addresses: { readonly caller: string; readonly operator: string; readonly peer: string; };
    let sockets: Socket[];
    let isExited: boolean;
    let maxRssMb: number;
    let maxDescriptors: number;
    let sampler: NodeJS.Timeout;

    beforeEach(async () => {
        [isExited, maxRssMb, maxDescriptors, sockets] = [false, 0, 0, []];
        platform = new PlatformServer({ hostListLagMs: 100 });
        engine = new UpstreamServer({ port: 0, tokenIntervalMs: 1 });
        sales = new UpstreamServer({ port: 0, type: "service", serviceTimeMs: SaleMs });
        folder = mkdtempSync(join(tmpdir(), "toucan-limits-"));
        const platformUrl = await platform.start(0);
        const urls = { engines: [await engine.start()], sales: await sales.start() };
        seedStore(platform.objects, createExampleResources(urls), ExamplePaidTokens);
        addresses = await startRouter({
            hostId: "h1",
            zone: "z1",
            caller: { port: 0 },
            operator: { port: 0 },
            peer: { maxConnections: MaxConnections },
            platform: { url: platformUrl },
            gateway: {
                maxBodyBytes: MaxBodyBytes,
                callerMemoryBytes: CallerMemoryMb * BytesPerMb,
                maxConnections: MaxConnections,
            },
        });
        await waitForReady(`http://${addresses.caller}/readyz`, 20_000);
        sampler = setInterval(takeSample, 20);
    });

    afterEach(async () => {
        clearInterval(sampler);
        sockets.forEach(socket => socket.destroy());
        if (!isExited) {
            const exit = new Promise(resolve => router.once("exit", resolve));
            router.kill("SIGKILL");
            await exit;
        }
        await Promise.all([engine.stop(), sales.stop(), platform.stop()]);
        rmSync(folder, { recursive: true });
    });

    async function startRouter(settings: RouterSettingsInput): Promise<typeof addresses> {
        const file = join(folder, "settings.json");
        writeFileSync(file, JSON.stringify(settings));
        const flags = [`--max-old-space-size=${HeapMb}`, "dist/programs/toucanRouter.js"];
        router = spawn(process.execPath, [...flags, "--log-level", "error", "--settings", file], {
            stdio: ["ignore", "pipe", "ignore"],
        });
        router.once("exit", () => isExited = true);
        for await (const chunk of router.stdout!) {
            return JSON.parse(String(chunk)) as typeof addresses;
        }
        throw new Error("the router ended without output");
    }

    /** Reads the memory and descriptors of the process; a process that has ended has none. */
    function takeSample(): void {
        try {
            const status = readFileSync(`/proc/${router.pid}/status`, "utf8");
            const rssKb = Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
            maxRssMb = Math.max(maxRssMb, rssKb * 1_024 / BytesPerMb);
            maxDescriptors = Math.max(maxDescriptors, readdirSync(`/proc/${router.pid}/fd`).length);
        }
        catch {
            // The process has ended.
        }
    }

    /** Opens connections that send what they are given, read nothing and stay open. */
    function openConnections(count: number, address: string, parts: readonly string[]): Socket[] {
        const { hostname, port } = new URL(`http://${address}`);
        const opened = Array.from({ length: count }, () => {
            const socket = connect(Number(port), hostname);
            socket.on("error", () => undefined);
            socket.pause();
            parts.forEach(part => socket.write(part));
            return socket;
        });
        sockets.push(...opened);
        return opened;
    }

    /** @returns Processor time that the process has used, in ticks of 10 ms; 0 if it has ended. */
    function readCpuTicks(): number {
        try {
            const fields = readFileSync(`/proc/${router.pid}/stat`, "utf8").split(") ")[1]!.split(" ");
            return Number(fields[11]) + Number(fields[12]);
        }
        catch {
            return 0;
        }
    }

    /** Waits until the process has ended, or has read nothing more from the crowd and has been nearly idle for {@link QuietMs}. */
    async function untilQuiet(): Promise<void> {
        const checkMs = 100;
        const unsentBytes = (): number => sockets.reduce((sum, socket) => sum + socket.writableLength, 0);
        const connectingCount = (): number => sockets.filter(socket => socket.connecting).length;
        let [lastState, lastTicks, quietMs] = ["", 0, 0];
        while (!isExited && quietMs < QuietMs) {
            await delay(checkMs);
            const state = `${unsentBytes()} ${connectingCount()}`;
            const ticks = readCpuTicks();
            quietMs = state === lastState && ticks - lastTicks <= MaxIdleTicks ? quietMs + checkMs : 0;
            [lastState, lastTicks] = [state, ticks];
        }
    }

    /** Expects that the process lives within its limits. */
    function expectLimits(): void {
        takeSample();
        expect({ isExited }).toEqual({ isExited: false });
        expect(maxRssMb).toBeLessThan(MaxRssMb);
        expect(maxDescriptors).toBeLessThan(MaxDescriptors);
    }

    /** Expects that an ordinary request is answered in time. */
    async function expectAnswer(): Promise<void> {
        const response = await fetch(`http://${addresses.caller}${ChatPath}`, {
            method: "POST",
            headers: { authorization: `Bearer ${ExampleApiKey}` },
            body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "hello" }], max_tokens: 5 }),
            signal: AbortSignal.timeout(DeadlineMs),
        });
        expect([response.status, await response.text()]).toEqual([200, expect.stringContaining("\"choices\"")]);
        expect({ isExited }).toEqual({ isExited: false });
    }

    /** Expects that the process lives within its limits and answers an ordinary request. */
    async function expectService(): Promise<void> {
        await untilQuiet();
        expectLimits();
        await expectAnswer();
    }

    /** Lets a crowd act, and expects that ordinary requests beside it and after it are answered. */
    async function expectServiceBeside(plan: CrowdPlan, address: string): Promise<void> {
        const crowd = new ClientCrowd(plan, () => openConnections(1, address, [])[0]!);
        crowd.start();
        await delay(CrowdMs);
        await expectAnswer();
        crowd.stop();
        await expectAnswer();
        expectLimits();
    }

    describe("given unfinished bodies in chunks of one byte", () => {
        it("serves on (guards against chunks that retain a receive buffer each)", async () => {
            openConnections(8, addresses.caller, [ChatHead, ...Array<string>(20).fill("1\r\nx\r\n".repeat(20_000))]);
            await expectService();
        });
    });

    describe("given pipelined requests whose responses are not read", () => {
        const createSale = (key: string): string =>
            "POST /services/sales/buy HTTP/1.1\r\nHost: h\r\n" +
            `Authorization: Bearer ${ExampleApiKey}\r\nIdempotency-Key: ${key}\r\nContent-Length: 9\r\n\r\n10 tokens`;

        it("serves on (guards against responses that are kept behind one that takes long)", async () => {
            const requests = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".repeat(10_000);
            for (let index = 0; index < 40; index++) {
                openConnections(1, addresses.caller, [createSale(`sale-${index}`) + requests]);
            }
            await expectService();
        });

        it("serves on at the operator listener (guards against states that are kept for a client that reads none)", async () => {
            openConnections(20, addresses.operator, ["GET /state HTTP/1.1\r\nHost: h\r\n\r\n".repeat(2_000)]);
            await expectService();
        });
    });

    describe("given many unfinished large bodies that stay open", () => {
        it("serves on (guards against bodies that together exceed the memory)", async () => {
            const chunk = `${(MaxBodyBytes - 1).toString(16)}\r\n${"x".repeat(MaxBodyBytes - 1_000)}`;
            openConnections(60, addresses.caller, [ChatHead, chunk]);
            await expectService();
        });
    });

    describe.each(["caller", "operator", "peer"] as const)(
        "given many connections to the %s listener that send nothing",
        name => {
            it("serves on (guards against running out of descriptors)", async () => {
                openConnections(400, addresses[name], []);
                await expectService();
            });
        },
    );

    describe("given several bodies of the maximum size in chunks of one byte", () => {
        /** Sends a request on a new connection. @returns The status of the response; 0 when the connection closes without one. */
        function requestStatus(text: string): Promise<number> {
            const [socket] = openConnections(1, addresses.caller, [text]) as [Socket];
            return new Promise(resolve => {
                socket.once("close", () => resolve(0));
                socket.once("data", bytes => resolve(Number(/^HTTP\/1\.1 (\d{3}) /.exec(bytes.toString())?.[1] ?? 0)));
                socket.resume();
            });
        }

        it("serves the first and refuses the others (guards against bodies of which none completes)", async () => {
            const content = JSON.stringify({
                model: "assistant",
                messages: [{ role: "user", content: "hello" }],
                max_tokens: 5,
            });
            const body = [...content.padEnd(MaxBodyBytes)].map(character => `1\r\n${character}\r\n`).join("");
            const statuses: Promise<number>[] = [];
            for (let index = 0; index < 3; index++) {
                statuses.push(requestStatus(`${ChatHead}${body}0\r\n\r\n`));
                await delay(SendMs);
            }
            expect(await Promise.all(statuses)).toEqual([200, 429, 429]);
            expectLimits();
        }, 90_000);
    });

    describe("given clients that send what is expensive to read", () => {
        it.each([["a key", ExampleApiKey], ["an unknown key", "unknown"]])(
            "with %s, serves on beside bodies in chunks of one byte (guards against a connection that holds the event loop)",
            async (_name, apiKey) => {
                const first = (): string => chunkedHead(ChatPath, apiKey);
                await expectServiceBeside({ clientCount: 40, first, piece: SmallChunks }, addresses.caller);
            },
            90_000,
        );

        it("serves on beside those that leave (guards against bytes that are parsed for nobody)", async () => {
            const plan = {
                clientCount: 60,
                first: () => ChatHead,
                piece: SmallChunks,
                piecesPerConnection: 20,
                leaveAfterMs: 600,
            };
            await expectServiceBeside(plan, addresses.caller);
        }, 90_000);

        it(
            "serves on beside more connections than the limit whose bodies stop short (guards against connections that wait for nothing)",
            async () => {
                const first = (): string => `${ChatHead}2800\r\n${"x".repeat(10_000)}`;
                const plan = { clientCount: 100, first, piece: "", piecesPerConnection: 0 };
                await expectServiceBeside(plan, addresses.caller);
            },
            90_000,
        );

        it("serves on beside line ends (guards against bytes that belong to no request)", async () => {
            await expectServiceBeside(
                { clientCount: 40, first: () => "", piece: "\r\n".repeat(20_000) },
                addresses.caller,
            );
        }, 90_000);

        it(
            "serves on beside such clients of the operator listener (guards against listeners that share the event loop)",
            async () => {
                const plan = { clientCount: 40, first: () => chunkedHead("/state"), piece: SmallChunks };
                await expectServiceBeside(plan, addresses.operator);
            },
            90_000,
        );
    });
});
