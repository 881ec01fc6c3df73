/** The body of a request that is being read. */
import type { IncomingMessage } from "node:http";
import type { CallbackGuard } from "../../base/callbackGuard.js";
import { log } from "../../base/log.js";
import type { CallerMemory, MemoryHolder } from "../../scheduling/callerMemory.js";
import { EdgeCounterNames } from "../metrics.js";
import type { CallerResponse, EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import type { OpenRequest } from "./openRequest.js";
import { type BodyRefusal, collectBody, discardBody } from "./requestBody.js";
import { expectedDurationMs, findStopRefusal } from "./stopCheck.js";

/** Retry-After while there is no memory for a body, in milliseconds: a retry goes to another host. */
const NoMemoryRetryMs = 100;

/** Refusal of a request for whose body there is no memory. */
export const NoMemory: EdgeFailure = { code: "Overloaded", ran: "no", retryAfterMs: NoMemoryRetryMs };

/**
 * Retry-After of a body whose parsing takes too long beside others, in milliseconds: bodies that compete with it may end in this time, and
 * another host may have none.
 */
const NoProcessorTimeRetryMs = 1_000;

/** Refusal of a request whose body takes too long to parse beside others. */
export const NoProcessorTime: EdgeFailure = { code: "Overloaded", ran: "no", retryAfterMs: NoProcessorTimeRetryMs };

/** The message of a request, and the response to it. */
export interface IncomingExchange {
    readonly message: IncomingMessage;
    readonly response: CallerResponse;
    /** Runs the callbacks of the request until its flow begins. */
    readonly guard: CallbackGuard;
}

/** Reads the body of a request, unless the request must be refused before that is complete. */
export class IncomingBody implements OpenRequest {
    readonly #dependencies: FlowDependencies;
    readonly #request: Omit<EdgeRequest, "body">;
    readonly #exchange: IncomingExchange;
    #discard: () => void = () => undefined;

    constructor(
        dependencies: FlowDependencies,
        request: Omit<EdgeRequest, "body">,
        exchange: IncomingExchange,
    ) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#exchange = exchange;
    }

    /**
     * Starts to read.
     * @param memory Account of the memory that the body takes.
     * @param holder Holder of that memory; closed by its owner.
     * @param onBody Called with the body; never when the request is refused or its caller disconnects first.
     */
    read(memory: CallerMemory, holder: MemoryHolder, onBody: (body: Buffer) => void): void {
        const { message, guard } = this.#exchange;
        message.once("aborted", () => this.#onDisconnect());
        const { maxBodyBytes } = this.#request.table.configuration.limits;
        const onEnd = (body: Buffer | BodyRefusal): void => {
            if (this.#exchange.response.isEnded) {
                return;
            }
            if (typeof body !== "string") {
                onBody(body);
                return;
            }
            this.#refuse(body === "noMemory" ? NoMemory : { code: "BodyTooLarge", ran: "no" }, { reason: body });
        };
        this.#discard = collectBody(message, maxBodyBytes, memory, holder, guard.wrap(onEnd));
    }

    /** Refuses the request, as its memory or processor time goes to others. */
    evict(failure: EdgeFailure): void {
        this.#discard();
        this.#exchange.guard.run(() => {
            if (!this.#exchange.response.isEnded) {
                this.#dependencies.metrics.counters.add(EdgeCounterNames.bodiesEvicted);
                this.#refuse(failure, { reason: "evicted" });
            }
        });
    }

    /** Refuses the request if it has yet to be sent and can no longer end before the process stops. */
    refuseIfLate(): void {
        const refusal = findStopRefusal(this.#dependencies, this.#request);
        if (refusal !== undefined) {
            this.#refuseForStop(refusal.neededMs, refusal.remainingMs);
        }
    }

    /** Ends the request, as the process stops now. */
    interruptForStop(): void {
        const { deadlineAtMs, arrivedAtMs } = this.#request;
        this.#refuseForStop(expectedDurationMs(this.#dependencies, this.#request, deadlineAtMs - arrivedAtMs), 0);
    }

    #refuseForStop(neededMs: number, remainingMs: number): void {
        this.#exchange.guard.run(() => {
            if (this.#exchange.response.isEnded) {
                return;
            }
            const { metrics, stopMonitor } = this.#dependencies;
            metrics.counters.add(EdgeCounterNames.requestsRefused);
            const { arrivedAtMs } = this.#request;
            this.#refuse(
                { code: "ShuttingDown", ran: "no", retryAfterMs: 0 },
                stopMonitor.recordRefused({ arrivedAtMs, neededMs, remainingMs }),
            );
        });
    }

    #refuse(failure: EdgeFailure, details: object): void {
        const { message, response, guard } = this.#exchange;
        const { requestId, route } = this.#request;
        log.info("request refused", { request: requestId, route: route.name, ...details, ...failure });
        response.sendError(failure, end => discardBody(message, guard.wrap(end)));
    }

    #onDisconnect(): void {
        const { clock, metrics, hostLoad } = this.#dependencies;
        const { requestId, route, arrivedAtMs } = this.#request;
        metrics.counters.add(EdgeCounterNames.callersDisconnectedReading);
        log.info("caller disconnected while its request was read", {
            request: requestId,
            route: route.name,
            elapsedMs: Math.round(clock.monotonicMs() - arrivedAtMs),
            ...hostLoad(),
        });
    }
}
