/** Upstream client on undici: one pool of connections per upstream, one request at a time on each connection. */
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, Client, type Dispatcher } from "undici";
import {
    UpstreamCall,
    type UpstreamCallListener,
    type UpstreamCallRequest,
    UpstreamClient,
    type UpstreamTimeouts,
} from "./upstreamClient.js";

/** Interval at which timeouts are checked. One timer serves all calls, so that a chunk costs no timer operation. */
const TimeoutCheckIntervalMs = 50;

/** A check that is later than this shows that the process did not run, so that bytes may wait unread. */
const StallToleranceMs = 200;

/** Idle connections kept for one upstream. */
const MaxIdleConnections = 64;

/** Connections to one upstream. A connection is in the idle list only after a whole answer. */
class ConnectionPool {
    readonly #origin: string;
    readonly #timeouts: UpstreamTimeouts;
    readonly #idle: Client[] = [];
    readonly #all = new Set<Client>();

    constructor(origin: string, timeouts: UpstreamTimeouts) {
        this.#origin = origin;
        this.#timeouts = timeouts;
    }

    /** @returns The connection used last, or a new one. */
    take(): Client {
        return this.#idle.pop() ?? this.#open();
    }

    /** Takes a connection back after a whole answer. */
    giveBack(client: Client): void {
        if (this.#idle.length < MaxIdleConnections && !client.destroyed && this.#all.has(client)) {
            this.#idle.push(client);
        }
        else {
            this.destroy(client);
        }
    }

    /** Destroys a connection that must not be used again. */
    destroy(client: Client): void {
        this.#forget(client);
        client.destroy().catch(() => undefined);
    }

    /** Destroys all connections. */
    async close(): Promise<void> {
        const clients = [...this.#all];
        this.#all.clear();
        this.#idle.length = 0;
        await Promise.all(clients.map(client => client.destroy().catch(() => undefined)));
    }

    #open(): Client {
        const client = new Client(this.#origin, {
            connect: connectorWithTimeout(this.#timeouts.connectTimeoutMs),
            pipelining: 1,
            keepAliveTimeout: this.#timeouts.keepAliveMs,
            keepAliveMaxTimeout: this.#timeouts.keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.#all.add(client);
        client.on("disconnect", () => this.#forget(client));
        return client;
    }

    #forget(client: Client): void {
        this.#all.delete(client);
        const index = this.#idle.indexOf(client);
        if (index >= 0) {
            this.#idle.splice(index, 1);
            client.destroy().catch(() => undefined);
        }
    }
}

/** undici checks its own connect timeout only every half second; this one is exact. */
function connectorWithTimeout(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs * 4 });
    return (options, callback) => {
        let timer: NodeJS.Timeout | undefined = undefined;
        const socket: unknown = connect(options, (...outcome) => {
            clearTimeout(timer);
            callback(...outcome);
        });
        timer = setTimeout(() => {
            (socket as { destroy(error: Error): void; } | undefined)?.destroy(new Error("connect timeout"));
        }, timeoutMs);
        return socket as void;
    };
}

/** One call on one connection. */
class UndiciCall extends UpstreamCall implements Dispatcher.DispatchHandler {
    readonly #pool: ConnectionPool;
    readonly #client: Client;
    readonly #listener: UpstreamCallListener;
    readonly #firstByteTimeoutMs: number;
    readonly #progressTimeoutMs: number;
    readonly #onFinished: (call: UndiciCall) => void;
    #controller: Dispatcher.DispatchController | undefined;
    #lastActivityMs = performance.now();
    #starting = false;
    #bodyStarted = false;
    #paused = false;
    #ended = false;
    #cancelled = false;

    constructor(
        pool: ConnectionPool,
        listener: UpstreamCallListener,
        firstByteTimeoutMs: number,
        progressTimeoutMs: number,
        onFinished: (call: UndiciCall) => void,
    ) {
        super();
        this.#pool = pool;
        this.#client = pool.take();
        this.#listener = listener;
        this.#firstByteTimeoutMs = firstByteTimeoutMs;
        this.#progressTimeoutMs = progressTimeoutMs;
        this.#onFinished = onFinished;
    }

    get sent(): boolean {
        return this.#controller !== undefined;
    }

    start(options: Dispatcher.DispatchOptions): void {
        this.#starting = true;
        this.#client.dispatch(options, this);
        this.#starting = false;
    }

