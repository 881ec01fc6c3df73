/** Connections to one upstream. */
import type { Clock } from "../../base/clock.js";
import type { ResponseHead } from "./responseParser.js";
import { UpstreamConnection } from "./upstreamConnection.js";

/** Longest time to open a connection, in milliseconds; callers allow a new connection one second. */
const ConnectTimeoutMs = 500;

/** Idle time after which a connection is not reused when the upstream announces no limit, in milliseconds. */
const DefaultIdleMs = 4_000;

/** Part of the announced idle limit that is used, so that a reuse does not cross the upstream's close. */
const IdleLimitPart = 0.6;

/** Opens, keeps and reuses connections to one address. */
export class ConnectionPool {
    readonly #address: string;
    readonly #clock: Clock;
    readonly #idle: UpstreamConnection[] = [];
    readonly #all = new Set<UpstreamConnection>();

    constructor(address: string, clock: Clock) {
        this.#address = address;
        this.#clock = clock;
    }

    /** @returns Open connections, idle ones included. */
    get size(): number {
        return this.#all.size;
    }

    /**
     * Takes the connection that was used last, or opens a new one.
     * @param maxIdleMs Longest idle time of a connection to reuse, in milliseconds.
     */
    acquire(maxIdleMs: number): UpstreamConnection {
        const nowMs = this.#clock.monotonicMs();
        for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
            if (connection.isReusable(nowMs) && nowMs - connection.idleSinceMs <= maxIdleMs) {
                return connection;
            }
            connection.destroy();
        }
        const opened = new UpstreamConnection(this.#address, ConnectTimeoutMs, closed => this.#forget(closed));
        this.#all.add(opened);
        return opened;
    }

    /** Gives a connection back after a complete response. */
    release(connection: UpstreamConnection, head: ResponseHead): void {
        if (connection.isClosed) {
            return;
        }
        const announcedS = /(?:^|[\s,;])timeout=([0-9]+)/.exec(head.headersByName.get("keep-alive") ?? "")?.[1];
        const idleMs = announcedS === undefined ? DefaultIdleMs : Number(announcedS) * 1_000 * IdleLimitPart;
        const nowMs = this.#clock.monotonicMs();
        connection.idleSinceMs = nowMs;
        connection.reusableUntilMs = nowMs + Math.min(DefaultIdleMs, idleMs);
        this.#idle.push(connection);
    }

    /** Closes connections that may no longer be reused. */
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

    /** Closes the idle connections; running exchanges go on. */
    closeIdle(): void {
        for (const connection of this.#idle.splice(0)) {
            connection.destroy();
        }
    }

    #forget(connection: UpstreamConnection): void {
        this.#all.delete(connection);
        const index = this.#idle.indexOf(connection);
        if (index >= 0) {
            this.#idle.splice(index, 1);
        }
    }
}
