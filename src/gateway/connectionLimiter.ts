/** Bounds the connections of a listener, the open requests of each connection, and the memory that both hold. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import { log } from "../base/log.js";
import type { ParseAccount } from "../base/parseAccount.js";
import { SocketReader } from "../base/socketReader.js";
import type { CallerMemory, MemoryHolder } from "../scheduling/callerMemory.js";
import { findMostExpensive, type ParseScheduler } from "../scheduling/parseScheduler.js";

/** Heap that a request occupies which has been read and waits for earlier ones of its connection, in bytes. */
const WaitingRequestBytes = 6_144;

/** Interval at which unsent bytes are counted and connections are checked for a reader that has stopped, in milliseconds. */
const CheckIntervalMs = 250;

/** Age below which the bytes of a connection are not compared by their rate, in milliseconds. */
const MinAgeMs = 1_000;

/** Minimum time between two log lines about the same limit, in milliseconds. */
const LogIntervalMs = 60_000;

/** Counter of each reason for which a connection is closed. */
const CloseCounters = {
    limit: "connections.closedForLimit",
    memory: "connections.closedForMemory",
    stalled: "connections.closedStalled",
    parsing: "connections.closedForParsing",
    stray: "connections.closedForStrayBytes",
} as const;
type CloseReason = keyof typeof CloseCounters;

/** Limits of one listener. */
export interface ConnectionLimits {
    readonly maxConnections: number;
    /** Requests of a connection that are processed at the same time; later ones are not read, or wait. At least 2. */
    readonly maxOpenRequests: number;
    /** Time without progress of a response, in milliseconds, after which its connection is closed. */
    readonly maxStallMs: number;
    /** The same while the memory is scarce. */
    readonly maxScarceStallMs: number;
    /** Bytes in a row that belong to no request, from which a connection is closed. More than the largest head. */
    readonly maxStrayBytes: number;
}

/** Collaborators of {@link ConnectionLimiter}. */
export interface ConnectionLimiterDependencies {
    readonly memory: CallerMemory;
    readonly parsing: ParseScheduler;
    readonly clock: Clock;
    readonly counters: Pick<Counters, "add" | "set">;
    /** Prefix of the names of the counters. */
    readonly listener: "gateway" | "operator";
    readonly limits: ConnectionLimits;
}

/** A request that has been read and waits for earlier ones of its connection. */
interface WaitingRequest {
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly begin: () => void;
}

interface ConnectionState {
    readonly socket: Socket;
    readonly reader: SocketReader;
    readonly account: ParseAccount;
    readonly openedAtMs: number;
    /** Requests that have begun and whose responses have not been sent completely. */
    readonly open: Map<ServerResponse, IncomingMessage>;
    waiting: WaitingRequest[];
    latestRequest: IncomingMessage | undefined;
    /** Whether the connection is not read any more, as it sent bytes that belong to no request. */
    isEnding: boolean;
    /** Refuses the latest request while it is being read; without it the connection is closed. */
    refuse: (() => void) | undefined;
    /** Memory of the waiting requests; may be evicted, as none of them has begun. */
    waitingHolder: MemoryHolder | undefined;
    /** Memory of the unsent bytes of responses; `undefined` while there are none. */
    unsentHolder: MemoryHolder | undefined;
    /** Bytes handed to the operating system at the latest check, and since when. */
    sentBytes: number;
    sentAtMs: number;
}

/** Applies the limits to all connections of a server. */
export class ConnectionLimiter {
    readonly #dependencies: ConnectionLimiterDependencies;
    readonly #states = new Map<Socket, ConnectionState>();
    readonly #loggedAtMs = new Map<CloseReason, number>();

