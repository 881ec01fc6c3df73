/** The limits of all listeners of one process, and the accounts of memory and processor time that they share. */
import type { Server } from "node:http";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { CallerMemory } from "../../scheduling/callerMemory.js";
import { ParseScheduler } from "../../scheduling/parseScheduler.js";
import type { EdgeSettings } from "../edgeSettings.js";
import { ListenerLimits } from "./listenerLimits.js";
import { deriveLimits, type ProcessLimits } from "./processLimits.js";

/** Creates the limits of listeners that are not for callers. */
export class ProcessListeners {
    readonly memory: CallerMemory;
    readonly parsing: ParseScheduler;
    readonly limits: ProcessLimits;
    readonly #settings: EdgeSettings;
    readonly #clock: Clock;
    readonly #listeners: ListenerLimits[] = [];

    constructor(settings: EdgeSettings, clock: Clock) {
        this.#settings = settings;
        this.#clock = clock;
        this.limits = deriveLimits(settings);
        this.memory = new CallerMemory(this.limits.callerMemoryBytes, clock);
        this.parsing = new ParseScheduler(clock, settings.callerLimits);
    }

    /** Bounds the connections of a listener of other hosts. */
    readonly limitPeers = (server: Server): ListenerLimits => this.#limit("peers", server, this.limits.peerConnections);

    /** Bounds the connections of a listener for readiness or metrics, which responds to each request at once. */
    readonly limitOperators = (server: Server): void => {
        const limits = this.#limit("operators", server, this.limits.operatorConnections);
        server.on("request", (request, response) => limits.admit(request, response, () => undefined));
    };

    /** Closes connections that hold memory without progress; called every few tens of milliseconds. */
    tick(): void {
        this.#listeners.forEach(listener => listener.tick());
    }

    #limit(listener: string, server: Server, maxConnections: number): ListenerLimits {
        const { maxPipelinedRequests, unreadTimeoutMs, maxStrayBytes } = this.#settings.callerLimits;
        const limits = new ListenerLimits(server, {
            clock: this.#clock,
            memory: this.memory,
            parsing: this.parsing,
            maxConnections,
            maxPipelinedRequests,
            maxOpenRequests: Number.POSITIVE_INFINITY,
            unreadTimeoutMs,
            maxStrayBytes,
            onClose: ({ remoteAddress, remotePort }, reason) =>
                log.info("connection closed", { listener, reason, remote: `${remoteAddress}:${remotePort}` }),
        });
        this.#listeners.push(limits);
        return limits;
    }
}
