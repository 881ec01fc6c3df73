/** Tracks the connections of callers and closes them; records why each one is closed. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { waitForEventLoopPoll } from "../../base/eventLoopPoll.js";
import { log } from "../../base/log.js";
import { errorBody, ResultCodes } from "../../base/resultCodes.js";
import { EdgeCounterNames } from "../metrics.js";
import { hasBody } from "./requestBody.js";

/** Counter of each reason for which the server closes a connection; the keys are logged. */
const CloseCounters = {
    idle: EdgeCounterNames.connectionsClosedIdle,
    headTimeout: EdgeCounterNames.connectionsClosedHeadTimeout,
    unreadable: EdgeCounterNames.connectionsClosedUnreadable,
    stop: EdgeCounterNames.connectionsClosedStop,
    link: EdgeCounterNames.connectionsClosedLink,
    connections: EdgeCounterNames.connectionsClosedLimit,
    requests: EdgeCounterNames.connectionsClosedRequests,
    memory: EdgeCounterNames.connectionsClosedMemory,
    unread: EdgeCounterNames.connectionsClosedUnread,
    parsing: EdgeCounterNames.connectionsClosedParsing,
    stray: EdgeCounterNames.connectionsClosedStray,
} as const;

/**
 * Why the server closes a connection: no request came in time, a request head took too long, bytes are no request, the process stops,
 * the host's link is full, there are too many connections or requests, memory is short, responses are not read, parsing takes too
 * long beside others, or too many bytes belong to no request.
 */
export type CloseReason = keyof typeof CloseCounters;

/** Interval at which connections are checked for the end of their idle time, in milliseconds. */
const IdleCheckIntervalMs = 100;

/** Added to the idle time that a response announces so that requests rarely arrive while the connection is being closed, in milliseconds. */
const IdleGraceMs = 1_000;

/**
 * Time after which a connection is closed on which bytes arrived, but no request began and none is open, in milliseconds. The server's
 * header timeout, which is checked every 500 ms, ends a request that has begun before that.
 */
const StrayBytesGraceMs = 2_000;

/**
 * Time for which a stop keeps a connection open after a response that did not announce its close, in milliseconds: a caller that sends
 * its next request at once gets an answer, which announces the close.
 */
const NextRequestGraceMs = 500;

/** Code of the error with which the server reports a request head that takes too long. */
const HeadTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** A request and its response. */
interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Why the connection is closed after the response; `undefined` when it is kept. */
    closeReason: CloseReason | undefined;
}

/** State of one connection. */
interface ConnectionState {
    /** Address and port of the caller. */
    readonly remote: string;
    /** Requests whose response is not complete, in the order of their arrival. */
    readonly open: Set<OpenRequest>;
    /** The refusal of bytes behind the open requests, which is sent after their responses; `undefined` when there is none. */
    refusal: NodeJS.ErrnoException | undefined;
    requestCount: number;
    /** Idle time that the latest response announced, in milliseconds. */
    announcedIdleMs: number;
    /** Monotonic time of the end of the latest response or, before the first one, of the connection's start, in milliseconds. */
    idleSinceMs: number;
    /** Bytes that had been read when the latest request had been read; later ones belong to the next request. */
    requestEndBytes: number;
    closed: { readonly reason: CloseReason; readonly atMs: number; } | undefined;
}

type Connection = readonly [Socket, ConnectionState];

/**
 * Knows for each open connection whether it has carried a request, and whether one is open, and closes idle connections. The limit of
 * a connection is the idle time that its latest response announced, or that of the configuration in force if this is longer.
 */
export class CallerConnections {
    readonly #server: Server;
    readonly #clock: Clock;
    readonly #counters: Counters;
    readonly #states = new Map<Socket, ConnectionState>();
    #idleCheckedAtMs = 0;
    #isStopping = false;
    #acceptedCount = 0;

