/** The HTTP server for callers: reads requests, routes them and starts their flows. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import { CallbackGuard, describeError } from "../../base/callbackGuard.js";
import { waitForEventLoopPoll } from "../../base/eventLoopPoll.js";
import { findInvalidHeaderName } from "../../base/headerSyntax.js";
import { log } from "../../base/log.js";
import type { CallerMemory } from "../../scheduling/callerMemory.js";
import type { ParseScheduler } from "../../scheduling/parseScheduler.js";
import type { EdgeSettings } from "../edgeSettings.js";
import type { CallerLimits, EdgeTeam, RequestMetadata, Route } from "../edgeTypes.js";
import { ListenerLimits } from "../listener/listenerLimits.js";
import type { ProcessLimits } from "../listener/processLimits.js";
import { EdgeCounterNames } from "../metrics.js";
import { chooseService, type RouteTable } from "../routing/routeTable.js";
import { CallerConnections, type CloseReason } from "./callerConnections.js";
import { CallerDisconnectMonitor } from "./callerDisconnectMonitor.js";
import { CallerResponse, type EdgeFailure } from "./callerResponse.js";
import { ConnectionByteCounter } from "./connectionByteCounter.js";
import type { FlowDependencies } from "./flowTypes.js";
import { HeaderTimeout } from "./headerTimeout.js";
import { IncomingBody, NoMemory, NoProcessorTime } from "./incomingBody.js";
import { LinkLoad } from "./linkLoad.js";
import type { OpenRequest } from "./openRequest.js";
import { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";
import { announcedLength, discardBody, hasBody } from "./requestBody.js";
import { RequestFlow } from "./requestFlow.js";
import { readTarget, replaceHost, type RequestTarget } from "./requestTarget.js";
import { findStopRefusal } from "./stopCheck.js";
import type { AffectedRequest, StopLogFields } from "./stopMonitor.js";

/** The configuration in force, as the server needs it. */
export interface ConfigurationView {
    /** `undefined` until a configuration is known. */
    readonly routeTable: RouteTable | undefined;
    /** Whether the store has confirmed the configuration recently. */
    readonly isFresh: boolean;
}

/** Collaborators and settings of a {@link CallerServer}. */
export interface CallerServerDependencies extends Omit<FlowDependencies, "hostLoad" | "linkBacklog"> {
    /** Maximum size of a request head, in bytes. */
    readonly maxHeaderBytes: number;
    /** @returns The configuration in force. */
    configuration(): ConfigurationView;
    /** Account of what callers make the process hold. */
    readonly callerMemory: CallerMemory;
    /** Account of the processor time that parsing takes. */
    readonly parsing: ParseScheduler;
    readonly processLimits: ProcessLimits;
    readonly callerLimits: EdgeSettings["callerLimits"];
    /** Capacity of the host's link in each direction, in bytes per second; `undefined` when unknown. */
    readonly linkBytesPerS: number | undefined;
    /** @returns Whether it is known which availability zones may get requests. */
    areEvacuationsKnown(): boolean;
    /** @returns Whether the process is shutting down. */
    isLeaving(): boolean;
    /** @returns Most recent delay of the event loop, in milliseconds. */
    loopDelayMs(): number;
}

/** Interval at which connections are checked for request heads that exceed the header timeout, in milliseconds. */
const HeadCheckIntervalMs = 500;

/** Idle and header timeouts until a configuration is known, in milliseconds. */
const InitialIdleMs = 15_000;
const InitialHeaderMs = 3_000;

/** Retry-After while the host lacks a current configuration, in milliseconds: a store outage may last some seconds. */
const NotReadyRetryMs = 500;

/** Retry-After while the link is full, in milliseconds: a retry goes to another host. */
const LinkFullRetryMs = 50;

/** Maximum time in which a stop accepts the connections of a full listen queue, in milliseconds. */
const MaxAcceptMs = 1_000;

/** Interval at which the load of the link is measured, in milliseconds. */
const LinkCheckIntervalMs = 100;

/** Time limit of a request whose caller states no deadline, in milliseconds. */
const DefaultDeadlineMs = 60_000;

