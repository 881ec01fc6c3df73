/** gRPC client for calls to other routers. */
import { Client, credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import { PeerAuthenticator, SenderMetadataKey, SignatureMetadataKey } from "./peerAuthenticator.js";
import { decodeReply, encodeMessage, methodPath } from "./peerCodec.js";
import {
    MaxPeerMessageBytes,
    PeerClient,
    type PeerMethod,
    type PeerOutcome,
    type PeerRequest,
} from "./peerMessages.js";
import { isLoopbackAddress, type PeerSettings } from "./peerSettings.js";

/** Bounds of the wait between two connection attempts, in milliseconds: a restarted peer must be reachable again soon. */
const MinReconnectDelayMs = 200;
const MaxReconnectDelayMs = 2_000;

/** Number of consecutive timeouts after which a connection is replaced: it may be broken in one direction. */
const MaxUnansweredCalls = 2;

interface Connection {
    readonly client: Client;
    lastUsedMs: number;
    unansweredCallCount: number;
    activeCallCount: number;
}

/** Collaborators of {@link GrpcPeerClient}, and the name of this host. */
export interface GrpcPeerClientDependencies {
    readonly settings: PeerSettings;
    /** Name of this host, for the peers' rate limits. */
    readonly hostId: string;
    readonly clock: Clock;
    readonly counters: Counters;
}

interface Attempt {
    readonly method: PeerMethod;
    readonly payload: Buffer;
    readonly signature: string;
    readonly timeoutMs: number;
}

/** Calls peers over one connection each, which is opened at the first call and closed when it has been unused for some time. */
export class GrpcPeerClient extends PeerClient {
    readonly #dependencies: GrpcPeerClientDependencies;
    readonly #authenticator: PeerAuthenticator;
    readonly #credentials: ReturnType<typeof credentials.createInsecure>;
    readonly #connections = new Map<string, Connection>();
    readonly #closeUnusedTimer: NodeJS.Timeout;

    constructor(dependencies: GrpcPeerClientDependencies) {
        super();
        this.#dependencies = dependencies;
        const { settings } = dependencies;
        this.#authenticator = new PeerAuthenticator(settings.sharedKey, settings.maxClockDifferenceMs);
        this.#credentials = channelCredentials(settings);
        this.#closeUnusedTimer = setInterval(() => this.#closeUnused(), Math.ceil(settings.idleCloseMs / 4));
        this.#closeUnusedTimer.unref();
    }

    /** @returns Number of open connections. */
    get connectionCount(): number {
        return this.#connections.size;
    }

    override async call(address: string, request: PeerRequest, timeoutMs: number): Promise<PeerOutcome> {
        const { counters, clock, settings, hostId } = this.#dependencies;
        if (!this.#authenticator.isEnabled && settings.tls === undefined && !isLoopbackAddress(address)) {
            return { status: "failed", reason: "only loopback addresses are called without a key" };
        }
        const payload = encodeMessage(request.body);
        if (payload.isErr) {
            return { status: "failed", reason: payload.error };
        }
        const signed = { sender: hostId, method: request.method, payload: payload.value };
        const signature = this.#authenticator.isEnabled ? this.#authenticator.signRequest(signed, clock.wallMs()) : "";
        counters.add(`peer.client.calls.${request.method}`);
        counters.add("peer.client.sentBytes", payload.value.length);
        const attempt = { method: request.method, payload: payload.value, signature, timeoutMs };
        const outcome = await this.#send(address, attempt);
        if (outcome.status === "failed") {
            counters.add(`peer.client.failures.${request.method}`);
        }
        return outcome;
    }

    /** Closes all connections. Calls in progress fail. */
    close(): void {
        clearInterval(this.#closeUnusedTimer);
        for (const connection of this.#connections.values()) {
            connection.client.close();
        }
        this.#connections.clear();
    }

    async #send(address: string, attempt: Attempt): Promise<PeerOutcome> {
        const connection = this.#connect(address);
        connection.activeCallCount++;
        const { error, payload, signature } = await invoke(connection.client, attempt, this.#createMetadata(attempt));
        connection.activeCallCount--;
        connection.lastUsedMs = this.#dependencies.clock.monotonicMs();
        if (error !== undefined || payload === undefined) {
            this.#recordFailure(address, connection, error);
            return { status: "failed", reason: error?.details ?? "no reply" };
        }
        connection.unansweredCallCount = 0;
        this.#dependencies.counters.add("peer.client.receivedBytes", payload.length);
        if (!this.#authenticator.verifyReply(attempt.signature, payload, signature)) {
            return { status: "failed", reason: "the signature of the reply is missing or wrong" };
        }
        const reply = decodeReply(attempt.method, payload);
        return reply.isOk ?
            { status: "replied", reply: reply.value } :
            { status: "failed", reason: `invalid reply: ${reply.error}` };
    }

    #createMetadata(attempt: Attempt): Metadata {
        const metadata = new Metadata();
        metadata.set(SenderMetadataKey, this.#dependencies.hostId);
        if (attempt.signature !== "") {
            metadata.set(SignatureMetadataKey, attempt.signature);
        }
        return metadata;
    }

    #connect(address: string): Connection {
        let connection = this.#connections.get(address);
        if (connection === undefined) {
            const client = new Client(address, this.#credentials, this.#channelOptions());
            connection = { client, lastUsedMs: 0, unansweredCallCount: 0, activeCallCount: 0 };
            this.#connections.set(address, connection);
            this.#dependencies.counters.set("peer.client.connections", this.#connections.size);
        }
        connection.lastUsedMs = this.#dependencies.clock.monotonicMs();
        return connection;
    }

    #channelOptions(): Record<string, number | string> {
        const { settings } = this.#dependencies;
        const serverName = settings.tls?.serverName ?? "";
        return {
            "grpc.keepalive_time_ms": settings.keepaliveMs,
            "grpc.keepalive_timeout_ms": settings.keepaliveTimeoutMs,
            "grpc.initial_reconnect_backoff_ms": MinReconnectDelayMs,
            "grpc.max_reconnect_backoff_ms": MaxReconnectDelayMs,
            "grpc.max_receive_message_length": MaxPeerMessageBytes,
            // The controllers decide about retries, and no service configuration is looked up.
            "grpc.enable_retries": 0,
            "grpc.service_config_disable_resolution": 1,
            // A shared pool would reuse a connection that is to be replaced.
            "grpc.use_local_subchannel_pool": 1,
            ...(serverName === "" ? {} : { "grpc.ssl_target_name_override": serverName }),
        };
    }

    #recordFailure(address: string, connection: Connection, error: ServiceError | undefined): void {
        if (error?.code !== status.DEADLINE_EXCEEDED) {
            return;
        }
        connection.unansweredCallCount++;
        if (connection.unansweredCallCount >= MaxUnansweredCalls && this.#connections.get(address) === connection) {
            this.#dependencies.counters.add("peer.client.replacedConnections");
            this.#close(address, connection);
        }
    }

    #closeUnused(): void {
        const oldestKeptUseMs = this.#dependencies.clock.monotonicMs() - this.#dependencies.settings.idleCloseMs;
        for (const [address, connection] of this.#connections) {
            if (connection.activeCallCount === 0 && connection.lastUsedMs < oldestKeptUseMs) {
                this.#close(address, connection);
            }
        }
    }

    #close(address: string, connection: Connection): void {
        connection.client.close();
        this.#connections.delete(address);
        this.#dependencies.counters.set("peer.client.connections", this.#connections.size);
    }
}

interface RawReply {
    readonly error: ServiceError | undefined;
    readonly payload: Buffer | undefined;
    readonly signature: string;
}

function invoke(client: Client, attempt: Attempt, metadata: Metadata): Promise<RawReply> {
    return new Promise(resolve => {
        let signature = "";
        const call = client.makeUnaryRequest<Buffer, Buffer>(
            methodPath(attempt.method),
            passThrough,
            passThrough,
            attempt.payload,
            metadata,
            { deadline: Date.now() + attempt.timeoutMs },
            (error, payload) => resolve({ error: error ?? undefined, payload, signature }),
        );
        call.on("metadata", (received: Metadata) => {
            signature = String(received.get(SignatureMetadataKey)[0] ?? "");
        });
    });
}

function passThrough(buffer: Buffer): Buffer {
    return buffer;
}

function channelCredentials({ tls }: PeerSettings): ReturnType<typeof credentials.createInsecure> {
    return tls === undefined ?
        credentials.createInsecure() :
        credentials.createSsl(
            readFileSync(tls.authorityFile),
            readFileSync(tls.privateKeyFile),
            readFileSync(tls.certificateFile),
        );
}
