/** Tracks the connections of callers and closes them; records why each one is closed. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";

/** Counter of each reason for which the server closes a connection; the keys are logged. */
const CloseCounters = {
    idle: EdgeCounterNames.connectionsClosedIdle,
    headTimeout: EdgeCounterNames.connectionsClosedHeadTimeout,
    unreadable: EdgeCounterNames.connectionsClosedUnreadable,
    stop: EdgeCounterNames.connectionsClosedStop,
    link: EdgeCounterNames.connectionsClosedLink,
} as const;

/**
 * Why the server closes a connection: no request came in time, a request head took too long, bytes are no request, the process stops,
 * or the host's link is full.
 */
export type CloseReason = keyof typeof CloseCounters;

/** State of one connection. */
interface ConnectionState {
    /** Address and port of the caller. */
    readonly remote: string;
    /** Requests whose response is not complete. */
    openRequestCount: number;
    requestCount: number;
    /** Idle time that the latest response announced, in milliseconds. */
    announcedIdleMs: number;
    /** Monotonic time of the end of the latest response or, before the first one, of the connection's start, in milliseconds. */
    idleSinceMs: number;
    closed: { readonly reason: CloseReason; readonly atMs: number; } | undefined;
}

/** Knows for each open connection whether it has carried a request, and whether one is open. */
export class CallerConnections {
    readonly #server: Server;
    readonly #clock: Clock;
    readonly #counters: Counters;
    readonly #states = new Map<Socket, ConnectionState>();

    constructor(server: Server, clock: Clock, counters: Counters) {
        this.#server = server;
        this.#clock = clock;
        this.#counters = counters;
        server.on("connection", (socket: Socket) => {
            this.#states.set(socket, {
                remote: `${socket.remoteAddress}:${socket.remotePort}`,
                openRequestCount: 0,
                requestCount: 0,
                announcedIdleMs: 0,
                idleSinceMs: clock.monotonicMs(),
                closed: undefined,
            });
            socket.once("close", () => this.#states.delete(socket));
        });
        server.on("timeout", (socket: Socket) => {
            this.recordClose(socket, "idle");
            socket.destroy();
        });
    }

    /** @returns Number of connections whose first request has not arrived. */
    get newCount(): number {
        return [...this.#states.values()].filter(({ requestCount }) => requestCount === 0).length;
    }

    /** Records a request, until its response is closed. */
    recordRequest(socket: Socket, onResponseClosed: (callback: () => void) => void): void {
        const state = this.#states.get(socket);
        if (state === undefined) {
            return;
        }
        state.requestCount++;
        state.openRequestCount++;
        state.announcedIdleMs = this.#server.keepAliveTimeout;
        onResponseClosed(() => {
            state.openRequestCount--;
            state.idleSinceMs = this.#clock.monotonicMs();
        });
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

    /** Records a request that was read from a connection which the server had closed, and which is not run. */
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

    /** Ends the connections on which no request is open, except new ones, whose first request may be on its way. */
    endIdle(): void {
        this.#end(state => state.requestCount > 0);
    }

    /** Ends all connections on which no request is open. */
    endUnused(): void {
        this.#end(() => true);
    }

    #end(isIncluded: (state: ConnectionState) => boolean): void {
        for (const [socket, state] of this.#states) {
            if (state.openRequestCount === 0 && isIncluded(state)) {
                this.recordClose(socket, "stop");
                socket.end();
            }
        }
    }

    #describe(state: ConnectionState, nowMs: number): Record<string, unknown> {
        const { remote, requestCount, openRequestCount, announcedIdleMs, idleSinceMs } = state;
        return {
            remote,
            requests: requestCount,
            open: openRequestCount,
            announcedIdleMs,
            idleMs: Math.round(nowMs - idleSinceMs),
        };
    }
}
