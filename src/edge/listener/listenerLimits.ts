/** Bounds the connections and requests of one listener, and what they make the process hold. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../base/clock.js";
import type { ParseAccount } from "../../base/parseAccount.js";
import { SocketReader } from "../../base/socketReader.js";
import type { CallerMemory, MemoryHolder } from "../../scheduling/callerMemory.js";
import { findMostExpensive, type ParseScheduler } from "../../scheduling/parseScheduler.js";
import { ConnectionBytes } from "./processLimits.js";

/** Interval at which the memory of the connections is measured, in milliseconds. */
const MeasureIntervalMs = 100;

/** Time in which a caller reads its responses before a connection that is not read any more is closed, in milliseconds. */
const LingerMs = 1_000;

/**
 * Time that a connection has for its first request before it is closed in place of more expensive ones, in milliseconds. The first
 * request usually follows at once.
 */
const FirstRequestGraceMs = 1_000;

/** Time without a byte of an incomplete request from which its connection may be closed when there are too many, in milliseconds. */
const MinSilenceMs = 100;

/**
 * Why a connection is closed: there are too many and it brought least, it has most of too many requests, it holds most while memory is
 * short, its responses are not read while open requests are short, parsing takes most time while others wait, or it sends bytes that
 * belong to no request.
 */
export type LimitCloseReason = "connections" | "requests" | "memory" | "unread" | "parsing" | "stray";

/** Collaborators and limits of {@link ListenerLimits}. */
export interface ListenerLimitsOptions {
    readonly clock: Clock;
    readonly memory: CallerMemory;
    readonly parsing: ParseScheduler;
    readonly maxConnections: number;
    /** Open requests of one connection, from which the connection is not read. */
    readonly maxPipelinedRequests: number;
    /** Open requests of all connections; from half of it each connection has one at a time. */
    readonly maxOpenRequests: number;
    /** Time for which responses may stay unread while open requests are short, in milliseconds. */
    readonly unreadTimeoutMs: number;
    /** Bytes in a row that belong to no request, from which a connection is closed. */
    readonly maxStrayBytes: number;
    /** Called before a connection is closed. */
    onClose(socket: Socket, reason: LimitCloseReason): void;
}

/** State of one connection. */
interface Connection {
    readonly socket: Socket;
    readonly reader: SocketReader;
    readonly account: ParseAccount;
    readonly open: Set<ServerResponse>;
    /** Requests that have been read and wait for those before them, in their order. */
    readonly waiting: { readonly response: ServerResponse; readonly start: () => void; }[];
    latestRequest: IncomingMessage | undefined;
    /** Refuses the latest request while it is being read; without it the connection is closed. */
    refuse: (() => void) | undefined;
    /** Why the connection is not read any more, and is closed after the responses to its requests. */
    endReason: LimitCloseReason | undefined;
    idleSinceMs: number;
    /** Bytes received up to the latest measurement, and the time at which they had grown or the latest request began. */
    receivedBytes: number;
    receivedAtMs: number;
    /** Holds what exceeds the fixed cost of a connection; `undefined` while that is nothing. */
    holder: MemoryHolder | undefined;
    sentBytes: number;
    progressAtMs: number;
}

/** Knows the open connections of a server and closes those that exceed the limits. */
export class ListenerLimits {
    readonly #options: ListenerLimitsOptions;
    readonly #connections = new Map<Socket, Connection>();
    #openCount = 0;
    #measuredAtMs = 0;

