/** Bounds the connections of the peer listener. */
import type { Socket } from "node:net";
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";

/** State of one connection. */
interface PeerConnection {
    readonly socket: Socket;
    /** Monotonic time of the latest call that was accepted, in milliseconds; `undefined` before the first one. */
    acceptedCallAtMs: number | undefined;
}

/** Knows the open connections and closes the least useful one when there are too many. */
export class PeerConnections {
    readonly #maxConnections: number;
    readonly #clock: Clock;
    readonly #counters: Pick<Counters, "add" | "set">;
    /** By address and port of the peer, in the order in which they were opened. */
    readonly #connections = new Map<string, PeerConnection>();

    constructor(maxConnections: number, clock: Clock, counters: Pick<Counters, "add" | "set">) {
        this.#maxConnections = maxConnections;
        this.#clock = clock;
        this.#counters = counters;
    }

    /** Adds a connection. Above the limit, closes the oldest without an accepted call or, if each has had one, that of the oldest call. */
    add(socket: Socket): void {
        const peer = addressOf(socket);
        this.#connections.set(peer, { socket, acceptedCallAtMs: undefined });
        socket.once("close", () => this.#remove(peer, socket));
        if (this.#connections.size > this.#maxConnections) {
            this.#counters.add("peer.server.closedForLimit");
            this.#findLeastUseful()?.destroy();
        }
        this.#updateGauge();
    }

    /**
     * Records that a call was accepted, so that its connection belongs to a router.
     * @param peer Address and port of the peer.
     */
    recordCall(peer: string): void {
        const connection = this.#connections.get(peer);
        if (connection !== undefined) {
            connection.acceptedCallAtMs = this.#clock.monotonicMs();
        }
    }

    /** Closes all connections. */
    closeAll(): void {
        this.#connections.forEach(({ socket }) => socket.destroy());
    }

    #findLeastUseful(): Socket | undefined {
        let least: PeerConnection | undefined;
        for (const connection of this.#connections.values()) {
            if (connection.socket.destroyed) {
                continue;
            }
            if (connection.acceptedCallAtMs === undefined) {
                return connection.socket;
            }
            if (connection.acceptedCallAtMs < (least?.acceptedCallAtMs ?? Number.POSITIVE_INFINITY)) {
                least = connection;
            }
        }
        return least?.socket;
    }

    #remove(peer: string, socket: Socket): void {
        if (this.#connections.get(peer)?.socket === socket) {
            this.#connections.delete(peer);
            this.#updateGauge();
        }
    }

    #updateGauge(): void {
        this.#counters.set("peer.server.connections.open", this.#connections.size);
    }
}

/** @returns Address and port of the peer, as a call states them. */
function addressOf({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress}:${remotePort}`;
}
