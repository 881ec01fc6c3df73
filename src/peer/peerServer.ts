/** gRPC server for calls of other routers. */
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
import { type AddressInfo, createServer, type Server as NetServer } from "node:net";
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import { log } from "../base/log.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import { PeerAuthenticator, SenderMetadataKey, SignatureMetadataKey } from "./peerAuthenticator.js";
import { PeerCallRateLimiter } from "./peerCallRateLimiter.js";
import { decodeRequest, encodeMessage, methodPath } from "./peerCodec.js";
import { PeerConnections } from "./peerConnections.js";
import { MaxPeerMessageBytes, type PeerMethod, PeerMethods, type PeerReply } from "./peerMessages.js";
import { hostOfAddress, isLoopbackAddress, type PeerSettings } from "./peerSettings.js";

/** Maximum number of requests that wait for a controller's reply. */
const MaxPendingRequests = 512;

/** Time without calls after which the server closes a connection, in milliseconds. Each connection uses about 0.5 MB. */
const ConnectionIdleMs = 15_000;

type PeerCall = ServerUnaryCall<Buffer, Buffer>;
type Callback = sendUnaryData<Buffer>;

/** Collaborators of {@link PeerServer}. */
export interface PeerServerDependencies {
    readonly settings: PeerSettings;
    readonly clock: Clock;
    readonly counters: Counters;
    /** Passes a request to the controllers. Exactly one of them replies with a `peerReply` effect. */
    readonly post: (event: PeerRequestReceived) => void;
}

interface PendingRequest {
    readonly call: PeerCall;
    readonly callback: Callback;
    readonly timer: NodeJS.Timeout;
    readonly method: PeerMethod;
    readonly requestSignature: string;
}

/** Turns calls of other routers into events for the controllers, and sends the controllers' replies. */
export class PeerServer {
    readonly #dependencies: PeerServerDependencies;
    readonly #authenticator: PeerAuthenticator;
    readonly #rateLimiter: PeerCallRateLimiter;
    readonly #pendingRequests = new Map<string, PendingRequest>();
    readonly #server: Server;
    readonly #connections: PeerConnections;
    #listener: NetServer | undefined;
    #requestCount = 0;