    constructor(server: Server, dependencies: ConnectionLimiterDependencies) {
        this.#dependencies = dependencies;
        server.on("connection", (socket: Socket) => this.#add(socket));
        const timer = setInterval(() => this.#check(), CheckIntervalMs);
        timer.unref();
        server.once("close", () => clearInterval(timer));
    }

    /**
     * Begins a request at once, or when enough earlier requests of its connection have their responses. It is never begun when the
     * connection closes before.
     */
    accept(incoming: IncomingMessage, outgoing: ServerResponse, begin: () => void): void {
        const state = this.#states.get(incoming.socket);
        if (state === undefined || incoming.socket.destroyed) {
            return;
        }
        state.latestRequest = incoming;
        state.refuse = undefined;
        if (state.waiting.length === 0 && state.open.size < this.#dependencies.limits.maxOpenRequests) {
            this.#begin(state, { incoming, outgoing, begin });
        }
        else {
            this.#addWaiting(state, { incoming, outgoing, begin });
        }
    }

    /**
     * Sets what is done with a request, instead of closing its connection, when parsing it takes too long beside others.
     * @param refuse Called at most once, while the request is not complete.
     */
    onEvict(incoming: IncomingMessage, refuse: () => void): void {
        const state = this.#states.get(incoming.socket);
        if (state?.latestRequest === incoming) {
            state.refuse = refuse;
        }
    }

    #add(socket: Socket): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const account = this.#dependencies.parsing.open({
            resume: () => {
                this.#continue(state);
                state.reader.takeTurn();
            },
            evict: () => this.#evict(state),
        });
        const state: ConnectionState = {
            socket,
            account,
            reader: new SocketReader(socket, {
                account,
                mayRead: () => this.#mayRead(state),
                latestRequest: () => state.latestRequest,
                maxStrayBytes: this.#dependencies.limits.maxStrayBytes,
                onStrayBytes: () => this.#onStrayBytes(state),
            }),
            openedAtMs: nowMs,
            open: new Map(),
            waiting: [],
            latestRequest: undefined,
            isEnding: false,
            refuse: undefined,
            waitingHolder: undefined,
            unsentHolder: undefined,
            sentBytes: 0,
            sentAtMs: nowMs,
        };
        socket.once("close", () => this.#remove(state));
        if (this.#states.size >= this.#dependencies.limits.maxConnections) {
            this.#close(this.#findLeastUseful(nowMs) ?? state, "limit");
        }
        if (!socket.destroyed) {
            this.#states.set(socket, state);
        }
    }

    /**
     * @returns The connection whose incomplete request is most expensive to parse or, if there is none, the one that has sent fewest bytes
     * per second, the oldest of several; never one whose request may run.
     */
    #findLeastUseful(nowMs: number): ConnectionState | undefined {
        const canClose = (state: ConnectionState): boolean => !state.socket.destroyed && !hasCompleteRequest(state);
        const expensive = findMostExpensive(this.#states.values(), canClose);
        if (expensive !== undefined) {
            return expensive;
        }
        let least: ConnectionState | undefined;
        let leastRate = Number.POSITIVE_INFINITY;
        for (const state of this.#states.values()) {
            const rate = state.socket.bytesRead / Math.max(MinAgeMs, nowMs - state.openedAtMs);
            if (rate < leastRate && canClose(state)) {
                [least, leastRate] = [state, rate];
            }
        }
        return least;
    }