    constructor(server: Server, clock: Clock, counters: Counters) {
        this.#server = server;
        this.#clock = clock;
        this.#counters = counters;
        server.on("connection", (socket: Socket) => {
            this.#acceptedCount++;
            this.#states.set(socket, {
                remote: `${socket.remoteAddress}:${socket.remotePort}`,
                open: new Set(),
                refusal: undefined,
                requestCount: 0,
                announcedIdleMs: 0,
                idleSinceMs: clock.monotonicMs(),
                requestEndBytes: 0,
                closed: undefined,
            });
            socket.once("close", () => this.#states.delete(socket));
        });
        // The server's own idle timer takes the limit at the end of a response, which may be shorter than what the response announced.
        // It would close the connection if this event had no handler.
        server.on("timeout", () => undefined);
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            this.#onUnreadable(error, socket).catch((failure: unknown) => {
                log.error("connection not refused", {
                    remote: this.#states.get(socket)?.remote,
                    error: String(failure),
                });
                socket.destroy();
            });
        });
    }

    /** @returns Number of connections without an open request on which one is expected: new ones, and those with a part of a request. */
    get expectedRequestCount(): number {
        return [...this.#states].filter(([socket, state]) =>
            state.open.size === 0 && state.closed === undefined &&
            (state.requestCount === 0 || hasPartOfRequest(socket, state))
        ).length;
    }

    /** @returns Number of connections accepted so far. */
    get acceptedCount(): number {
        return this.#acceptedCount;
    }

    /** @returns Whether a stop keeps connections open on which the next request may arrive at any moment. */
    get isNextRequestExpected(): boolean {
        const nowMs = this.#clock.monotonicMs();
        return [...this.#states.values()].some(state => state.closed === undefined && isNextRequestDue(state, nowMs));
    }

    /** Closes the connections whose idle time is over; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#clock.monotonicMs();
        if (nowMs - this.#idleCheckedAtMs < IdleCheckIntervalMs) {
            return;
        }
        this.#idleCheckedAtMs = nowMs;
        if (this.#isStopping) {
            void this.#endIdle();
        }
        const due = [...this.#states].filter(([socket, state]) => this.#isIdleTimeOver(socket, state, nowMs));
        if (due.length > 0) {
            void this.#closeIdle(due);
        }
    }

    /**
     * Records a request, until its response is closed.
     * @param closeReason Why the connection is to be closed after the response; `undefined` when it is kept.
     * @returns Whether the request can be answered; not if the response before it announces that the connection closes.
     */
    recordRequest(request: IncomingMessage, response: ServerResponse, closeReason: CloseReason | undefined): boolean {
        const { socket } = request;
        const state = this.#states.get(socket);
        if (state === undefined || !socket.writable || !reopenLastResponse(state)) {
            return false;
        }
        state.requestCount++;
        // Only the head that took too long can still become a request.
        state.refusal = undefined;
        const open: OpenRequest = { request, response, closeReason };
        state.open.add(open);
        response.shouldKeepAlive &&= closeReason === undefined;
        response.once("finish", () => {
            if (open.closeReason !== undefined) {
                this.recordClose(socket, open.closeReason);
            }
        });
        // The server announces in the response the limit at this time.
        state.announcedIdleMs = this.#server.keepAliveTimeout;
        state.requestEndBytes = socket.bytesRead;
        if (hasBody(request)) {
            request.once("end", () => state.requestEndBytes = socket.bytesRead);
        }
        response.once("close", () => {
            state.open.delete(open);
            state.idleSinceMs = this.#clock.monotonicMs();
            this.#sendRefusal(socket, state);
        });
        return true;
    }

    /** Records that the server closes a connection, with a log line and a counter; later calls for the connection have no effect. */
    recordClose(socket: Socket, reason: CloseReason): void {
        const state = this.#states.get(socket);
        if (state === undefined || state.closed !== undefined) {
            return;
        }
        const nowMs = this.#clock.monotonicMs();
        state.closed = { reason, atMs: nowMs };
        this.#counters.add(CloseCounters[reason]);
        log.info("caller connection closed", { reason, ...this.#describe(state, nowMs) });
    }

    /** Closes a connection after a response that has not begun. */
    closeAfterResponse({ socket }: IncomingMessage, response: ServerResponse, reason: CloseReason): void {
        const open = [...this.#states.get(socket)?.open ?? []].find(request => request.response === response);
        if (open !== undefined && !response.headersSent) {
            open.closeReason = reason;
            response.shouldKeepAlive = false;
        }
    }

    /** Records a request that is not run, as the server has closed its connection or announced that it will. */
    recordRequestAfterClose(socket: Socket, requestId: string | undefined): void {
        this.#counters.add(EdgeCounterNames.requestsAfterClose);
        const state = this.#states.get(socket);
        const nowMs = this.#clock.monotonicMs();
        log.info("request not run: its connection is closed", {
            request: requestId,
            reason: state?.closed?.reason,
            closedForMs: state?.closed === undefined ? undefined : Math.round(nowMs - state.closed.atMs),
            ...(state === undefined ? {} : this.#describe(state, nowMs)),
        });
    }

    /**
     * Ends the connections that have carried requests and on which none is open, begun or expected soon, and from now on each one some
     * time after its last response. New connections are kept, as their first request may be on its way.
     */
    startStopping(): void {
        this.#isStopping = true;
        this.#endUsed();
    }

    /** Ends all connections on which no request is open or begun. */
    endUnused(): void {
        this.#end([...this.#states]);
    }

    /**
     * Refuses bytes that are no request, or a request head that takes too long, and closes the connection, after the responses to the
     * requests before them. The rest of such a head may already be in the socket's buffer, above all when the event loop was behind.
     */
    async #onUnreadable(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
        const state = this.#states.get(socket);
        if (state === undefined) {
            return;
        }
        if (state.refusal !== undefined) {
            if (!socket.writable) {
                socket.destroy();
            }
            return;
        }
        if (error.code === HeadTimeoutCode) {
            const { requestCount } = state;
            await waitForEventLoopPoll();
            if (state.requestCount !== requestCount) {
                return;
            }
        }
        log.info("request not readable", { code: error.code, remote: state.remote, open: state.open.size });
        // The caller does not wait for responses if it has closed its side.
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        state.refusal = error;
        this.#sendRefusal(socket, state);
    }

    /** Sends the refusal of a connection, if there is one, unless a request that has been read completely waits for its response. */
    #sendRefusal(socket: Socket, state: ConnectionState): void {
        const { refusal } = state;
        const hasRunningRequest = [...state.open].some(({ request }) => request.complete);
        if (refusal === undefined || !socket.writable || (hasRunningRequest && !socket.readableEnded)) {
            return;
        }
        this.recordClose(socket, refusal.code === HeadTimeoutCode ? "headTimeout" : "unreadable");
        // A response that has begun cannot be followed by another one to the same request.
        const hasBegun = [...state.open].some(({ response }) => response.headersSent);
        socket.end(hasBegun ? "" : refusalOf(refusal));
    }

    /** A request that arrived in time may still be in the socket's buffer, above all when the event loop was behind. */
    async #closeIdle(connections: readonly Connection[]): Promise<void> {
        await waitForEventLoopPoll();
        const nowMs = this.#clock.monotonicMs();
        for (const [socket, state] of connections) {
            if (this.#isIdleTimeOver(socket, state, nowMs)) {
                this.recordClose(socket, "idle");
                socket.destroy();
            }
        }
    }

    #isIdleTimeOver(socket: Socket, state: ConnectionState, nowMs: number): boolean {
        if (state.requestCount === 0 || state.open.size > 0) {
            return false;
        }
        const limitMs = Math.max(state.announcedIdleMs, this.#server.keepAliveTimeout) + IdleGraceMs;
        const graceMs = hasPartOfRequest(socket, state) ? this.#server.headersTimeout + StrayBytesGraceMs : 0;
        return nowMs - state.idleSinceMs >= limitMs + graceMs;
    }

    /** Ends connections some time after their last response, unless the next request has begun to arrive. */
    async #endIdle(): Promise<void> {
        await waitForEventLoopPoll();
        this.#endUsed();
    }

    #endUsed(): void {
        const nowMs = this.#clock.monotonicMs();
        this.#end([...this.#states].filter(([, state]) => state.requestCount > 0 && !isNextRequestDue(state, nowMs)));
    }

    #end(connections: readonly Connection[]): void {
        for (const [socket, state] of connections) {
            if (socket.writable && state.open.size === 0 && !hasPartOfRequest(socket, state)) {
                this.recordClose(socket, "stop");
                socket.end();
            }
        }
    }

    #describe(state: ConnectionState, nowMs: number): Record<string, unknown> {
        const { remote, requestCount, open, announcedIdleMs, idleSinceMs } = state;
        return {
            remote,
            requests: requestCount,
            open: open.size,
            announcedIdleMs,
            idleMs: Math.round(nowMs - idleSinceMs),
        };
    }
}

