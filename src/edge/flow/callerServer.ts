/** Accepts callers' requests, reads them and starts their flows. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { log } from "../../base/log.js";
import type { CallerLimits, EdgeTeam, RequestMetadata, Route } from "../edgeTypes.js";
import { EdgeCounterNames } from "../metrics.js";
import type { RouteTable } from "../routing/routeTable.js";
import { CallerDisconnectMonitor } from "./callerDisconnectMonitor.js";
import { CallerResponse, type EdgeFailure } from "./callerResponse.js";
import { ConnectionByteCounter } from "./connectionByteCounter.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { LinkLoad } from "./linkLoad.js";
import { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";
import { RequestFlow } from "./requestFlow.js";

/** The configuration in force, as the listener needs it. */
export interface ConfigurationView {
    readonly routeTable: RouteTable | undefined;
    /** Whether the configuration was confirmed by the store a moment ago. */
    readonly isFresh: boolean;
}

/** What the listener is built from. */
export interface CallerServerDependencies extends Omit<FlowDependencies, "hostLoad" | "linkBacklog"> {
    readonly maxHeaderBytes: number;
    configuration(): ConfigurationView;
    /** Capacity of the host's link in each direction, in bytes per second; `undefined` when it is not known. */
    readonly linkBytesPerS: number | undefined;
    /** @returns Whether the process is shutting down. */
    isLeaving(): boolean;
    /** @returns Newest delay of the event loop, in milliseconds. */
    loopDelayMs(): number;
}

/** Interval in which over-long heads are looked for, in milliseconds. */
const HeadCheckIntervalMs = 500;

/** Limits until a configuration is known. */
const InitialIdleMs = 15_000;
const InitialHeaderMs = 3_000;

/** Retry-After while the host cannot judge a request: a store outage of some seconds may last on, in milliseconds. */
const NotReadyRetryMs = 500;

/** Retry-After while the link is full, in milliseconds: a retry goes to another host. */
const LinkFullRetryMs = 50;

/** Interval in which the link's load is looked at, in milliseconds. */
const LinkCheckIntervalMs = 100;

/** Time allowed for a request whose caller states no deadline, in milliseconds. */
const DefaultDeadlineMs = 60_000;

/** Grace on the idle limit, so that a request that crosses the close is rare; in milliseconds. */
const IdleGraceMs = 1_000;

/** Listener for callers. */
export class CallerServer {
    readonly #dependencies: CallerServerDependencies;
    readonly #flowDependencies: FlowDependencies;
    readonly #server: Server;
    readonly #bytes: ConnectionByteCounter;
    readonly #link: LinkLoad;
    readonly #outgoing: OutgoingLinkBacklog;
    #linkCheckMs = 0;
    #wasBusy = false;
    #openCount = 0;
    #isStopping = false;
    #isRefusing = false;

