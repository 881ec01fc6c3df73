/** Makes calls to the store for hosts that cannot reach it themselves. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { SystemClock } from "../../base/clock.js";
import { GrowingBuffer } from "../../base/growingBuffer.js";
import { log } from "../../base/log.js";
import type { CircuitBreakerStore } from "../../platform/circuitBreakerStore.js";
import { MaxValueBytes } from "../../platform/platformStore.js";
import { CallerMemory } from "../../scheduling/callerMemory.js";
import { appendCounted } from "../../scheduling/countedBuffer.js";
import {
    type StoreCall,
    type StoreCallOutcome,
    StoreCallSchema,
    StoreUnreachableStatus,
} from "./storeProxyMessages.js";

/** Maximum size of a request, in bytes: the largest value and the fields around it. */
const MaxRequestBytes = MaxValueBytes + 16_384;

/** Serves the endpoint. Calls go to this host's own connection to the store only, so that no call is passed on in a circle. */
export class StoreProxyServer {
    readonly #store: CircuitBreakerStore;
    readonly #memory: CallerMemory;

    /**
     * @param store This host's own access to the store.
     * @param memory Account of the memory that requests take; by default without a limit.
     */
    constructor(
        store: CircuitBreakerStore,
        memory: CallerMemory = new CallerMemory(Number.POSITIVE_INFINITY, new SystemClock()),
    ) {
        this.#store = store;
        this.#memory = memory;
    }

    /** Reads the call, makes it and responds; refuses it at once while the store is unreachable from this host. */
    async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const call = await readCall(request, this.#memory);
            if (call === undefined) {
                respond(response, 400, { problem: "not a call to the store" });
            }
            else if (this.#store.isCircuitOpen) {
                respond(response, StoreUnreachableStatus, {});
            }
            else {
                respond(response, 200, await this.#perform(call));
            }
        }
        catch (error) {
            log.warn("store call of another host failed", { error: String(error) });
            respond(response, 500, {});
        }
    }

    #perform(call: StoreCall): Promise<StoreCallOutcome> {
        switch (call.call) {
            case "get":
                return this.#store.get(call.key);
            case "put":
                return this.#store.put(call.key, call.value, call.expectedVersion);
            case "delete":
                return this.#store.delete(call.key, call.expectedVersion);
            case "list":
                return this.#store.list(call.prefix, call.afterKey, call.limit) as Promise<StoreCallOutcome>;
            case "watch":
                return this.#store.watch(call.prefix, call.afterRevision, call.waitMs) as Promise<StoreCallOutcome>;
        }
    }
}

/**
 * @returns The call in the body; `undefined` when the body is too large, is not a call, or there is no memory for it. Rejects when it
 * breaks off.
 */
async function readCall(request: IncomingMessage, memory: CallerMemory): Promise<StoreCall | undefined> {
    const buffer = new GrowingBuffer(MaxRequestBytes);
    const holder = memory.open(() => request.destroy());
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            if (appendCounted(buffer, chunk, memory, holder) !== undefined) {
                return undefined;
            }
        }
        return StoreCallSchema.safeParse(JSON.parse(buffer.take().toString("utf8"))).data;
    }
    catch (error) {
        if (!request.complete) {
            throw error;
        }
        log.debug("store call of another host not readable", { error: String(error) });
        return undefined;
    }
    finally {
        memory.close(holder);
    }
}

function respond(response: ServerResponse, status: number, body: object): void {
    if (response.destroyed || response.headersSent) {
        log.debug("store call response not sent: the host has disconnected", { status });
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
