import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../base/clock.js";
import { Upstream } from "./upstream.js";
import { UpstreamProber } from "./upstreamProber.js";

/** Number of processes that are killed in turn. */
const KillCount = 10;

/** Number of open connections of each process. */
const ConnectionCount = 20;

/** A server process that accepts connections and prints its port. */
const ServerProgram = `
    const server = require("node:net").createServer(socket => socket.on("error", () => undefined).resume());
    server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

const clock = new SystemClock();

const upstreamAt = (port: number): Upstream =>
    new Upstream({
        id: "i-1",
        service: "lm",
        address: `127.0.0.1:${port}`,
        zone: "a",
        slots: 6,
        isLeaving: false,
        startedAtMs: 1,
    }, clock);

describe("UpstreamProber", () => {
    let child: ChildProcess | undefined;
    let server: Server | undefined;

    afterEach(() => {
        child?.kill("SIGKILL");
        server?.close();
    });

    describe("given a process that is killed with open connections", () => {
        it("tells that it has ended as soon as a connection breaks off (guards against probes that come before the listener closes)", async () => {
            const results: string[] = [];
            for (let kill = 0; kill < KillCount; kill++) {
                child = spawn(process.execPath, ["-e", ServerProgram], { stdio: ["ignore", "pipe", "inherit"] });
                const [output] = await once(child.stdout!, "data") as [Buffer];
                const port = Number(output.toString());
                const sockets = Array.from({ length: ConnectionCount }, () => connect(port, "127.0.0.1"));
                await Promise.all(sockets.map(socket => once(socket, "connect")));
                const upstream = upstreamAt(port);
                const prober = new UpstreamProber(clock, () => undefined);
                const firstClose = Promise.race(sockets.map(socket =>
                    new Promise(resolve => {
                        socket.on("error", () => undefined);
                        socket.once("close", resolve);
                        socket.resume();
                    })
                ));
                child.kill("SIGKILL");
                await firstClose;
                results.push(await prober.probe(upstream));
                sockets.forEach(socket => socket.destroy());
            }
            expect(results).toEqual(Array(KillCount).fill("ended"));
        });
    });

    describe("given a server that listens", () => {
        it("opens one connection for many questions, and another one later (guards against old results and needless connections)", async () => {
            let connectionCount = 0;
            server = createServer(socket => {
                connectionCount++;
                socket.on("error", () => undefined).resume();
            });
            await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
            const upstream = upstreamAt((server.address() as AddressInfo).port);
            const prober = new UpstreamProber(clock, () => undefined);
            const first = await Promise.all(Array.from({ length: 5 }, () => prober.probe(upstream)));
            expect(first).toEqual(Array(5).fill("alive"));
            expect(connectionCount).toBe(1);
            await new Promise<void>(resolve => server!.close(() => resolve()));
            await expect.poll(() => prober.probe(upstream), { timeout: 2_000 }).toBe("ended");
        });
    });
});