    constructor(dependencies: CallerServerDependencies) {
        this.#dependencies = dependencies;
        this.#outgoing = new OutgoingLinkBacklog(dependencies.linkBytesPerS, dependencies.clock);
        this.#flowDependencies = {
            ...dependencies,
            linkBacklog: this.#outgoing,
            hostLoad: () => ({
                loopDelayMs: Math.round(dependencies.loopDelayMs()),
                linkUsedPart: Math.round(this.#link.usedFraction * 100) / 100,
                linkBacklogMs: Math.round(this.#outgoing.backlogMs),
            }),
        };
        this.#server = createServer({
            maxHeaderSize: dependencies.maxHeaderBytes,
            keepAliveTimeout: InitialIdleMs + IdleGraceMs,
            headersTimeout: InitialHeaderMs,
            requestTimeout: 0,
            connectionsCheckingInterval: HeadCheckIntervalMs,
            noDelay: true,
        }, (request, response) => this.#onRequest(request, response));
        this.#bytes = new ConnectionByteCounter(this.#server);
        this.#link = new LinkLoad(dependencies.linkBytesPerS);
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => onBadRequest(error, socket));
    }

    /** @returns Requests without a complete answer. */
    get openRequestCount(): number {
        return this.#openCount;
    }

    /** @returns Whether new callers should go to other hosts. */
    get isLinkBusy(): boolean {
        return this.#link.isBusy;
    }

    /** Looks at the link's load; called every few ten milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        if (nowMs - this.#linkCheckMs < LinkCheckIntervalMs) {
            return;
        }
        this.#linkCheckMs = nowMs;
        this.#link.recordBytes(this.#bytes.totalBytes, nowMs);
        if (this.#link.isBusy !== this.#wasBusy) {
            this.#wasBusy = this.#link.isBusy;
            log.info(this.#wasBusy ? "link busy" : "link calm", {
                usedPart: this.#link.usedFraction,
                open: this.#openCount,
            });
        }
    }

    /** Opens the listener. */
    async start(host: string, port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen({ host, port, backlog: 1_024 }, resolve);
        });
        const address = this.#server.address();
        return typeof address === "object" && address !== null ? address.port : port;
    }

    /** Applies the limits of a configuration to later requests. */
    applyLimits(limits: CallerLimits): void {
        this.#server.headersTimeout = limits.headerTimeoutMs;
        this.#server.keepAliveTimeout = limits.idleTimeoutMs + IdleGraceMs;
    }

    /** Stops accepting and closes idle connections; open requests go on, and their connections close after them. */
    stopAccepting(): void {
        this.#isStopping = true;
        this.#server.close();
        this.#server.closeIdleConnections();
    }

    /** Refuses requests that still arrive on kept connections: nothing can be finished any more. */
    refuseRequests(): void {
        this.#isRefusing = true;
    }

    /** Closes every connection. */
    destroy(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #onRequest(request: IncomingMessage, response: ServerResponse): void {
        if (!request.socket.writable) {
            // The request crossed the end of its connection: it is not taken, as it could not be answered.
            request.socket.destroy();
            return;
        }
        const arrivedMs = this.#dependencies.clock.monotonicMs();
        this.#openCount++;
        response.once("close", () => this.#openCount--);
        response.once("finish", () => {
            if (this.#isStopping) {
                request.socket.end();
            }
        });
        response.on("error", error => log.debug("caller connection failed", { error: error.message }));
        if (this.#dependencies.isLeaving() || this.#link.shouldCloseConnections(arrivedMs)) {
            response.shouldKeepAlive = false;
        }
        const facts = this.#dependencies.codec.readRequestHeaders(request.rawHeaders);
        const answer = new CallerResponse(
            response,
            this.#dependencies.codec.requestIdHeader,
            facts.requestId,
            bytes => this.#outgoing.recordWritten(bytes),
        );
        const routed = this.#route(request, facts);
        if ("code" in routed) {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.requestsRefused);
            log.info("request refused", {
                request: facts.requestId,
                host: request.headers.host,
                path: pathOf(request.url ?? ""),
                configuration: this.#dependencies.configuration().routeTable?.configuration.version,
                ...routed,
            });
            request.resume();
            answer.sendError(routed);
            return;
        }
        this.#readAndRun(request, new CallerDisconnectMonitor(request, response), answer, facts, routed, arrivedMs);
    }

    #route(request: IncomingMessage, facts: RequestMetadata): Routed | EdgeFailure {
        const { routeTable: table, isFresh } = this.#dependencies.configuration();
        if (this.#isRefusing) {
            return { code: "NotReady", ran: "no", retryAfterMs: 0 };
        }
        if (table === undefined) {
            return { code: "NotReady", ran: "no", retryAfterMs: NotReadyRetryMs };
        }
        if (this.#link.isFull) {
            return { code: "Overloaded", ran: "no", retryAfterMs: LinkFullRetryMs };
        }
        if (facts.requestId === undefined) {
            return { code: "MalformedHeader", ran: "no" };
        }
        const route = table.findRoute(request.headers.host ?? "", pathOf(request.url ?? ""));
        if (route === undefined) {
            return unknown("UnknownPath", isFresh);
        }
        const team = facts.apiKey === undefined ? undefined : table.findTeamByApiKey(facts.apiKey);
        if (team === undefined && table.isApiKeyRequired && !route.isPublic) {
            return unknown("UnknownKey", isFresh);
        }
        const length = Number(request.headers["content-length"] ?? 0);
        if (length > table.configuration.limits.maxBodyBytes) {
            return { code: "BodyTooLarge", ran: "no" };
        }
        return { table, route, team };
    }

    #readAndRun(
        message: IncomingMessage,
        caller: CallerDisconnectMonitor,
        answer: CallerResponse,
        facts: RequestMetadata,
        { table, route, team }: Routed,
        arrivedAtMs: number,
    ): void {
        const timeLimitMs = Math.min(facts.deadlineMs ?? DefaultDeadlineMs, route.timeoutMs);
        const hasBody = message.headers["transfer-encoding"] !== undefined ||
            Number(message.headers["content-length"] ?? 0) > 0;
        const run = (body: Buffer | undefined) => {
            const request: EdgeRequest = {
                requestId: facts.requestId!,
                method: message.method ?? "GET",
                target: message.url ?? "/",
                headers: message.rawHeaders,
                body,
                facts,
                route,
                team,
                table,
                arrivedAtMs,
                deadlineAtMs: arrivedAtMs + timeLimitMs,
            };
            const flow = new RequestFlow(this.#flowDependencies, request, answer);
            caller.onDisconnect(() => flow.onCallerDisconnect());
            flow.run().catch((error: unknown) => {
                log.error("request flow failed", { request: facts.requestId, error: String(error) });
                answer.abort();
            });
        };
        if (!hasBody) {
            run(undefined);
            return;
        }
        message.once("aborted", () => {
            this.#dependencies.metrics.counters.add(EdgeCounterNames.callersDisconnectedReading);
            log.info("caller left while its request was read", {
                request: facts.requestId,
                route: route.name,
                elapsedMs: Math.round(this.#dependencies.clock.monotonicMs() - arrivedAtMs),
                ...this.#flowDependencies.hostLoad(),
            });
        });
        collectBody(message, table.configuration.limits.maxBodyBytes, body => {
            if (body === undefined) {
                answer.sendError({ code: "BodyTooLarge", ran: "no" });
                return;
            }
            run(body);
        });
    }
}

/** A request with its route. */
interface Routed {
    readonly table: RouteTable;
    readonly route: Route;
    readonly team: EdgeTeam | undefined;
}

/** A host whose configuration may be old cannot tell whether a path or key is unknown. */
function unknown(code: "UnknownPath" | "UnknownKey", isFresh: boolean): EdgeFailure {
    return isFresh ? { code, ran: "no" } : { code: "NotReady", ran: "no", retryAfterMs: NotReadyRetryMs };
}

function pathOf(target: string): string {
    const query = target.indexOf("?");
    return query < 0 ? target : target.slice(0, query);
}

/** Collects a body; `undefined` when it exceeds the limit. A caller that leaves first is not reported. */
function collectBody(message: IncomingMessage, maxBytes: number, done: (body: Buffer | undefined) => void): void {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= maxBytes) {
            chunks.push(chunk);
        }
        else if (size - chunk.length <= maxBytes) {
            done(undefined);
        }
    });
    message.on("end", () => {
        if (size <= maxBytes) {
            done(Buffer.concat(chunks));
        }
    });
}

/** Answers bytes that are no valid request; the connection cannot be used any further. */
function onBadRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    log.info("request not readable", { code: error.code, remote: socket.remoteAddress });
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const status = error.code === "HPE_HEADER_OVERFLOW" ?
        "431 Request Header Fields Too Large" :
        error.code === "ERR_HTTP_REQUEST_TIMEOUT" ?
        "408 Request Timeout" :
        "400 Bad Request";
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
