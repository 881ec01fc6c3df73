/** Upstream client based on undici: one connection pool per upstream, one request at a time on each connection. */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { detectReset } from "../base/resetDetection.js";
import { ResetObservation } from "./resetObservation.js";
import {
    UpstreamCall,
    type UpstreamCallListener,
    type UpstreamCallRequest,
    UpstreamClient,
    type UpstreamTimeouts,
} from "./upstreamClient.js";

/** Interval at which timeouts are checked. One timer serves all calls, so that receiving a chunk needs no timer operation. */
const TimeoutCheckIntervalMs = 50;

/** A check delayed by more than this shows that the process was stalled, so that received bytes may still be unread. */
const StallToleranceMs = 200;

/** Maximum number of idle connections kept for one upstream. */
const MaxIdleConnections = 64;

/** Occurs within a head only if the head was cut off and another response follows it on the connection. */
const StatusLine = /HTTP\/1\.[01] [1-5][0-9][0-9]/;

/** Connections to one upstream. A connection becomes idle and is reused only after a complete response. */
class ConnectionPool {
    readonly #origin: string;
    readonly #timeouts: UpstreamTimeouts;
    readonly #idleClients: Client[] = [];
    readonly #clients = new Set<Client>();
    readonly #sockets = new WeakMap<Client, Socket>();

    constructor(origin: string, timeouts: UpstreamTimeouts) {
        this.#origin = origin;
        this.#timeouts = timeouts;
    }

    /** @returns The idle connection that was used last, or a new one. */
    acquire(): Client {
        return this.#idleClients.pop() ?? this.#open();
    }

    /**
     * Returns a connection to the pool after a complete response. It is destroyed if a part of the request is not
     * written, as the upstream may never read it.
     */
    release(client: Client): void {
        const isIdle = this.#sockets.get(client)?.writableLength === 0;
        if (isIdle && this.#idleClients.length < MaxIdleConnections && !client.destroyed && this.#clients.has(client)) {
            this.#idleClients.push(client);
        }
        else {
            this.destroy(client);
        }
    }

    /** @returns The socket of an open connection. */
    socketOf(client: Client): Socket | undefined {
        return this.#sockets.get(client);
    }

    /** Destroys a connection that must not be used again. */
    destroy(client: Client): void {
        this.#remove(client);
        client.destroy().catch(() => undefined);
    }