    #begin(state: ConnectionState, { incoming, outgoing, begin }: WaitingRequest): void {
        state.open.set(outgoing, incoming);
        outgoing.once("close", () => {
            state.open.delete(outgoing);
            this.#continue(state);
        });
        begin();
    }

    /** Begins requests that wait, while the connection has time for it, and reads on. */
    #continue(state: ConnectionState): void {
        const { account, open, socket, reader } = state;
        while (!socket.destroyed && state.waiting.length > 0 && open.size < this.#dependencies.limits.maxOpenRequests) {
            if (!account.mayParse) {
                account.waitForTurn();
                return;
            }
            account.measureStart(() => this.#beginWaiting(state));
        }
        if (state.isEnding && open.size === 0) {
            this.#close(state, "stray");
        }
        if (!socket.destroyed) {
            reader.check();
        }
    }

    #beginWaiting(state: ConnectionState): void {
        const { memory } = this.#dependencies;
        const next = state.waiting.shift()!;
        if (state.waitingHolder !== undefined) {
            memory.release(state.waitingHolder, WaitingRequestBytes);
            memory.recordProgress(state.waitingHolder);
        }
        if (state.waiting.length === 0) {
            this.#closeWaitingHolder(state);
        }
        this.#begin(state, next);
    }

    #addWaiting(state: ConnectionState, request: WaitingRequest): void {
        const { memory } = this.#dependencies;
        state.waitingHolder ??= memory.open(() => this.#close(state, "memory"));
        if (memory.tryTake(state.waitingHolder, WaitingRequestBytes)) {
            state.waiting.push(request);
        }
        else {
            this.#close(state, "memory");
        }
    }

    #mayRead({ open, waiting, isEnding }: ConnectionState): boolean {
        return !isEnding && open.size + waiting.length < this.#dependencies.limits.maxOpenRequests;
    }

    #remove(state: ConnectionState): void {
        this.#states.delete(state.socket);
        state.waiting = [];
        this.#closeWaitingHolder(state);
        this.#setUnsentBytes(state, 0);
    }

    #closeWaitingHolder(state: ConnectionState): void {
        if (state.waitingHolder !== undefined) {
            this.#dependencies.memory.close(state.waitingHolder);
            state.waitingHolder = undefined;
        }
    }

    #check(): void {
        const { memory, clock, counters, listener, limits } = this.#dependencies;
        const nowMs = clock.monotonicMs();
        counters.set(`${listener}.connections.open`, this.#states.size);
        const maxStallMs = memory.isUnderPressure ? limits.maxScarceStallMs : limits.maxStallMs;
        for (const state of this.#states.values()) {
            this.#setUnsentBytes(state, countUnsentBytes(state));
            const sentBytes = state.socket.bytesWritten - state.socket.writableLength;
            if (sentBytes !== state.sentBytes || state.socket.writableLength === 0) {
                [state.sentBytes, state.sentAtMs] = [sentBytes, nowMs];
            }
            else if (nowMs - state.sentAtMs >= maxStallMs) {
                this.#close(state, "stalled");
            }
        }
    }

    #setUnsentBytes(state: ConnectionState, bytes: number): void {
        const { memory } = this.#dependencies;
        if (bytes === 0 && state.unsentHolder !== undefined) {
            memory.close(state.unsentHolder);
            state.unsentHolder = undefined;
        }
        else if (bytes > 0) {
            state.unsentHolder ??= memory.open();
            memory.release(state.unsentHolder);
            memory.take(state.unsentHolder, bytes);
        }
    }

    /** Closes the connection; one with a request that may run is not read any more, and is closed after the response. */
    #onStrayBytes(state: ConnectionState): void {
        state.isEnding = true;
        if (!hasCompleteRequest(state)) {
            this.#close(state, "stray");
        }
    }

    /** @returns Whether the request that is being read, or the connection, has been ended. */
    #evict(state: ConnectionState): boolean {
        const { refuse, latestRequest } = state;
        state.refuse = undefined;
        if (refuse !== undefined && latestRequest?.complete === false) {
            refuse();
            return true;
        }
        if (hasCompleteRequest(state)) {
            return false;
        }
        this.#close(state, "parsing");
        return true;
    }

    #close(state: ConnectionState, reason: CloseReason): void {
        if (state.socket.destroyed) {
            return;
        }
        const { counters, clock, listener, limits, memory } = this.#dependencies;
        counters.add(`${listener}.${CloseCounters[reason]}`);
        const nowMs = clock.monotonicMs();
        if (nowMs - (this.#loggedAtMs.get(reason) ?? Number.NEGATIVE_INFINITY) >= LogIntervalMs) {
            this.#loggedAtMs.set(reason, nowMs);
            log.warn("connections are closed: callers exceed a limit", {
                listener,
                reason,
                connections: this.#states.size,
                maxConnections: limits.maxConnections,
                callerMemoryBytes: memory.heldBytes,
            });
        }
        // The socket reports its close later; the parser may add requests of the connection until then.
        state.waiting = [];
        this.#closeWaitingHolder(state);
        this.#states.delete(state.socket);
        state.socket.destroy();
    }
}

/** @returns Whether a request of the connection has been read completely, so that it may run. */
function hasCompleteRequest({ open }: ConnectionState): boolean {
    return [...open.values()].some(incoming => incoming.complete);
}

function countUnsentBytes({ open, socket }: ConnectionState): number {
    let bytes = socket.writableLength;
    for (const outgoing of open.keys()) {
        // The first response has the socket, whose bytes its length contains.
        bytes += outgoing.socket === null ? outgoing.writableLength : 0;
    }
    return bytes;
}