    /** @param server Server whose connections are bounded, from the next one on. */
    constructor(server: Server, options: ListenerLimitsOptions) {
        this.#options = options;
        server.on("connection", (socket: Socket) => this.#onConnection(socket));
    }

    /**
     * When too many requests are open, closes the connection with most of them, if it has several. Every connection of a caller could have
     * one, so that those with several are the cause.
     * @param socket Connection of a request that has just arrived.
     * @returns Whether that request may run.
     */
    hasRoomFor(socket: Socket): boolean {
        if (this.#openCount <= this.#options.maxOpenRequests) {
            return true;
        }
        let victim: Connection | undefined;
        for (const connection of this.#connections.values()) {
            if (connection.open.size > Math.max(1, victim?.open.size ?? 0) && !connection.socket.destroyed) {
                victim = connection;
            }
        }
        if (victim !== undefined) {
            this.#close(victim, "requests");
        }
        return victim !== undefined && victim.socket !== socket;
    }

    /** @returns Number of open connections. */
    get connectionCount(): number {
        return this.#connections.size;
    }

    /**
     * Starts a request, at once or after those before it on the same connection.
     * @param start Called once, unless the connection closes before that.
     */
    admit(request: IncomingMessage, response: ServerResponse, start: () => void): void {
        const connection = this.#connections.get(request.socket);
        if (connection === undefined) {
            start();
            return;
        }
        connection.latestRequest = request;
        connection.receivedAtMs = this.#options.clock.monotonicMs();
        connection.refuse = undefined;
        connection.waiting.push({ response, start });
        while (this.#canStart(connection)) {
            this.#startNext(connection);
        }
    }

    /**
     * Sets what is done with the latest request of a connection, instead of closing the connection, when parsing it takes too long beside
     * others.
     * @param refuse Called at most once, while the request is not complete.
     */
    onEvict(socket: Socket, refuse: () => void): void {
        const connection = this.#connections.get(socket);
        if (connection !== undefined) {
            connection.refuse = refuse;
        }
    }

    /** Measures the memory of the connections and closes those that hold it without progress; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#options.clock.monotonicMs();
        if (nowMs - this.#measuredAtMs < MeasureIntervalMs) {
            return;
        }
        this.#measuredAtMs = nowMs;
        for (const connection of [...this.#connections.values()]) {
            if (connection.open.size > 0 || connection.holder !== undefined || connection.reader.pendingBytes > 0) {
                this.#measure(connection, nowMs);
            }
        }
    }

    #onConnection(socket: Socket): void {
        const nowMs = this.#options.clock.monotonicMs();
        const account = this.#options.parsing.open({
            resume: () => {
                this.#continue(connection);
                connection.reader.takeTurn();
            },
            evict: () => this.#evict(connection),
        });
        const connection: Connection = {
            socket,
            account,
            reader: new SocketReader(socket, {
                account,
                mayRead: () => this.#mayRead(connection),
                latestRequest: () => connection.latestRequest,
                maxStrayBytes: this.#options.maxStrayBytes,
                onStrayBytes: () => this.#end(connection, "stray"),
            }),
            open: new Set(),
            waiting: [],
            latestRequest: undefined,
            refuse: undefined,
            endReason: undefined,
            idleSinceMs: nowMs,
            receivedBytes: 0,
            receivedAtMs: nowMs,
            holder: undefined,
            sentBytes: 0,
            progressAtMs: nowMs,
        };
        this.#connections.set(socket, connection);
        socket.once("close", () => this.#onClosed(connection));
        if (this.#connections.size > this.#options.maxConnections) {
            this.#close(this.#findLeastUseful(connection, nowMs) ?? connection, "connections");
        }
    }

    /**
     * @param latest Connection that has just been opened; its first request may be on its way.
     * @returns The oldest connection that has had time for a request and sent none, or the one whose incomplete request is most expensive,
     * or the one whose incomplete request is silent longest, or the one that is idle longest, or the oldest without a request;
     * `undefined` if each other connection has an ordinary request.
     */
    #findLeastUseful(latest: Connection, nowMs: number): Connection | undefined {
        let oldestUnused: Connection | undefined;
        let silent: Connection | undefined;
        let silentSinceMs = nowMs - MinSilenceMs;
        let idle: Connection | undefined;
        for (const connection of this.#connections.values()) {
            if (connection.latestRequest === undefined) {
                oldestUnused ??= connection === latest ? undefined : connection;
                continue;
            }
            const isIdle = connection.open.size === 0 && connection.waiting.length === 0;
            if (isIdle && connection.idleSinceMs < (idle?.idleSinceMs ?? Number.POSITIVE_INFINITY)) {
                idle = connection;
            }
            if (connection.receivedAtMs <= silentSinceMs && isSilent(connection)) {
                [silent, silentSinceMs] = [connection, connection.receivedAtMs];
            }
        }
        if (oldestUnused !== undefined && nowMs - oldestUnused.idleSinceMs >= FirstRequestGraceMs) {
            return oldestUnused;
        }
        const expensive = findMostExpensive(
            this.#connections.values(),
            connection => !hasCompleteRequest(connection),
        );
        return expensive ?? silent ?? idle ?? oldestUnused;
    }

