import { Client, credentials, Metadata, type ServiceError } from "@grpc/grpc-js";
import { encode } from "@msgpack/msgpack";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import { GrpcPeerClient } from "./grpcPeerClient.js";
import { methodPath } from "./peerCodec.js";
import type { PeerRequest } from "./peerMessages.js";
import { PeerServer } from "./peerServer.js";
import { type PeerSettings, PeerSettingsSchema } from "./peerSettings.js";

const cancel: PeerRequest = { method: "CancelTransfer", body: { transferId: "t1", giver: "h~1" } };
const TimeoutMs = 1_000;

describe("PeerServer and GrpcPeerClient", () => {
    const closers: (() => void)[] = [];
    let received: PeerRequestReceived[];

    beforeEach(() => {
        received = [];
    });

    afterEach(() => {
        for (const close of closers.splice(0)) {
            close();
        }
    });

    async function startServer(settings: Partial<PeerSettings> = {}, shouldReply = true): Promise<string> {
        const server = new PeerServer({
            settings: PeerSettingsSchema.parse(settings),
            clock: new SystemClock(),
            counters: new Counters(),
            post: event => {
                received.push(event);
                if (shouldReply && event.request.method === "CancelTransfer") {
                    const { transferId } = event.request.body;
                    server.reply(event.exchangeId, { method: "CancelTransfer", body: { transferId } });
                }
            },
        });
        closers.push(() => server.close());
        return `127.0.0.1:${await server.listen()}`;
    }

    function createClient(settings: Partial<PeerSettings> = {}, clock = new SystemClock()): GrpcPeerClient {
        const dependencies = {
            settings: PeerSettingsSchema.parse(settings),
            hostId: "a",
            clock,
            counters: new Counters(),
        };
        const client = new GrpcPeerClient(dependencies);
        closers.push(() => client.close());
        return client;
    }

    /** Calls a method with a payload that the peer client would not send. */
    function callRaw(address: string, path: string, payload: Uint8Array): Promise<ServiceError | Buffer> {
        const client = new Client(address, credentials.createInsecure());
        closers.push(() => client.close());
        const keep = (bytes: Buffer): Buffer => bytes;
        return new Promise(resolve => {
            client.makeUnaryRequest(path, keep, keep, Buffer.from(payload), new Metadata(), (error, reply) => {
                resolve(error ?? reply!);
            });
        });
    }

    describe("with a shared key", () => {
        it("serves a host that signs with the key and refuses others (guards against calls from outside the fleet)", async () => {
            const address = await startServer({ sharedKey: "right" });
            expect(await createClient({ sharedKey: "right" }).call(address, cancel, TimeoutMs))
                .toEqual({ status: "replied", reply: { method: "CancelTransfer", body: { transferId: "t1" } } });
            expect(await createClient({ sharedKey: "wrong" }).call(address, cancel, TimeoutMs))
                .toMatchObject({ status: "failed", reason: "the signature is missing or wrong" });
            expect(await createClient().call(address, cancel, TimeoutMs)).toMatchObject({ status: "failed" });
            expect(received).toHaveLength(1);
        });

        it("refuses a signature with an old timestamp (guards against replayed calls)", async () => {
            class SlowClock extends SystemClock {
                override wallMs(): number {
                    return Date.now() - 61_000;
                }
            }
            const address = await startServer({ sharedKey: "k" });
            const outcome = await createClient({ sharedKey: "k" }, new SlowClock()).call(address, cancel, TimeoutMs);
            expect(outcome).toMatchObject({ status: "failed", reason: expect.stringContaining("clocks differ") });
        });

        it("refuses an unsigned reply (guards against an impostor at a peer's address)", async () => {
            const address = await startServer();
            expect(await createClient({ sharedKey: "k" }).call(address, cancel, TimeoutMs))
                .toMatchObject({ status: "failed", reason: expect.stringContaining("reply") });
        });
    });

    describe("given more connections than the limit", () => {
        it("closes those without an accepted call (guards against routers that cannot reach each other)", async () => {
            const address = await startServer({ maxConnections: 4 });
            const peers = [createClient(), createClient()];
            const call = (client: GrpcPeerClient): Promise<unknown> => client.call(address, cancel, TimeoutMs);
            const reply = { status: "replied", reply: { method: "CancelTransfer", body: { transferId: "t1" } } };
            expect(await Promise.all(peers.map(call))).toEqual([reply, reply]);
            const closed = Array.from({ length: 20 }, () => {
                const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
                closers.push(() => socket.destroy());
                return new Promise<void>(resolve =>
                    socket.once("close", resolve).on("error", () => undefined).resume()
                );
            });
            await Promise.all(closed.slice(0, 18));
            expect(await Promise.all(peers.map(call))).toEqual([reply, reply]);
            expect(await call(createClient())).toEqual(reply);
        });
    });

    describe("without a key and without TLS", () => {
        it("uses loopback addresses only (guards against an open port on a real network)", async () => {
            await expect(startServer({ listenHost: "0.0.0.0" })).rejects.toThrow("loopback");
            expect(await createClient().call("192.0.2.1:1", cancel, TimeoutMs)).toMatchObject({ status: "failed" });
        });
    });

    describe("when the peer runs a newer or older release", () => {
        it("ignores unknown fields (guards against a fleet that splits during an upgrade)", async () => {
            const address = await startServer();
            const body = { transferId: "t1", giver: "h~1", addedLater: { a: 1 } };
            const reply = await callRaw(
                address,
                methodPath("CancelTransfer"),
                encode({ protocolVersion: 7, body, addedLater: true }),
            );
            expect(reply).toBeInstanceOf(Buffer);
            expect(received[0]!.request).toEqual(cancel);
        });

        it("refuses versions before the first one, unknown methods and malformed messages", async () => {
            const address = await startServer();
            const path = methodPath("CancelTransfer");
            expect(await callRaw(address, path, encode({ protocolVersion: 0, body: cancel.body })))
                .toMatchObject({ code: 3 });
            expect(await callRaw(address, path, Buffer.from([0xc1]))).toMatchObject({ code: 3 });
            expect(await callRaw(address, path, encode({ protocolVersion: 1, body: {} }))).toMatchObject({ code: 3 });
            expect(await callRaw(address, methodPath("AddedLater"), encode({}))).toMatchObject({ code: 12 });
            expect(received).toHaveLength(0);
        });
    });

    describe("when a message is too large", () => {
        it("refuses it on both sides (guards against exhausted memory)", async () => {
            const address = await startServer();
            const large: PeerRequest = {
                method: "CancelTransfer",
                body: { transferId: "x".repeat(300_000), giver: "" },
            };
            expect(await createClient().call(address, large, TimeoutMs)).toMatchObject({ status: "failed" });
            expect(
                await callRaw(address, methodPath("CancelTransfer"), encode({ protocolVersion: 1, body: large.body })),
            )
                .toMatchObject({ code: 8 });
            expect(received).toHaveLength(0);
        });
    });

    describe("when a peer calls more often than allowed", () => {
        it("refuses the excess calls and serves other peers (guards against one host that overloads the fleet)", async () => {
            const address = await startServer({ maxCallsPerS: 5 });
            const client = createClient();
            const outcomes = await Promise.all(
                Array.from({ length: 20 }, () => client.call(address, cancel, TimeoutMs)),
            );
            const served = outcomes.filter(outcome => outcome.status === "replied").length;
            expect(served).toBeGreaterThanOrEqual(5);
            expect(served).toBeLessThan(10);
            const other = new GrpcPeerClient({
                settings: PeerSettingsSchema.parse({}),
                hostId: "b",
                clock: new SystemClock(),
                counters: new Counters(),
            });
            closers.push(() => other.close());
            expect(await other.call(address, cancel, TimeoutMs)).toMatchObject({ status: "replied" });
        });
    });

    describe("when no controller replies", () => {
        it("ends the call after the timeout (guards against calls that never end)", async () => {
            const address = await startServer({ answerTimeoutMs: 50 }, false);
            expect(await createClient().call(address, cancel, TimeoutMs))
                .toMatchObject({ status: "failed", reason: "no answer to CancelTransfer" });
        });
    });

    describe("when a connection stops delivering data", () => {
        it("replaces it (guards against a peer that stays unreachable although new connections work)", async () => {
            const link = new SilentLink(await startServer());
            closers.push(() => link.close());
            const client = createClient();
            const address = await link.listen();
            expect(await client.call(address, cancel, TimeoutMs)).toMatchObject({ status: "replied" });
            link.silence();
            expect(await client.call(address, cancel, 150)).toMatchObject({ status: "failed" });
            expect(await client.call(address, cancel, 150)).toMatchObject({ status: "failed" });
            expect(await client.call(address, cancel, TimeoutMs)).toMatchObject({ status: "replied" });
        });
    });

    describe("when a connection is unused", () => {
        it("closes it (guards against one open connection per host of the fleet)", async () => {
            const address = await startServer();
            const client = createClient({ idleCloseMs: 40 });
            await client.call(address, cancel, TimeoutMs);
            expect(client.connectionCount).toBe(1);
            await expect.poll(() => client.connectionCount).toBe(0);
            expect(await client.call(address, cancel, TimeoutMs)).toMatchObject({ status: "replied" });
        });
    });
});

/** A TCP proxy that can discard all further data of its open connections, while new ones work. */
class SilentLink {
    readonly #target: string;
    readonly #server: Server;
    readonly #sockets: Socket[] = [];

    constructor(target: string) {
        this.#target = target;
        this.#server = createServer(socket => this.#forward(socket));
    }

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.#server.address() as { port: number; }).port}`;
    }

    silence(): void {
        for (const socket of this.#sockets) {
            socket.unpipe();
            socket.resume();
        }
    }

    close(): void {
        this.#server.close();
        for (const socket of this.#sockets) {
            socket.destroy();
        }
    }

    #forward(socket: Socket): void {
        const [host, port] = this.#target.split(":");
        const target = connect(Number(port), host);
        for (const end of [socket, target]) {
            end.on("error", () => undefined);
            this.#sockets.push(end);
        }
        socket.pipe(target).pipe(socket);
    }
}
