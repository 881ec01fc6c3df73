/** Test fixture: many clients that ignore the limits of a listener, for as long as a test needs them. */
import type { Socket } from "node:net";
import { sleep } from "../base/sleep.js";

/** Time after which a client connects again when its connection was closed, in milliseconds. */
const ReconnectMs = 50;

/** What each client of a crowd does. */
export interface CrowdPlan {
    readonly clientCount: number;
    /** @returns What a client sends first on each connection. */
    first(): string;
    /** What it sends after that, again and again. */
    readonly piece: string;
    /** Number of pieces that a client sends on one connection; by default it goes on until the connection is closed. */
    readonly piecesPerConnection?: number;
    /** Time after which a client closes its connection, in milliseconds; by default it does not. */
    readonly leaveAfterMs?: number;
}

/** Clients that send as fast as their connections take it, read nothing, and connect again when they are disconnected. */
export class ClientCrowd {
    readonly #plan: CrowdPlan;
    readonly #connect: () => Socket;
    #isActing = true;

    /** @param connect Opens a connection whose errors are handled. */
    constructor(plan: CrowdPlan, connect: () => Socket) {
        this.#plan = plan;
        this.#connect = connect;
    }

    /** Starts all clients. */
    start(): void {
        for (let index = 0; index < this.#plan.clientCount; index++) {
            void this.#runClient();
        }
    }

    /** Disconnects all clients. */
    stop(): void {
        this.#isActing = false;
    }

    async #runClient(): Promise<void> {
        while (this.#isActing) {
            const socket = this.#connect();
            const leaveAtMs = performance.now() + (this.#plan.leaveAfterMs ?? Number.POSITIVE_INFINITY);
            socket.write(this.#plan.first());
            for (let sent = 0; this.#isUsable(socket, leaveAtMs); sent++) {
                const isDone = sent >= (this.#plan.piecesPerConnection ?? Number.POSITIVE_INFINITY);
                if (isDone || !socket.write(this.#plan.piece)) {
                    await this.#untilDrained(socket, leaveAtMs);
                }
            }
            socket.destroy();
            await sleep(ReconnectMs);
        }
    }

    async #untilDrained(socket: Socket, leaveAtMs: number): Promise<void> {
        let isDrained = false;
        socket.once("drain", () => isDrained = true);
        while (!isDrained && this.#isUsable(socket, leaveAtMs)) {
            await sleep(ReconnectMs);
        }
    }

    #isUsable(socket: Socket, leaveAtMs: number): boolean {
        return this.#isActing && !socket.destroyed && performance.now() < leaveAtMs;
    }
}