    /** The bytes behind a request that is not complete belong to it. */
    #mayRead({ open, waiting, latestRequest, endReason }: Connection): boolean {
        if (endReason !== undefined) {
            return false;
        }
        return latestRequest?.complete === false || open.size + waiting.length < this.#options.maxPipelinedRequests;
    }

    #canStart({ open, waiting, socket }: Connection): boolean {
        const { maxPipelinedRequests, maxOpenRequests } = this.#options;
        return waiting.length > 0 && !socket.destroyed &&
            (open.size === 0 || (open.size < maxPipelinedRequests && this.#openCount < maxOpenRequests / 2));
    }

    #startNext(connection: Connection): void {
        const { response, start } = connection.waiting.shift()!;
        connection.open.add(response);
        this.#openCount++;
        response.once("close", () => this.#onResponseClosed(connection, response));
        start();
    }

    /** Starts requests that wait, while the connection has time for it, and reads on. */
    #continue(connection: Connection): void {
        const { account, reader } = connection;
        while (this.#canStart(connection)) {
            if (!account.mayParse) {
                account.waitForTurn();
                return;
            }
            account.measureStart(() => this.#startNext(connection));
        }
        reader.check();
        this.#closeEnded(connection);
    }

    #onResponseClosed(connection: Connection, response: ServerResponse): void {
        if (!connection.open.delete(response)) {
            return;
        }
        this.#openCount--;
        connection.idleSinceMs = this.#options.clock.monotonicMs();
        connection.progressAtMs = connection.idleSinceMs;
        if (!connection.socket.destroyed) {
            this.#continue(connection);
        }
    }

    /** Closes a connection without reading on, after the responses to the requests that have been read. */
    #end(connection: Connection, reason: LimitCloseReason): void {
        connection.endReason = reason;
        if (connection.open.size + connection.waiting.length === 0) {
            this.#close(connection, reason);
        }
    }

    #closeEnded({ socket, open, waiting, endReason }: Connection): void {
        if (endReason !== undefined && open.size + waiting.length === 0 && socket.writable) {
            this.#options.onClose(socket, endReason);
            socket.end();
            // Bytes that were not read reset the connection; the caller could lose its response.
            const timer = setTimeout(() => socket.destroy(), LingerMs);
            socket.once("close", () => clearTimeout(timer));
        }
    }

    #measure(connection: Connection, nowMs: number): void {
        const { memory, maxOpenRequests, unreadTimeoutMs } = this.#options;
        const { socket, open, waiting, reader } = connection;
        if (socket.bytesRead !== connection.receivedBytes) {
            connection.receivedBytes = socket.bytesRead;
            connection.receivedAtMs = nowMs;
        }
        const sentBytes = socket.bytesWritten - socket.writableLength;
        const hasProgress = sentBytes > connection.sentBytes;
        connection.sentBytes = sentBytes;
        connection.progressAtMs = hasProgress ? nowMs : connection.progressAtMs;
        const unsentBytes = [...open].reduce((sum, response) => sum + response.writableLength, socket.writableLength);
        const requestBytes = Math.max(0, open.size + waiting.length - 1) * ConnectionBytes;
        const bytes = unsentBytes + requestBytes + reader.pendingBytes;
        if (bytes === 0) {
            this.#releaseHolder(connection);
            return;
        }
        if (
            unsentBytes > 0 && this.#openCount > maxOpenRequests / 2 &&
            nowMs - connection.progressAtMs > unreadTimeoutMs
        ) {
            this.#close(connection, "unread");
            return;
        }
        connection.holder ??= memory.open(() => this.#close(connection, "memory"));
        const { holder } = connection;
        if (hasProgress || unsentBytes === 0) {
            memory.recordProgress(holder);
        }
        memory.release(holder);
        if (!memory.tryTake(holder, bytes)) {
            this.#close(connection, "memory");
        }
    }

    /** @returns Whether the request that is being read, or the connection, has been ended. */
    #evict(connection: Connection): boolean {
        const { refuse, latestRequest } = connection;
        connection.refuse = undefined;
        if (refuse !== undefined && latestRequest?.complete === false) {
            refuse();
            return true;
        }
        if (hasCompleteRequest(connection)) {
            return false;
        }
        this.#close(connection, "parsing");
        return true;
    }

    #close(connection: Connection, reason: LimitCloseReason): void {
        if (!connection.socket.destroyed) {
            this.#options.onClose(connection.socket, reason);
            this.#connections.delete(connection.socket);
            connection.socket.destroy();
        }
    }

    #onClosed(connection: Connection): void {
        this.#connections.delete(connection.socket);
        this.#releaseHolder(connection);
        connection.waiting.length = 0;
        // The server reports the close only to the response whose turn it is; the requests behind it would count as open for ever.
        process.nextTick(() => {
            for (const response of [...connection.open]) {
                response.destroy();
                response.emit("close");
            }
        });
    }

    #releaseHolder(connection: Connection): void {
        if (connection.holder !== undefined) {
            this.#options.memory.close(connection.holder);
            connection.holder = undefined;
        }
    }
}

/** @returns Whether the connection waits for the rest of a request that is not complete, and nothing that was received waits for it. */
function isSilent(connection: Connection): boolean {
    const { latestRequest, reader } = connection;
    return latestRequest?.complete === false && reader.pendingBytes === 0 && !hasCompleteRequest(connection);
}

/** @returns Whether a request of the connection has been read completely, so that it may run. */
function hasCompleteRequest({ open }: Connection): boolean {
    return [...open].some(({ req }) => req.complete);
}
