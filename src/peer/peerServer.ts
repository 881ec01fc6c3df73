/** The gRPC service that other routers call. */
import {
    Metadata,
    type sendUnaryData,
    Server,
    ServerCredentials,
    type ServerUnaryCall,
    type ServiceDefinition,
    status,
} from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import { PeerAuthenticator, SenderMetadataKey, SignatureMetadataKey } from "./peerAuthenticator.js";
import { PeerCallRateLimiter } from "./peerCallRateLimiter.js";
import { decodeRequest, encodeMessage, methodPath } from "./peerCodec.js";
import { MaxPeerMessageBytes, type PeerMethod, PeerMethods, type PeerReply } from "./peerMessages.js";
import { hostOfAddress, isLoopbackAddress, type PeerSettings } from "./peerSettings.js";

/** Largest number of requests that wait for their answer. */
const MaxWaitingRequests = 512;

/** Time without calls after which the server closes a connection. Each connection holds some 0.5 MB. */
const ConnectionIdleMs = 15_000;

type PeerCall = ServerUnaryCall<Buffer, Buffer>;
type Callback = sendUnaryData<Buffer>;

/** What the server needs from the router. */
export interface PeerServerDependencies {
    readonly settings: PeerSettings;
    readonly clock: Clock;
    readonly counters: Counters;
    /** Hands a request to the controllers. Exactly one of them answers it with a `peerAnswer` effect. */
    readonly post: (event: PeerRequestReceived) => void;
}

interface Waiting {
    readonly call: PeerCall;
    readonly callback: Callback;
    readonly timer: NodeJS.Timeout;
    readonly method: PeerMethod;
    readonly requestSignature: string;
}

/** Turns calls of other routers into events and answers them. */
export class PeerServer {
    readonly #dependencies: PeerServerDependencies;
    readonly #auth: PeerAuthenticator;
    readonly #rateLimit: PeerCallRateLimiter;
    readonly #waiting = new Map<string, Waiting>();
    readonly #server: Server;
    #requestCount = 0;