/** Added to the idle timeout that responses announce, so that requests rarely arrive while the connection is being closed, in milliseconds. */
const AnnouncedGraceMs = 1_000;

/** HTTP server for callers. */
export class CallerServer {
    readonly #dependencies: CallerServerDependencies;
    readonly #flowDependencies: FlowDependencies;
    readonly #server: Server;
    readonly #byteCounter: ConnectionByteCounter;
    readonly #connections: CallerConnections;
    readonly #headerTimeout = new HeaderTimeout(InitialHeaderMs);
    readonly #linkLoad: LinkLoad;
    readonly #linkBacklog: OutgoingLinkBacklog;
    readonly #listenerLimits: ListenerLimits;
    #linkCheckedAtMs = 0;
    #wasLinkBusy = false;
    #openRequestCount = 0;
    #isRefusing = false;
    readonly #openRequests = new Map<ServerResponse, OpenRequest>();

    constructor(dependencies: CallerServerDependencies) {
        this.#dependencies = dependencies;
        this.#linkBacklog = new OutgoingLinkBacklog(dependencies.linkBytesPerS, dependencies.clock);
        this.#flowDependencies = {
            ...dependencies,
            linkBacklog: this.#linkBacklog,
            hostLoad: () => ({
                loopDelayMs: Math.round(dependencies.loopDelayMs()),
                linkUsedPart: Math.round(this.#linkLoad.usedFraction * 100) / 100,
                linkBacklogMs: Math.round(this.#linkBacklog.backlogMs),
            }),
        };
        this.#server = createServer({
            maxHeaderSize: dependencies.maxHeaderBytes,
            keepAliveTimeout: InitialIdleMs + AnnouncedGraceMs,
            headersTimeout: InitialHeaderMs,
            requestTimeout: 0,
            connectionsCheckingInterval: HeadCheckIntervalMs,
            noDelay: true,
        }, (request, response) => {
            const guard = new CallbackGuard(error => this.#onRequestError(error, request, response));
            this.#listenerLimits.admit(
                request,
                response,
                () => guard.run(() => this.#onRequest(request, response, guard)),
            );
        });
        this.#byteCounter = new ConnectionByteCounter(this.#server);
        this.#connections = new CallerConnections(
            this.#server,
            dependencies.clock,
            dependencies.metrics.counters,
        );
        this.#linkLoad = new LinkLoad(dependencies.linkBytesPerS);
        this.#listenerLimits = new ListenerLimits(this.#server, {
            clock: dependencies.clock,
            memory: dependencies.callerMemory,
            parsing: dependencies.parsing,
            maxConnections: dependencies.processLimits.callerConnections,
            maxPipelinedRequests: dependencies.callerLimits.maxPipelinedRequests,
            maxOpenRequests: dependencies.processLimits.openRequests,
            unreadTimeoutMs: dependencies.callerLimits.unreadTimeoutMs,
            // A head that is not complete belongs to no request.
            maxStrayBytes: Math.max(dependencies.callerLimits.maxStrayBytes, 2 * dependencies.maxHeaderBytes),
            onClose: (socket, reason) => this.#connections.recordClose(socket, reason),
        });
    }

    /** @returns Number of requests without a complete response. */
    get openRequestCount(): number {
        return this.#openRequestCount;
    }

    /** @returns Whether new callers should go to other hosts. */
    get isLinkBusy(): boolean {
        return this.#linkLoad.isBusy;
    }

    /**
     * Closes idle connections, refuses waiting requests that can no longer end before the process stops, and measures the load of the
     * link; called every few tens of milliseconds.
     */
    tick(): void {
        this.#connections.tick();
        this.#listenerLimits.tick();
        const { callerMemory, callerLimits } = this.#dependencies;
        callerMemory.evictStalled(callerLimits.unreadTimeoutMs, callerLimits.bodyTimeoutMs);
        if (this.#dependencies.isLeaving()) {
            // A wait for tokens or for a body may last until the request can no longer end.
            this.#openRequests.forEach(request => request.refuseIfLate());
        }
        const nowMs = this.#dependencies.clock.monotonicMs();
        if (nowMs - this.#linkCheckedAtMs < LinkCheckIntervalMs) {
            return;
        }
        this.#linkCheckedAtMs = nowMs;
        this.#server.headersTimeout = this.#headerTimeout.effectiveMs(nowMs);
        this.#linkLoad.recordBytes(this.#byteCounter.totalBytes, nowMs);
        if (this.#linkLoad.isBusy !== this.#wasLinkBusy) {
            this.#wasLinkBusy = this.#linkLoad.isBusy;
            log.info(this.#wasLinkBusy ? "link busy" : "link calm", {
                usedPart: this.#linkLoad.usedFraction,
                open: this.#openRequestCount,
            });
        }
    }

    /**
     * Starts listening.
     * @returns The port, which the system chooses when `port` is 0.
     */
    async start(host: string, port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen({ host, port, backlog: 1_024 }, resolve);
        });
        const address = this.#server.address();
        return typeof address === "object" && address !== null ? address.port : port;
    }

    /** Applies the timeouts of a configuration to request heads that begin, and responses that are announced, from now on. */
    applyLimits(limits: CallerLimits): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        this.#headerTimeout.set(limits.headerTimeoutMs, nowMs);
        this.#server.headersTimeout = this.#headerTimeout.effectiveMs(nowMs);
        this.#server.keepAliveTimeout = limits.idleTimeoutMs + AnnouncedGraceMs;
    }

    /**
     * Stops accepting connections and closes idle ones; the connection of an open request closes some time after the request has ended.
     * Connections that are already in the listen queue are accepted, and requests that have arrived are read, before that.
     * @param isInTime Whether the stop still has time for that.
     */
    async stopAccepting(isInTime: () => boolean): Promise<void> {
        // Each poll of the event loop accepts one connection, and closing the listener resets those that are still in its queue.
        const untilMs = this.#dependencies.clock.monotonicMs() + MaxAcceptMs;
        let acceptedCount: number;
        do {
            ({ acceptedCount } = this.#connections);
            await waitForEventLoopPoll();
        }
        while (
            this.#connections.acceptedCount > acceptedCount && isInTime() &&
            this.#dependencies.clock.monotonicMs() < untilMs
        );
        // `close` of an HTTP server also destroys connections whose first request has not been read.
        NetServer.prototype.close.call(this.#server);
        this.#connections.startStopping();
    }

    /** @returns Number of connections on which a request is expected: new ones, and those on which a part of one has arrived. */
    get expectedRequestCount(): number {
        return this.#connections.expectedRequestCount;
    }

    /** @returns Whether connections are kept open on which the next request may arrive at any moment, after {@link stopAccepting}. */
    get isNextRequestExpected(): boolean {
        return this.#connections.isNextRequestExpected;
    }

    /** Ends all connections on which no request is open or begun. */
    endUnusedConnections(): void {
        this.#connections.endUnused();
    }

    /** Ends all open requests with a failure that tells whether they may have run. */
    interruptRequests(): void {
        this.#openRequests.forEach(request => request.interruptForStop());
    }

    /** Refuses requests that still arrive on open connections, as there is no time left to complete them. */
    refuseRequests(): void {
        this.#isRefusing = true;
    }

    /** Closes all connections at once, also those with open requests. */
    destroy(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** @param guard Runs the callbacks of the request until its flow begins. */
    #onRequest(request: IncomingMessage, response: ServerResponse, guard: CallbackGuard): void {
        const arrivedAtMs = this.#dependencies.clock.monotonicMs();
        const target = findInvalidHeaderName(request.rawHeaders) === undefined ?
            readTarget(request.url ?? "", request.headers.host) :
            undefined;
        const closeReason = target !== undefined ? this.#closeReason(arrivedAtMs) : "unreadable";
        if (!this.#connections.recordRequest(request, response, closeReason)) {
            this.#ignore(request);
            return;
        }
        this.#openRequestCount++;
        response.once("close", () => {
            this.#openRequestCount--;
            this.#openRequests.delete(response);
        });
        response.on("error", error => log.debug("caller connection failed", { error: error.message }));
        const metadata = this.#dependencies.codec.readRequestHeaders(request.rawHeaders);
        const callerResponse = new CallerResponse(
            response,
            this.#dependencies.codec,
            metadata.requestId,
            bytes => this.#linkBacklog.recordWritten(bytes),
            () => {
                this.#dependencies.metrics.counters.add(EdgeCounterNames.responsesAborted);
                log.info("response aborted", { request: metadata.requestId, hasBegun: response.headersSent });
            },
        );
        const routed = target === undefined ? MalformedHead : this.#route(request, target, metadata, arrivedAtMs);
        if ("code" in routed) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.requestsRefused);
            log.info("request refused", {
                request: metadata.requestId,
                host: target?.host,
                path: pathOf(target?.path ?? ""),
                configuration: this.#dependencies.configuration().routeTable?.configuration.version,
                ...routed,
            });
            callerResponse.sendError(routed, end => discardBody(request, guard.wrap(end)));
            return;
        }
        this.#readAndRun(
            request,
            response,
            callerResponse,
            metadata,
            routed,
            arrivedAtMs,
            guard,
        );
    }

    /** Ends a request after an error of the program that occurred before its flow began; it has not run. */
    #onRequestError(error: unknown, request: IncomingMessage, response: ServerResponse): void {
        const { codec, metrics } = this.#dependencies;
        log.error("request not handled", {
            request: request.headers[codec.requestIdHeader.toLowerCase()],
            error: describeError(error),
        });
        const ignore = (): void => undefined;
        const callerResponse = new CallerResponse(response, codec, undefined, ignore, ignore);
        try {
            callerResponse.sendError({ code: "InternalError", ran: "no" });
        }
        catch (secondError) {
            log.error("request not answered", { error: describeError(secondError) });
        }
        callerResponse.abortUnfinished();
        metrics.counters.add(EdgeCounterNames.requestsFailed);
    }

    /** Handles a request that arrived while its connection was being closed. It is not run, as no response could be sent. */
    #ignore(request: IncomingMessage): void {
        const { requestId } = this.#dependencies.codec.readRequestHeaders(request.rawHeaders);
        this.#connections.recordRequestAfterClose(request.socket, requestId);
        request.resume();
        if (!request.socket.writable) {
            request.socket.destroy();
        }
    }

    /** @returns Why the connection of a request that arrives now is closed after its response; `undefined` when it is kept. */
    #closeReason(nowMs: number): CloseReason | undefined {
        if (this.#dependencies.isLeaving()) {
            return "stop";
        }
        return this.#linkLoad.shouldCloseConnections(nowMs) ? "link" : undefined;
    }

    #route(
        request: IncomingMessage,
        target: RequestTarget,
        metadata: RequestMetadata,
        arrivedAtMs: number,
    ): RoutedRequest | EdgeFailure {
        const { routeTable: table, isFresh } = this.#dependencies.configuration();
        if (this.#isRefusing) {
            return this.#refuseForStop("NotReady", { arrivedAtMs, neededMs: undefined, remainingMs: undefined });
        }
        if (table === undefined) {
            return { code: "NotReady", ran: "no", retryAfterMs: NotReadyRetryMs };
        }
        if (!this.#dependencies.areEvacuationsKnown()) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.evacuationRefusals);
            return { code: "NotReady", ran: "no", retryAfterMs: NotReadyRetryMs };
        }
        if (this.#linkLoad.isFull) {
            return { code: "Overloaded", ran: "no", retryAfterMs: LinkFullRetryMs };
        }
        if (metadata.requestId === undefined) {
            return { code: "MalformedHeader", ran: "no" };
        }
        const route = table.findRoute(target.host ?? "", pathOf(target.path));
        if (route === undefined) {
            return unknownFailure("UnknownPath", isFresh);
        }
        const team = metadata.apiKey === undefined ? undefined : table.findTeamByApiKey(metadata.apiKey);
        if (team === undefined && table.isApiKeyRequired && !route.isPublic) {
            return unknownFailure("UnknownKey", isFresh);
        }
        const length = Number(request.headers["content-length"] ?? 0);
        if (length > table.configuration.limits.maxBodyBytes) {
            return { code: "BodyTooLarge", ran: "no" };
        }
        if (!this.#listenerLimits.hasRoomFor(request.socket) || !this.#dependencies.callerMemory.canTake(length)) {
            return NoMemory;
        }
        const service = chooseService(route, this.#dependencies.random.next());
        const routed = {
            target,
            table,
            route,
            team,
            service,
            deadlineAtMs: arrivedAtMs + timeLimitOf(metadata, route),
        };
        // Before the body is read, so that the caller can go on elsewhere at once.
        const refusal = findStopRefusal(this.#dependencies, { ...routed, metadata });
        return refusal === undefined ? routed : this.#refuseForStop("ShuttingDown", { arrivedAtMs, ...refusal });
    }

    #refuseForStop(code: "NotReady" | "ShuttingDown", request: AffectedRequest): EdgeFailure & StopLogFields {
        return { code, ran: "no", retryAfterMs: 0, ...this.#dependencies.stopMonitor.recordRefused(request) };
    }

    #readAndRun(
        message: IncomingMessage,
        response: ServerResponse,
        callerResponse: CallerResponse,
        metadata: RequestMetadata,
        routed: RoutedRequest,
        arrivedAtMs: number,
        guard: CallbackGuard,
    ): void {
        const { target, ...choice } = routed;
        const hasOtherHost = target.host !== undefined && target.host !== message.headers.host;
        const disconnectMonitor = new CallerDisconnectMonitor(message, response);
        const request = {
            requestId: metadata.requestId!,
            method: message.method ?? "GET",
            target: target.path,
            headers: hasOtherHost ? replaceHost(message.rawHeaders, target.host!) : message.rawHeaders,
            metadata,
            ...choice,
            arrivedAtMs,
        };
        const run = (body: Buffer | undefined) => {
            const flow = new RequestFlow(this.#flowDependencies, { ...request, body }, callerResponse);
            this.#openRequests.set(response, flow);
            disconnectMonitor.onDisconnect(() => flow.onCallerDisconnect());
            void flow.run();
        };
        if (!hasBody(message)) {
            run(undefined);
            return;
        }
        const body = new IncomingBody(this.#flowDependencies, request, { message, response: callerResponse, guard });
        this.#openRequests.set(response, body);
        const { callerMemory } = this.#dependencies;
        const holder = callerMemory.open(() => {
            this.#connections.closeAfterResponse(message, response, "memory");
            body.evict(NoMemory);
        }, announcedLength(message) ?? routed.table.configuration.limits.maxBodyBytes);
        response.once("close", () => callerMemory.close(holder));
        this.#listenerLimits.onEvict(message.socket, () => {
            callerMemory.close(holder);
            this.#connections.closeAfterResponse(message, response, "parsing");
            body.evict(NoProcessorTime);
        });
        body.read(callerMemory, holder, run);
    }
}