    cancel(): void {
        if (this.#cancelled) {
            return;
        }
        this.#cancelled = true;
        this.#finish();
        this.#controller?.abort(new Error("cancelled"));
        this.#pool.destroy(this.#client);
    }

    pause(): void {
        this.#paused = true;
        this.#controller?.pause();
    }

    resume(): void {
        this.#paused = false;
        this.#lastActivityMs = performance.now();
        this.#controller?.resume();
    }

    /** Leaves out a time in which this process did not run. */
    excludeStall(durationMs: number): void {
        this.#lastActivityMs += durationMs;
    }

    /** Ends the call when it makes no progress. */
    checkTimeout(nowMs: number): void {
        const limitMs = this.#bodyStarted ? this.#progressTimeoutMs : this.#firstByteTimeoutMs;
        if (this.#ended || this.#paused || nowMs - this.#lastActivityMs <= limitMs) {
            return;
        }
        const sent = this.sent;
        this.cancel();
        this.#listener.onEnd({ status: "failed", sent, timedOut: true, reason: "no progress" });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        // undici would send a request again on a new connection after some connection errors. Whether a request is
        // sent again is decided by the caller of this class, because the first one may have run.
        if (this.#cancelled || this.#controller !== undefined) {
            controller.abort(new Error("cancelled"));
            return;
        }
        this.#controller = controller;
        this.#lastActivityMs = performance.now();
    }

    onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (!this.#ended && status >= 200) {
            this.#listener.onHead(status, headers);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (!this.#ended) {
            this.#bodyStarted = true;
            this.#lastActivityMs = performance.now();
            this.#listener.onData(chunk);
        }
    }

    onResponseEnd(): void {
        if (this.#ended) {
            return;
        }
        this.#finish();
        this.#listener.onEnd({ status: "ended" });
        if (!this.#cancelled) {
            this.#pool.giveBack(this.#client);
        }
    }

    onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
        if (this.#ended) {
            return;
        }
        if (this.#starting) {
            queueMicrotask(() => this.onResponseError(controller, error));
            return;
        }
        this.#finish();
        this.#pool.destroy(this.#client);
        this.#listener.onEnd({ status: "failed", sent: this.sent, timedOut: false, reason: error.message });
    }

    #finish(): void {
        this.#ended = true;
        this.#onFinished(this);
    }
}

/** {@link UpstreamClient} on undici. */
export class UndiciUpstreamClient extends UpstreamClient {
    readonly #timeouts: UpstreamTimeouts;
    readonly #pools = new Map<string, ConnectionPool>();
    readonly #calls = new Set<UndiciCall>();
    readonly #timer: NodeJS.Timeout;
    #checkedAtMs = performance.now();

    constructor(timeouts: UpstreamTimeouts) {
        super();
        this.#timeouts = timeouts;
        this.#timer = setInterval(() => this.#checkTimeouts(), TimeoutCheckIntervalMs);
        this.#timer.unref();
    }

    override call(request: UpstreamCallRequest, listener: UpstreamCallListener): UpstreamCall {
        const url = new URL(request.url);
        const call = new UndiciCall(
            this.#poolOf(url.origin),
            listener,
            request.firstByteTimeoutMs,
            request.progressTimeoutMs,
            finished => this.#calls.delete(finished),
        );
        this.#calls.add(call);
        call.start({
            path: `${url.pathname.replace(/\/$/, "")}${request.path}`,
            method: request.method,
            headers: request.headers,
            body: request.body ?? null,
        });
        return call;
    }

    override async close(): Promise<void> {
        clearInterval(this.#timer);
        for (const call of [...this.#calls]) {
            call.cancel();
        }
        await Promise.all([...this.#pools.values()].map(pool => pool.close()));
        this.#pools.clear();
    }

    #poolOf(origin: string): ConnectionPool {
        let pool = this.#pools.get(origin);
        if (pool === undefined) {
            pool = new ConnectionPool(origin, this.#timeouts);
            this.#pools.set(origin, pool);
        }
        return pool;
    }

    #checkTimeouts(): void {
        const nowMs = performance.now();
        const stalledMs = nowMs - this.#checkedAtMs - TimeoutCheckIntervalMs;
        this.#checkedAtMs = nowMs;
        for (const call of [...this.#calls]) {
            if (stalledMs > StallToleranceMs) {
                call.excludeStall(stalledMs);
            }
            call.checkTimeout(nowMs);
        }
    }
}
