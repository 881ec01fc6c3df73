/** A pool of connections to one upstream. */
import type { Clock } from "../../base/clock.js";
import type { ResponseHead } from "./responseParser.js";
import { UpstreamConnection } from "./upstreamConnection.js";

/** Maximum time to open a connection, in milliseconds; callers allow one second for a new connection. */
const ConnectTimeoutMs = 500;

/**
 * Idle time after which a connection is no longer reused, in milliseconds; shorter if the upstream announces a lower limit.
 */
const DefaultIdleMs = 4_000;

/** Fraction of the announced idle limit that is used, so that a request is not sent while the upstream closes the connection. */
const IdleLimitFraction = 0.6;

/** Opens and reuses connections to one address. */
export class ConnectionPool {
    readonly #address: string;
    readonly #clock: Clock;
    readonly #idle: UpstreamConnection[] = [];
    readonly #connections = new Set<UpstreamConnection>();

    constructor(address: string, clock: Clock) {
        this.#address = address;
        this.#clock = clock;
    }

    /** @returns Number of open connections, including idle ones. */
    get size(): number {
        return this.#connections.size;
    }

    /**
     * Takes the most recently used idle connection, or opens a new one.
     * @param maxIdleMs Maximum idle time of a connection to reuse, in milliseconds.
     */
    acquire(maxIdleMs: number): UpstreamConnection {
        const nowMs = this.#clock.monotonicMs();
        for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
            if (connection.isReusable(nowMs) && nowMs - connection.idleSinceMs <= maxIdleMs) {
                return connection;
            }
            connection.destroy();
        }
        return this.#open(ConnectTimeoutMs);
    }

    /**
     * Opens a connection to find out whether the address can be reached, and keeps it for later requests.
     * @param connectTimeoutMs Maximum time to open the connection, in milliseconds.
     * @param isKept Called when the connection is open; it is closed at once if the result is `false`.
     * @returns Why no connection could be opened; `undefined` if one was.
     */
    probe(connectTimeoutMs: number, isKept: () => boolean): Promise<string | undefined> {
        return new Promise(resolve => {
            const connection = this.#open(connectTimeoutMs);
            connection.onceOpen(failure => {
                if (failure === undefined && isKept()) {
                    this.#keepIdle(connection, DefaultIdleMs);
                }
                else {
                    connection.destroy();
                }
                resolve(failure);
            });
        });
    }

    /**
     * Returns a connection to the pool after a complete response.
     * @param head Head of the response, which may announce an idle limit in `Keep-Alive`.
     */
    release(connection: UpstreamConnection, head: ResponseHead): void {
        if (connection.isClosed) {
            return;
        }
        const announcedS = /(?:^|[\s,;])timeout=([0-9]+)/.exec(head.headersByName.get("keep-alive") ?? "")?.[1];
        const idleMs = announcedS === undefined ? DefaultIdleMs : Number(announcedS) * 1_000 * IdleLimitFraction;
        this.#keepIdle(connection, Math.min(DefaultIdleMs, idleMs));
    }

    /** Closes idle connections that may no longer be reused. */
    closeExpired(): void {
        const nowMs = this.#clock.monotonicMs();
        for (const connection of this.#idle.splice(0)) {
            if (connection.isReusable(nowMs)) {
                this.#idle.push(connection);
            }
            else {
                connection.destroy();
            }
        }
    }

    /** Closes all idle connections; running exchanges continue. */
    closeIdle(): void {
        for (const connection of this.#idle.splice(0)) {
            connection.destroy();
        }
    }

    #open(connectTimeoutMs: number): UpstreamConnection {
        const opened = new UpstreamConnection(this.#address, connectTimeoutMs, closed => this.#remove(closed));
        this.#connections.add(opened);
        return opened;
    }

    #keepIdle(connection: UpstreamConnection, idleMs: number): void {
        const nowMs = this.#clock.monotonicMs();
        connection.idleSinceMs = nowMs;
        connection.reusableUntilMs = nowMs + idleMs;
        this.#idle.push(connection);
    }

    #remove(connection: UpstreamConnection): void {
        this.#connections.delete(connection);
        const index = this.#idle.indexOf(connection);
        if (index >= 0) {
            this.#idle.splice(index, 1);
        }
    }
}
