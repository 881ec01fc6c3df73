/** HTTP calls to the platform, with the caller's identity and a definite account of what was sent. */
import { Pool } from "undici";
import { type Clock, SystemClock } from "../base/clock.js";
import { PlatformHeaders } from "./platformProtocol.js";
import type { ListedHost } from "./platformStore.js";

/** Settings of a connection to the platform. */
export interface PlatformClientSettings {
    /** Base URL of the object API. */
    readonly url: string;
    /** Longest wait for the answer to a call, in milliseconds. A watch waits this much longer than its own wait. */
    readonly timeoutMs: number;
    /** Longest wait for a TCP connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}

/** Default timeouts. The connect timeout is the shorter one, so that an unreachable platform is a definite refusal. */
export const DefaultPlatformTimeouts = { timeoutMs: 3_000, connectTimeoutMs: 1_000 } as const;

/** A call to the platform. */
export interface PlatformCall {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly query: Readonly<Record<string, string | number>>;
    readonly body?: string;
    readonly expectedVersion?: number;
    /** Time that the platform may hold the answer back, in milliseconds. */
    readonly waitMs?: number;
}

/** Outcome of a call. */
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
    /** The call may have arrived; no complete answer did. */
    | { readonly status: "broken"; readonly reason: string; };

/** Error codes of undici for a connection that was never made. */
const ConnectFailureCode = "UND_ERR_CONNECT_TIMEOUT";

/** A pool of connections to the platform. */
export class PlatformClient {
    readonly #pool: Pool;
    readonly #settings: PlatformClientSettings;
    readonly #identity: () => ListedHost | undefined;
    readonly #clock: Clock;
    #hostsRevision = -1;
    #hostsRevisionAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param settings Address and timeouts.
     * @param identity Host that calls, read at each call; `undefined` for operator tools.
     */
    constructor(
        settings: PlatformClientSettings,
        identity: () => ListedHost | undefined,
        clock: Clock = new SystemClock(),
    ) {
        this.#settings = settings;
        this.#identity = identity;
        this.#clock = clock;
        // The deadline of a call is its abort signal; undici's own timers would cut waiting watches.
        this.#pool = new Pool(new URL(settings.url).origin, {
            connect: { timeout: settings.connectTimeoutMs },
            headersTimeout: 0,
            bodyTimeout: 0,
            pipelining: 1,
        });
    }

    /**
     * @param maxAgeMs Oldest usable observation, in milliseconds.
     * @returns Revision of the host list that a recent answer carried, or `undefined`.
     */
    recentHostsRevision(maxAgeMs: number): number | undefined {
        return this.#clock.monotonicMs() - this.#hostsRevisionAtMs <= maxAgeMs ? this.#hostsRevision : undefined;
    }

    /** Makes one call; never throws for a fault of the network or of the platform. */
    async call(call: PlatformCall): Promise<PlatformCallOutcome> {
        const query = Object.entries(call.query).map(([name, value]) => `${name}=${encodeURIComponent(value)}`);
        try {
            const answer = await this.#pool.request({
                method: call.method,
                path: `${call.path}?${query.join("&")}`,
                headers: this.#headers(call),
                body: call.body ?? null,
                signal: AbortSignal.timeout(this.#settings.timeoutMs + (call.waitMs ?? 0)),
            });
            const text = await answer.body.text();
            this.#noteHostsRevision(answer.headers[PlatformHeaders.hostsRevision]);
            return {
                status: "answered",
                httpStatus: answer.statusCode,
                body: parseBody(text),
                isNotApplied: answer.headers[PlatformHeaders.notApplied] === "true",
            };
        }
        catch (error) {
            const reason = (error as Error).message;
            return { status: isConnectFailure(error) ? "notSent" : "broken", reason };
        }
    }

    /** Closes all connections; calls in flight end as `broken`. */
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

    #noteHostsRevision(header: string | string[] | undefined): void {
        if (typeof header === "string" && /^\d+$/.test(header)) {
            this.#hostsRevision = Number(header);
            this.#hostsRevisionAtMs = this.#clock.monotonicMs();
        }
    }
}

/** @returns The parsed body, or `undefined` when it is empty or not JSON. */
function parseBody(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * An error of the connect call is the only proof that nothing was sent: after that, the same codes
 * (for example `EHOSTUNREACH`) may also end an established connection.
 */
function isConnectFailure(error: unknown): boolean {
    const { code, syscall, errors } = error as { code?: string; syscall?: string; errors?: unknown[]; };
    if (code === ConnectFailureCode || syscall === "connect") {
        return true;
    }
    return Array.isArray(errors) && errors.length > 0 && errors.every(isConnectFailure);
}