/** Refusal of a request whose head has an invalid header name, which an upstream might read as another header, or an invalid target. */
const MalformedHead: EdgeFailure = { code: "MalformedHeader", ran: "no" };

/** Target, route, service and team of a request, with the configuration that they come from. */
interface RoutedRequest {
    readonly target: RequestTarget;
    readonly table: RouteTable;
    readonly route: Route;
    readonly team: EdgeTeam | undefined;
    readonly service: string;
    /** Monotonic time by which the response must be complete, in milliseconds. */
    readonly deadlineAtMs: number;
}

/** A host whose configuration may be outdated cannot tell whether a path or key is unknown, so it reports `NotReady`. */
function unknownFailure(code: "UnknownPath" | "UnknownKey", isFresh: boolean): EdgeFailure {
    return isFresh ? { code, ran: "no" } : { code: "NotReady", ran: "no", retryAfterMs: NotReadyRetryMs };
}

/** @returns Maximum time that a request is kept waiting, in milliseconds. */
function timeLimitOf(metadata: RequestMetadata, route: Route): number {
    return Math.min(metadata.deadlineMs ?? DefaultDeadlineMs, route.timeoutMs);
}

function pathOf(target: string): string {
    const query = target.indexOf("?");
    return query < 0 ? target : target.slice(0, query);
}