    constructor(dependencies: PeerServerDependencies) {
        this.#dependencies = dependencies;
        const { settings } = dependencies;
        this.#authenticator = new PeerAuthenticator(settings.sharedKey, settings.maxClockDifferenceMs);
        this.#rateLimiter = new PeerCallRateLimiter(settings.maxCallsPerS);
        this.#connections = new PeerConnections(settings.maxConnections, dependencies.clock, dependencies.counters);
        this.#server = new Server({
            "grpc.max_receive_message_length": MaxPeerMessageBytes,
            "grpc.keepalive_time_ms": settings.keepaliveMs * 6,
            "grpc.keepalive_timeout_ms": settings.keepaliveTimeoutMs,
            "grpc.max_connection_idle_ms": ConnectionIdleMs,
        });
        this.#addService();
    }

    /**
     * Opens the listener.
     * @returns The port of the listener.
     * @throws Error when the listener cannot be opened, or neither a shared key nor TLS is set and the address is not a loopback
     * address.
     */
    async listen(): Promise<number> {
        const { settings } = this.#dependencies;
        const isProtected = this.#authenticator.isEnabled || settings.tls !== undefined;
        if (!isProtected && !isLoopbackAddress(settings.listenHost)) {
            throw new Error("a peer listener without a shared key and without TLS needs a loopback address");
        }
        const injector = this.#server.createConnectionInjector(serverCredentials(settings));
        const listener = createServer({ noDelay: true }, socket => {
            socket.on("error", error => log.debug("peer connection failed", { error: error.message }));
            this.#connections.add(socket);
            if (!socket.destroyed) {
                injector.injectConnection(socket);
            }
        });
        this.#listener = listener;
        await new Promise<void>((resolve, reject) => {
            listener.once("error", reject);
            listener.listen(settings.listenPort, settings.listenHost, resolve);
        });
        return (listener.address() as AddressInfo).port;
    }

    /** Sends a controller's reply to the peer. A reply after the request's timeout is dropped. */
    reply(exchangeId: string, reply: PeerReply): void {
        const pending = this.#takePending(exchangeId);
        if (pending === undefined) {
            return;
        }
        const payload = encodeMessage(reply.body);
        if (payload.isErr) {
            this.#refuse(pending.callback, status.RESOURCE_EXHAUSTED, payload.error);
            return;
        }
        if (this.#authenticator.isEnabled) {
            const metadata = new Metadata();
            metadata.set(SignatureMetadataKey, this.#authenticator.signReply(pending.requestSignature, payload.value));
            pending.call.sendMetadata(metadata);
        }
        this.#dependencies.counters.add("peer.server.sentBytes", payload.value.length);
        pending.callback(null, payload.value);
    }

    /** Refuses the requests in progress, stops listening and closes all connections. */
    close(): void {
        for (const exchangeId of [...this.#pendingRequests.keys()]) {
            this.#refuse(this.#takePending(exchangeId)!.callback, status.UNAVAILABLE, "the listener closes");
        }
        this.#listener?.close();
        this.#server.forceShutdown();
        this.#connections.closeAll();
    }

    #addService(): void {
        const methods = Object.keys(PeerMethods) as PeerMethod[];
        const definition = Object.fromEntries(methods.map(method => [method, {
            path: methodPath(method),
            requestStream: false,
            responseStream: false,
            requestSerialize: passThrough,
            requestDeserialize: passThrough,
            responseSerialize: passThrough,
            responseDeserialize: passThrough,
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
        this.#connections.recordCall(call.getPeer());
        this.#requestCount++;
        const exchangeId = `peer/${this.#requestCount}`;
        const timer = setTimeout(() => this.#expire(exchangeId), settings.answerTimeoutMs);
        const requestSignature = readMetadata(call, SignatureMetadataKey);
        this.#pendingRequests.set(exchangeId, { call, callback, timer, method, requestSignature });
        counters.set("peer.server.lastCallMs", clock.monotonicMs());
        this.#dependencies.post({ type: "peerRequestReceived", exchangeId, request: request.value });
    }

    /** Limits the rate of unverified peers by IP address, and of verified peers by IP address and signed name. */
    #checkCall(method: PeerMethod, call: PeerCall): { code: status; reason: string; } | undefined {
        const { clock } = this.#dependencies;
        const address = hostOfAddress(call.getPeer());
        if (
            !this.#authenticator.isEnabled && this.#dependencies.settings.tls === undefined &&
            !isLoopbackAddress(address)
        ) {
            return { code: status.UNAUTHENTICATED, reason: "only loopback addresses are accepted without a key" };
        }
        const sender = readMetadata(call, SenderMetadataKey);
        const signed = { sender, method, payload: call.request };
        const problem = this.#authenticator.verifyRequest(
            signed,
            readMetadata(call, SignatureMetadataKey),
            clock.wallMs(),
        );
        const rateLimitKey = problem === undefined ? `${address} ${sender}` : address;
        if (!this.#rateLimiter.accept(rateLimitKey, clock.monotonicMs())) {
            return { code: status.RESOURCE_EXHAUSTED, reason: "too many calls" };
        }
        if (problem !== undefined) {
            return { code: status.UNAUTHENTICATED, reason: problem };
        }
        if (this.#pendingRequests.size >= MaxPendingRequests) {
            return { code: status.RESOURCE_EXHAUSTED, reason: "too many requests wait for an answer" };
        }
        return undefined;
    }

    #expire(exchangeId: string): void {
        const pending = this.#takePending(exchangeId);
        if (pending !== undefined) {
            this.#refuse(pending.callback, status.DEADLINE_EXCEEDED, `no answer to ${pending.method}`);
        }
    }

    #takePending(exchangeId: string): PendingRequest | undefined {
        const pending = this.#pendingRequests.get(exchangeId);
        clearTimeout(pending?.timer);
        this.#pendingRequests.delete(exchangeId);
        return pending;
    }

    #refuse(callback: Callback, code: status, details: string): void {
        this.#dependencies.counters.add(`peer.server.refused.${status[code]}`);
        callback({ code, details });
    }
}

function passThrough(buffer: Buffer): Buffer {
    return buffer;
}

function readMetadata(call: PeerCall, entry: string): string {
    return String(call.metadata.get(entry)[0] ?? "");
}

function serverCredentials({ tls }: PeerSettings): ServerCredentials {
    if (tls === undefined) {
        return ServerCredentials.createInsecure();
    }
    const keyPair = { private_key: readFileSync(tls.privateKeyFile), cert_chain: readFileSync(tls.certificateFile) };
    return ServerCredentials.createSsl(readFileSync(tls.authorityFile), [keyPair], true);
}
