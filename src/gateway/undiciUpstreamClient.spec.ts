import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ResetObservationMs } from "../base/resetDetection.js";
import { sleep } from "../base/sleep.js";
import { UndiciUpstreamClient } from "./undiciUpstreamClient.js";
import type { UpstreamCallOutcome } from "./upstreamClient.js";

/** Runs in its own thread. Sends the first half of a response at once and the second after 100 ms. */
const UpstreamSource = `
    const { createServer } = require("node:http");
    const { parentPort } = require("node:worker_threads");
    const server = createServer((request, response) => {
        response.write("first ");
        setTimeout(() => request.url === "/silent" || response.end("second"), 100);
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

const ProgressTimeoutMs = 400;

describe("UndiciUpstreamClient", () => {
    let upstream: Worker;
    let client: UndiciUpstreamClient;
    let url: string;
    beforeEach(async () => {
        upstream = new Worker(UpstreamSource, { eval: true });
        const [port] = await once(upstream, "message") as [number];
        url = `http://127.0.0.1:${port}`;
        client = new UndiciUpstreamClient({ connectTimeoutMs: 1_000, keepAliveMs: 1_000 });
    });
    afterEach(async () => {
        await client.close();
        await upstream.terminate();
    });

    function call(path: string, onFirstData: () => void): Promise<{ text: string; outcome: UpstreamCallOutcome; }> {
        return new Promise(resolve => {
            let text = "";
            const request = { url, method: "GET", path, headers: {}, body: undefined };
            const timeouts = { firstByteTimeoutMs: ProgressTimeoutMs, progressTimeoutMs: ProgressTimeoutMs };
            client.call({ ...request, ...timeouts }, {
                onHead: () => undefined,
                onData: chunk => {
                    const isFirst = text === "";
                    text += chunk.toString();
                    if (isFirst) {
                        onFirstData();
                    }
                },
                onEnd: outcome => resolve({ text, outcome }),
            });
        });
    }

    /** Blocks this thread, like a process that is suspended. */
    function stall(durationMs: number): void {
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
    }

    describe("when the process is stalled for longer than a timeout", () => {
        it("reads the bytes that arrived meanwhile (guards against interrupting a stream that is complete)", async () => {
            const { text, outcome } = await call("/", () => setImmediate(() => stall(3 * ProgressTimeoutMs)));
            expect(text).toBe("first second");
            expect(outcome).toMatchObject({ status: "ended" });
        });
    });

    describe("when it is closed while a connection is observed for a reset", () => {
        it("closes the connection (guards against a stop that waits for the connection without end)", async () => {
            let isClosed = false;
            const server = createServer({ allowHalfOpen: true }, socket => {
                socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\n\r\npart"));
                socket.on("error", () => undefined);
                socket.once("close", () => isClosed = true);
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const { port } = server.address() as AddressInfo;
            let hasData = false;
            let endCount = 0;
            client.call({
                url: `http://127.0.0.1:${port}`,
                method: "POST",
                path: "/",
                headers: {},
                body: Buffer.from("x"),
                firstByteTimeoutMs: ProgressTimeoutMs,
                progressTimeoutMs: ProgressTimeoutMs,
            }, { onHead: () => undefined, onData: () => hasData = true, onEnd: () => endCount++ });
            await vi.waitFor(() => expect(hasData).toBe(true), { interval: 5 });
            await sleep(ResetObservationMs / 2);
            await client.close();
            await vi.waitFor(() => expect(isClosed).toBe(true));
            server.close();
            expect(endCount).toBe(0);
        });
    });

    describe("when the upstream stops in the middle of a response", () => {
        it("ends the call after the timeout, also after a stall (guards against calls that never end)", async () => {
            const startedMs = performance.now();
            const { outcome } = await call("/silent", () => setImmediate(() => stall(ProgressTimeoutMs)));
            expect(outcome).toMatchObject({ status: "failed", timedOut: true });
            expect(performance.now() - startedMs).toBeLessThan(10 * ProgressTimeoutMs);
        });
    });
});
