/** HTTP client of the platform. Its requests carry the identity of the host, and its outcomes tell whether a request was sent. */
import { Pool } from "undici";
import { type Clock, SystemClock } from "../base/clock.js";
import { PlatformHeaders } from "./platformProtocol.js";
import type { ListedHost } from "./platformStore.js";

/** Settings of a {@link PlatformClient}. */
export interface PlatformClientSettings {
    /** Base URL of the object API. */
    readonly url: string;
    /** Maximum wait for the complete response, in milliseconds. For a watch it is added to the wait of the watch itself. */
    readonly timeoutMs: number;
    /** Maximum wait for a TCP connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

/** Default timeouts. The connect timeout is shorter, so that an unreachable platform ends a call as `notSent`. */
export const DefaultPlatformTimeouts = { timeoutMs: 3_000, connectTimeoutMs: 1_000 } as const;

/** A request to the platform. */
export interface PlatformCall {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly query: Readonly<Record<string, string | number>>;
    readonly body?: string;
    /** Version that a write replaces. */
    readonly expectedVersion?: number;
    /** Time for which the platform may delay the response of a long poll, in milliseconds. */
    readonly waitMs?: number;
}

/** Outcome of a request. */
export type PlatformCallOutcome =
    | {
        readonly status: "answered";
        readonly httpStatus: number;
        readonly body: unknown;
        /** Whether the platform states that a write had no effect. */
        readonly isNotApplied: boolean;
    }
    /** No connection was made; nothing was sent. */
    | { readonly status: "notSent"; readonly reason: string; }
    /** The request may have arrived, but no complete response did. */
    | { readonly status: "broken"; readonly reason: string; };

/** Error code of undici for a connection that was not established in time. */
const ConnectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

/** Sends requests to the platform over a pool of connections. */
export class PlatformClient {
    readonly #pool: Pool;
    readonly #settings: PlatformClientSettings;
    readonly #identity: () => ListedHost | undefined;
    readonly #clock: Clock;
    #hostsRevision = -1;
    #hostsRevisionAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param settings Address and timeouts.
     * @param identity Returns the host that sends the request, or `undefined` for operator tools; called for each request.
     */
    constructor(
        settings: PlatformClientSettings,
        identity: () => ListedHost | undefined,
        clock: Clock = new SystemClock(),
    ) {
        this.#settings = settings;
        this.#identity = identity;
        this.#clock = clock;
        // The deadline of a call is its abort signal; undici's own timers would abort watches that are waiting.
        this.#pool = new Pool(new URL(settings.url).origin, {
            connect: { timeout: settings.connectTimeoutMs },
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
    }

    /**
     * @param maxAgeMs Maximum age of the revision, in milliseconds.
     * @returns Revision of the host list that a recent response carried, or `undefined`.
     */
    recentHostsRevision(maxAgeMs: number): number | undefined {
        return this.#clock.monotonicMs() - this.#hostsRevisionAtMs <= maxAgeMs ? this.#hostsRevision : undefined;
    }

    /** Sends one request. A fault of the network or of the platform becomes an outcome; it never throws. */
    async call(call: PlatformCall): Promise<PlatformCallOutcome> {
        const query = Object.entries(call.query).map(([name, value]) => `${name}=${encodeURIComponent(value)}`);
        try {
            const response = await this.#pool.request({
                method: call.method,
                path: `${call.path}?${query.join("&")}`,
                headers: this.#headers(call),
                body: call.body ?? null,
                signal: AbortSignal.timeout(this.#settings.timeoutMs + (call.waitMs ?? 0)),
            });
            const text = await response.body.text();
            this.#recordHostsRevision(response.headers[PlatformHeaders.hostsRevision]);
            return {
                status: "answered",
                httpStatus: response.statusCode,
                body: parseBody(text),
                isNotApplied: response.headers[PlatformHeaders.notApplied] === "true",
            };
        }
        catch (error) {
            const reason = (error as Error).message;
            return { status: isConnectFailure(error) ? "notSent" : "broken", reason };
        }
    }

    /** Closes all connections; requests in flight end as `broken`. */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    #headers(call: PlatformCall): Record<string, string> {
        const headers: Record<string, string> = {};
        if (call.body !== undefined) {
            headers["content-type"] = "application/json";
        }
        if (call.expectedVersion !== undefined) {
            headers[PlatformHeaders.expectedVersion] = String(call.expectedVersion);
        }
        const host = this.#identity();
        if (host !== undefined) {
            headers[PlatformHeaders.hostId] = host.hostId;
            headers[PlatformHeaders.zone] = host.zone;
            headers[PlatformHeaders.peerAddress] = host.peerAddress;
            headers[PlatformHeaders.operatorAddress] = host.operatorAddress;
            headers[PlatformHeaders.hostState] = host.state;
        }
        return headers;
    }

    #recordHostsRevision(header: string | string[] | undefined): void {
        if (typeof header === "string" && /^\d+$/.test(header)) {
            this.#hostsRevision = Number(header);
            this.#hostsRevisionAtMs = this.#clock.monotonicMs();
        }
    }
}

/** @returns Parsed body, or `undefined` when it is empty or not JSON. */
function parseBody(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * Whether the connection was never established. Only an error of the connect call proves that nothing was sent:
 * later, the same codes (for example `EHOSTUNREACH`) may also end an established connection.
 */
function isConnectFailure(error: unknown): boolean {
    const { code, syscall, errors } = error as { code?: string; syscall?: string; errors?: unknown[]; };
    if (code === ConnectTimeoutCode || syscall === "connect") {
        return true;
    }
    return Array.isArray(errors) && errors.length > 0 && errors.every(isConnectFailure);
}
