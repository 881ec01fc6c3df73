import { createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { ResetObservationMs } from "../../base/resetDetection.js";
import { sleep } from "../../base/sleep.js";
import type { ResponseHead } from "./responseParser.js";
import { UpstreamConnection } from "./upstreamConnection.js";

interface Outcome {
    readonly kind: string;
    readonly body: string;
    readonly head: ResponseHead | undefined;
}

const servers: Server[] = [];

async function listen(onRequest: (socket: Socket, text: string) => void): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", bytes => onRequest(socket, bytes.toString()));
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
}

function exchange(
    connection: UpstreamConnection,
    id: string,
    requestBody?: Buffer,
    mayWrite = () => true,
): Promise<Outcome> {
    return new Promise(resolve => {
        let body = "";
        let head: ResponseHead | undefined;
        connection.send({ method: "GET", head: `GET / HTTP/1.1\r\nX-Id: ${id}\r\n\r\n`, body: requestBody }, {
            isResponseToRequest: received => received.headersByName.get("x-id") === id,
            mayWrite,
            onWritten: () => undefined,
            onHead: received => head = received,
            onBody: bytes => body += bytes.toString(),
            onComplete: () => resolve({ kind: "complete", body, head }),
            onFailure: failure => resolve({ kind: failure, body, head }),
        });
    });
}

describe("UpstreamConnection", () => {
    const open = (address: string) => new UpstreamConnection(address, 500, () => undefined);

    afterEach(() => {
        for (const server of servers.splice(0)) {
            server.close();
        }
    });

    describe("given a response without a length", () => {
        it("is complete when the upstream closes the connection in an orderly way", async () => {
            const address = await listen(socket => socket.end("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole"));
            expect(await exchange(open(address), "a")).toMatchObject({ kind: "complete", body: "whole" });
        });

        it("is not complete when the upstream resets it (guards against truncated responses that look complete)", async () => {
            const address = await listen(socket => {
                socket.write("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart", () => socket.resetAndDestroy());
            });
            for (let round = 0; round < 20; round++) {
                expect((await exchange(open(address), "a")).kind).toBe("brokenOff");
            }
        });
    });

    describe("given an orderly end", () => {
        const withoutLength = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nok";
        const withLength = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";
        const body = Buffer.from("x");

        /** @returns The shortest time of several exchanges, in milliseconds. */
        const measure = async (response: string, requestBody?: Buffer): Promise<number> => {
            const address = await listen(socket => socket.end(response));
            const durationsMs: number[] = [];
            for (let round = 0; round < 5; round++) {
                const startedMs = performance.now();
                expect(await exchange(open(address), "a", requestBody)).toMatchObject({ kind: "complete", body: "ok" });
                durationsMs.push(performance.now() - startedMs);
            }
            return Math.min(...durationsMs);
        };

        it("observes the connection if the request has a body and the response no length (guards against resets that are not seen)", async () => {
            expect(await measure(withoutLength, body)).toBeGreaterThanOrEqual(ResetObservationMs - 5);
        });

        it.each([["no body and no length", withoutLength, undefined], ["a body and a length", withLength, body]])(
            "does not wait: %s (guards against a delay of every response)",
            async (_name, response, requestBody) => {
                expect(await measure(response, requestBody)).toBeLessThan(ResetObservationMs);
            },
        );

        it("reports nothing after it is destroyed during the observation (guards against a response to a caller that left)", async () => {
            const address = await listen(socket => socket.end(withoutLength));
            const connection = open(address);
            const outcome = exchange(connection, "a", body);
            await sleep(ResetObservationMs / 2);
            connection.destroy();
            expect(await Promise.race([outcome, sleep(2 * ResetObservationMs)])).toBeUndefined();
        });
    });

    describe("given a request that may no longer be sent once the connection is open", () => {
        it("writes nothing (guards against a host that was suspended while it connected)", async () => {
            const received: string[] = [];
            const address = await listen((_socket, text) => received.push(text));
            expect((await exchange(open(address), "a", undefined, () => false)).kind).toBe("notConnected");
            await new Promise(resolve => setTimeout(resolve, 100));
            expect(received).toEqual([]);
        });
    });

    describe("given a response to another request", () => {
        it("skips it and accepts its own (guards against swapped responses)", async () => {
            const late = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold";
            const own = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nown";
            const address = await listen(socket => socket.write(late + own));
            expect(await exchange(open(address), "a")).toMatchObject({ kind: "complete", body: "own" });
        });
    });

    describe("given bytes after a complete response", () => {
        it("is not used again (guards against an extra response to the next request)", async () => {
            const response = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";
            const address = await listen(socket => socket.write(`${response}HTTP/1.1 200 OK\r\n`));
            const connection = open(address);
            expect((await exchange(connection, "a")).kind).toBe("complete");
            expect(connection.isClosed).toBe(true);
        });
    });

    describe("given no server at the address", () => {
        it("reports that nothing was sent (guards against failed requests that could be sent elsewhere)", async () => {
            const address = await listen(() => undefined);
            servers.pop()?.close();
            expect((await exchange(open(address), "a")).kind).toBe("notConnected");
        });
    });

    describe("given a connection that closes without a response", () => {
        it("reports that the request may have been read (guards against requests that run twice)", async () => {
            const address = await listen(socket => socket.end());
            expect((await exchange(open(address), "a")).kind).toBe("brokenOff");
        });
    });
});