    constructor(dependencies: PeerServerDependencies) {
        this.#dependencies = dependencies;
        const { settings } = dependencies;
        this.#auth = new PeerAuthenticator(settings.sharedKey, settings.maxClockDifferenceMs);
        this.#rateLimit = new PeerCallRateLimiter(settings.maxCallsPerS);
        this.#server = new Server({
            "grpc.max_receive_message_length": MaxPeerMessageBytes,
            "grpc.keepalive_time_ms": settings.keepaliveMs * 6,
            "grpc.keepalive_timeout_ms": settings.keepaliveTimeoutMs,
            "grpc.max_connection_idle_ms": ConnectionIdleMs,
        });
        this.#addService();
    }

    /**
     * Starts to listen.
     * @returns The port.
     * @throws Error when neither a shared key nor TLS is set and the address is not a loopback address.
     */
    async listen(): Promise<number> {
        const { settings } = this.#dependencies;
        const isProtected = this.#auth.isEnabled || settings.tls !== undefined;
        if (!isProtected && !isLoopbackAddress(settings.listenHost)) {
            throw new Error("a peer listener without a shared key and without TLS needs a loopback address");
        }
        const host = settings.listenHost.includes(":") ? `[${settings.listenHost}]` : settings.listenHost;
        return new Promise((resolve, reject) => {
            this.#server.bindAsync(`${host}:${settings.listenPort}`, serverCredentials(settings), (error, port) => {
                if (error === null) {
                    resolve(port);
                }
                else {
                    reject(error);
                }
            });
        });
    }

    /** Sends the answer of a controller. Answers that come too late are dropped. */
    reply(exchangeId: string, reply: PeerReply): void {
        const waiting = this.#take(exchangeId);
        if (waiting === undefined) {
            return;
        }
        const payload = encodeMessage(reply.body);
        if (payload.isErr) {
            this.#refuse(waiting.callback, status.RESOURCE_EXHAUSTED, payload.error);
            return;
        }
        if (this.#auth.isEnabled) {
            const metadata = new Metadata();
            metadata.set(SignatureMetadataKey, this.#auth.signReply(waiting.requestSignature, payload.value));
            waiting.call.sendMetadata(metadata);
        }
        this.#dependencies.counters.add("peer.server.sentBytes", payload.value.length);
        waiting.callback(null, payload.value);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        for (const exchangeId of [...this.#waiting.keys()]) {
            this.#refuse(this.#take(exchangeId)!.callback, status.UNAVAILABLE, "the listener closes");
        }
        this.#server.forceShutdown();
    }

    #addService(): void {
        const methods = Object.keys(PeerMethods) as PeerMethod[];
        const definition = Object.fromEntries(methods.map(method => [method, {
            path: methodPath(method),
            requestStream: false,
            responseStream: false,
            requestSerialize: keepBuffer,
            requestDeserialize: keepBuffer,
            responseSerialize: keepBuffer,
            responseDeserialize: keepBuffer,
        }])) as ServiceDefinition;
        const handlers = methods.map(method => [
            method,
            (call: PeerCall, callback: Callback) => this.#receive(method, call, callback),
        ]);
        this.#server.addService(definition, Object.fromEntries(handlers));
    }

    #receive(method: PeerMethod, call: PeerCall, callback: Callback): void {
        const { counters, clock, settings } = this.#dependencies;
        counters.add(`peer.server.calls.${method}`);
        counters.add("peer.server.receivedBytes", call.request.length);
        const refusal = this.#checkCall(method, call);
        if (refusal !== undefined) {
            this.#refuse(callback, refusal.code, refusal.reason);
            return;
        }
        const request = decodeRequest(method, call.request);
        if (request.isErr) {
            this.#refuse(callback, status.INVALID_ARGUMENT, request.error);
            return;
        }
        this.#requestCount++;
        const exchangeId = `peer/${this.#requestCount}`;
        const timer = setTimeout(() => this.#expire(exchangeId), settings.answerTimeoutMs);
        const requestSignature = metadataText(call, SignatureMetadataKey);
        this.#waiting.set(exchangeId, { call, callback, timer, method, requestSignature });
        counters.set("peer.server.lastCallMs", clock.monotonicMs());
        this.#dependencies.post({ type: "peerRequested", exchangeId, request: request.value });
    }

    /** Unverified callers are limited by their IP address, verified ones by the name that they signed. */
    #checkCall(method: PeerMethod, call: PeerCall): { code: status; reason: string; } | undefined {
        const { clock } = this.#dependencies;
        const address = hostOfAddress(call.getPeer());
        if (!this.#auth.isEnabled && this.#dependencies.settings.tls === undefined && !isLoopbackAddress(address)) {
            return { code: status.UNAUTHENTICATED, reason: "only loopback addresses are accepted without a key" };
        }
        const sender = metadataText(call, SenderMetadataKey);
        const signed = { sender, method, payload: call.request };
        const problem = this.#auth.verifyRequest(signed, metadataText(call, SignatureMetadataKey), clock.wallMs());
        const bucket = problem === undefined ? `${address} ${sender}` : address;
        if (!this.#rateLimit.accept(bucket, clock.monotonicMs())) {
            return { code: status.RESOURCE_EXHAUSTED, reason: "too many calls" };
        }
        if (problem !== undefined) {
            return { code: status.UNAUTHENTICATED, reason: problem };
        }
        if (this.#waiting.size >= MaxWaitingRequests) {
            return { code: status.RESOURCE_EXHAUSTED, reason: "too many requests wait for an answer" };
        }
        return undefined;
    }

    #expire(exchangeId: string): void {
        const waiting = this.#take(exchangeId);
        if (waiting !== undefined) {
            this.#refuse(waiting.callback, status.DEADLINE_EXCEEDED, `no answer to ${waiting.method}`);
        }
    }

    #take(exchangeId: string): Waiting | undefined {
        const waiting = this.#waiting.get(exchangeId);
        clearTimeout(waiting?.timer);
        this.#waiting.delete(exchangeId);
        return waiting;
    }

    #refuse(callback: Callback, code: status, details: string): void {
        this.#dependencies.counters.add(`peer.server.refused.${status[code]}`);
        callback({ code, details });
    }
}

function keepBuffer(buffer: Buffer): Buffer {
    return buffer;
}

function metadataText(call: PeerCall, entry: string): string {
    return String(call.metadata.get(entry)[0] ?? "");
}

function serverCredentials({ tls }: PeerSettings): ServerCredentials {
    if (tls === undefined) {
        return ServerCredentials.createInsecure();
    }
    const pair = { private_key: readFileSync(tls.privateKeyFile), cert_chain: readFileSync(tls.certificateFile) };
    return ServerCredentials.createSsl(readFileSync(tls.authorityFile), [pair], true);
}