/**
 * Keeps the connection open after its last open response, as another request has arrived behind it.
 * @returns Whether that is possible; not if the response has announced that the connection closes.
 */
function reopenLastResponse(state: ConnectionState): boolean {
    const last = [...state.open].at(-1);
    if (last?.closeReason === undefined) {
        return true;
    }
    if (last.response.headersSent) {
        return false;
    }
    last.response.shouldKeepAlive = true;
    last.closeReason = undefined;
    return true;
}

/** @returns Whether a request was answered so recently that a caller which sends one after another may send the next one now. */
function isNextRequestDue({ open, requestCount, idleSinceMs }: ConnectionState, nowMs: number): boolean {
    return open.size === 0 && requestCount > 0 && nowMs - idleSinceMs < NextRequestGraceMs;
}

/** @returns Whether bytes have arrived since the latest request was read. */
function hasPartOfRequest(socket: Socket, state: ConnectionState): boolean {
    return socket.bytesRead > state.requestEndBytes;
}

/** @returns The response to bytes that are no request. */
function refusalOf({ code }: NodeJS.ErrnoException): string {
    const close = "Connection: close\r\n";
    if (code === "HPE_HEADER_OVERFLOW") {
        return `HTTP/1.1 431 Request Header Fields Too Large\r\n${close}Content-Length: 0\r\n\r\n`;
    }
    if (code === HeadTimeoutCode) {
        return `HTTP/1.1 408 Request Timeout\r\n${close}Content-Length: 0\r\n\r\n`;
    }
    const body = JSON.stringify(errorBody(ResultCodes.MalformedHeader));
    return `HTTP/1.1 400 Bad Request\r\n${close}Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}