    /** Destroys all connections. */
    async close(): Promise<void> {
        const clients = [...this.#clients];
        this.#clients.clear();
        this.#idleClients.length = 0;
        await Promise.all(clients.map(client => client.destroy().catch(() => undefined)));
    }

    #open(): Client {
        const client = new Client(this.#origin, {
            connect: createConnector(this.#timeouts.connectTimeoutMs, socket => this.#sockets.set(client, socket)),
            pipelining: 1,
            keepAliveTimeout: this.#timeouts.keepAliveMs,
            keepAliveMaxTimeout: this.#timeouts.keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.#clients.add(client);
        client.on("disconnect", () => this.#remove(client));
        return client;
    }

    #remove(client: Client): void {
        this.#clients.delete(client);
        const index = this.#idleClients.indexOf(client);
        if (index >= 0) {
            this.#idleClients.splice(index, 1);
            client.destroy().catch(() => undefined);
        }
    }
}

/**
 * Adds an exact connect timeout, because undici checks its own only every half second. The sockets stay writable after
 * the upstream has ended them, so that a reset can be detected.
 * @param onOpen Called with the socket of each connection once it is open.
 */
function createConnector(timeoutMs: number, onOpen: (socket: Socket) => void): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs * 4, allowHalfOpen: true });
    return (options, callback) => {
        let timer: NodeJS.Timeout | undefined = undefined;
        const socket: unknown = connect(options, (...outcome) => {
            clearTimeout(timer);
            if (outcome[1] !== null) {
                onOpen(outcome[1]);
            }
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
    #method = "GET";
    /** Whether the body ends with the connection. */
    #isCloseDelimited = false;
    #hasRequestBody = false;
    #resetObservation: ResetObservation | undefined;
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
        this.#client = pool.acquire();
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
        this.#method = options.method;
        this.#hasRequestBody = options.body instanceof Uint8Array && options.body.length > 0;
        this.#client.dispatch(options, this);
        this.#starting = false;
    }

    cancel(): void {
        if (this.#cancelled) {
            return;
        }
        this.#cancelled = true;
        this.#resetObservation?.cancel();
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

    /** Excludes a time in which this process was stalled from the timeouts. */
    excludeStall(durationMs: number): void {
        this.#lastActivityMs += durationMs;
    }

    /** Ends the call when it has made no progress for longer than its timeout. */
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
        // After some connection errors, undici would send a request again on a new connection. The user of this class
        // decides whether to do that, because the first request may have run.
        if (this.#cancelled || this.#controller !== undefined) {
            controller.abort(new Error("cancelled"));
            return;
        }
        this.#controller = controller;
        this.#lastActivityMs = performance.now();
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: IncomingHttpHeaders,
        reasonPhrase = "",
    ): void {
        if (this.#ended || status < 200) {
            return;
        }
        if ([reasonPhrase, ...Object.values(headers).flat()].some(text => StatusLine.test(text ?? ""))) {
            this.#fail("the head contains the status line of another response");
            return;
        }
        this.#isCloseDelimited = isCloseDelimited(this.#method, status, headers);
        this.#listener.onHead(status, headers);
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
        if (this.#isCloseDelimited) {
            this.#checkOrderlyEnd();
            return;
        }
        this.#complete();
    }

    /**
     * Completes a body that ends with its connection if the request was written out before the end, unless the connection was reset; undici
     * reports a reset as the end of such a body. The kernel may hold bytes of a request that the upstream never reads, so that the
     * connection of a request with a body is observed for a time.
     */
    #checkOrderlyEnd(): void {
        const socket = this.#pool.socketOf(this.#client);
        if (socket === undefined || socket.destroyed) {
            this.#fail("the connection broke off before the end of the response");
            return;
        }
        if (socket.writableLength > 0) {
            this.#fail("the response ended before the request was written");
            return;
        }
        const onResult = (error: Error | undefined): void => {
            if (this.#ended) {
                return;
            }
            if (error === undefined) {
                this.#complete();
            }
            else {
                this.#fail(`connection reset: ${error.message}`);
            }
        };
        if (this.#hasRequestBody) {
            this.#resetObservation = new ResetObservation(socket, onResult);
        }
        else {
            detectReset(socket, onResult);
        }
    }

    #complete(): void {
        this.#finish();
        this.#listener.onEnd({ status: "ended" });
        if (this.#cancelled) {
            return;
        }
        if (this.#isCloseDelimited) {
            this.#pool.destroy(this.#client);
        }
        else {
            this.#pool.release(this.#client);
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

    #fail(reason: string): void {
        const { sent } = this;
        this.cancel();
        this.#listener.onEnd({ status: "failed", sent, timedOut: false, reason });
    }

    #finish(): void {
        this.#ended = true;
        this.#onFinished(this);
    }
}

/** @returns Whether the end of the connection is the only end of the body. */
function isCloseDelimited(method: string, statusCode: number, headers: IncomingHttpHeaders): boolean {
    return method !== "HEAD" && statusCode !== 204 && statusCode !== 304 && headers["content-length"] === undefined &&
        headers["transfer-encoding"] === undefined;
}

/** {@link UpstreamClient} based on undici. Checks the timeouts of all calls with one timer. */
export class UndiciUpstreamClient extends UpstreamClient {
    readonly #timeouts: UpstreamTimeouts;
    readonly #pools = new Map<string, ConnectionPool>();
    readonly #calls = new Set<UndiciCall>();
    readonly #timer: NodeJS.Timeout;
    #lastCheckMs = performance.now();

    constructor(timeouts: UpstreamTimeouts) {
        super();
        this.#timeouts = timeouts;
        this.#timer = setInterval(() => this.#checkTimeouts(), TimeoutCheckIntervalMs);
        this.#timer.unref();
    }

    override call(request: UpstreamCallRequest, listener: UpstreamCallListener): UpstreamCall {
        const url = new URL(request.url);
        const call = new UndiciCall(
            this.#getPool(url.origin),
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

    #getPool(origin: string): ConnectionPool {
        let pool = this.#pools.get(origin);
        if (pool === undefined) {
            pool = new ConnectionPool(origin, this.#timeouts);
            this.#pools.set(origin, pool);
        }
        return pool;
    }

    #checkTimeouts(): void {
        const nowMs = performance.now();
        const stalledMs = nowMs - this.#lastCheckMs - TimeoutCheckIntervalMs;
        this.#lastCheckMs = nowMs;
        for (const call of [...this.#calls]) {
            if (stalledMs > StallToleranceMs) {
                call.excludeStall(stalledMs);
            }
            call.checkTimeout(nowMs);
        }
    }
}
