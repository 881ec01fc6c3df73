/** The caller listener: the HTTP endpoints that callers use. */
import { getRequestListener, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Result } from "true-myth";
import { log } from "../base/log.js";
import { errorBody, type ResultCodeName, ResultCodes } from "../base/resultCodes.js";
import { listModels } from "../routing/planRoute.js";
import { authenticateTeam } from "./authentication.js";
import { discardRemainingBody, readBody } from "./bodyReader.js";
import { CallerConnections } from "./callerConnections.js";
import { getMaxConnections } from "./callerLimits.js";
import { CallerResponse, writeErrorResponse } from "./callerResponse.js";
import { ConnectionLimiter } from "./connectionLimiter.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";
import { validateHeaders } from "./headerValidation.js";
import { RequestFlow } from "./requestFlow.js";
import { parseChatRequest, parseServiceRequest, type RawCallerRequest } from "./requestParser.js";
import { StopLimit } from "./stopLimit.js";

/** Interval at which idle connections are closed while the listener stops. */
const IdleCheckIntervalMs = 50;

/**
 * `Retry-After` for a caller that this host cannot serve at the moment. While it stops, the caller's next connection goes
 * to another host, so that the caller need not wait.
 */
const RetryAfterMs: Readonly<Partial<Record<ResultCodeName, number>>> = {
    NotReady: 1_000,
    ClaimUnavailable: 1_000,
    ShuttingDown: 0,
    Overloaded: 1_000,
};

/** Number of hexadecimal digits of a request id. */
const RequestIdDigits = 24;

type ListenerBindings = { Bindings: HttpBindings; };
type RequestParser = (rawRequest: RawCallerRequest) => Result<CallerRequest, ResultCodeName>;
/** Serves a request whose caller is authenticated and whose body was read. */
type RequestHandler = (rawRequest: RawCallerRequest, outgoing: ServerResponse) => Promise<void> | void;

/**
 * HTTP server for callers. It authenticates them, reads and parses their requests and runs a {@link RequestFlow} for
 * each of them.
 */
export class CallerServer {
    readonly #dependencies: GatewayDependencies;
    readonly #connections = new CallerConnections();
    readonly #limiter: ConnectionLimiter;
    readonly #stopLimit: StopLimit;
    readonly #openFlows = new Set<RequestFlow>();
    /** Callbacks that refuse the requests whose bodies are being read. */
    readonly #bodyReads = new Set<() => void>();
    readonly #server: Server;
    readonly #serviceHandler: RequestHandler;

    constructor(dependencies: GatewayDependencies) {
        this.#dependencies = dependencies;
        this.#stopLimit = new StopLimit(dependencies);
        this.#serviceHandler = this.#createFlowHandler(parseServiceRequest);
        const listener = getRequestListener(this.#createApp().fetch, { overrideGlobalObjects: false });
        this.#server = createServer(
            { requireHostHeader: false, keepAliveTimeout: 65_000 },
            (incoming, outgoing) => this.#accept(incoming, outgoing, listener),
        );
        const { settings, callerMemory, parsing, clock, kernel } = dependencies;
        this.#limiter = new ConnectionLimiter(this.#server, {
            memory: callerMemory,
            parsing,
            clock,
            counters: kernel.counters,
            listener: "gateway",
            limits: {
                maxConnections: getMaxConnections(settings),
                maxOpenRequests: settings.maxOpenRequestsPerConnection,
                maxStallMs: settings.callerStallMs,
                maxScarceStallMs: settings.scarceMemoryStallMs,
                maxStrayBytes: settings.maxStrayBytes,
            },
        });
        this.#server.on("clientError", (_error, socket) => rejectMalformedRequest(socket as Socket));
    }

    /**
     * Starts listening.
     * @returns `HOST:PORT` of the listener.
     * @throws Error when the address cannot be bound.
     */
    async start(host: string, port: number): Promise<string> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        return `${host}:${(this.#server.address() as AddressInfo).port}`;
    }

    /** Stops listening; closes idle connections at once and the others when their responses have been sent. */
    async stop(): Promise<void> {
        const timer = setInterval(() => this.#server.closeIdleConnections(), IdleCheckIntervalMs);
        await new Promise<void>(resolve => this.#server.close(() => resolve()));
        clearInterval(timer);
    }

    /** Ends the waits of open requests for an upstream in time for the end of requests that the lifecycle board states. */
    limitWaits(): void {
        this.#openFlows.forEach(flow => flow.limitWait());
    }

    /** Ends all open requests: refuses those that were not sent, and cuts off the others with an error. */
    interruptRequests(): void {
        this.#bodyReads.forEach(refuse => refuse());
        this.#openFlows.forEach(flow => flow.interrupt());
    }

    /** Destroys all connections. */
    destroy(): void {
        this.#server.closeAllConnections();
    }

    #accept(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        listener: (incoming: IncomingMessage, outgoing: ServerResponse) => Promise<void>,
    ): void {
        if (!this.#connections.add(incoming, outgoing)) {
            this.#dependencies.kernel.counters.add("gateway.requestsAfterClose");
            return;
        }
        this.#limiter.accept(incoming, outgoing, () => this.#begin(incoming, outgoing, listener));
    }

    #begin(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        listener: (incoming: IncomingMessage, outgoing: ServerResponse) => Promise<void>,
    ): void {
        const headerError = validateHeaders(incoming);
        if (headerError !== undefined) {
            this.#refuse(incoming, outgoing, this.#createRequestId(), "MalformedHeader", headerError);
        }
        else if (incoming.method === "HEAD" && incoming.url?.startsWith("/services/") === true) {
            // hono itself responds to HEAD from the route for GET, without waiting for the relay.
            void this.#serve({ incoming, outgoing }, this.#serviceHandler);
        }
        else {
            void listener(incoming, outgoing);
        }
    }

    #createApp(): Hono<ListenerBindings> {
        const app = new Hono<ListenerBindings>();
        app.get("/healthz", context => context.json({ status: "ok" }));
        app.get("/readyz", context => {
            const { ready, phase, reasons } = this.#dependencies.kernel.board.lifecycle;
            return context.json({ ready, phase, reasons }, ready ? 200 : 503);
        });
        const chat = this.#createFlowHandler(parseChatRequest);
        app.post("/v1/chat/completions", context => this.#serve(context.env, chat));
        app.get("/v1/models", context => this.#serve(context.env, (...args) => this.#listModels(...args)));
        app.post("/v1/tickets", context => this.#serve(context.env, (...args) => this.#issueTicket(...args)));
        app.all("/services/*", context => this.#serve(context.env, this.#serviceHandler));
        app.notFound(context => {
            const { incoming, outgoing } = context.env;
            this.#refuse(incoming, outgoing, this.#createRequestId(), "UnknownPath");
            return RESPONSE_ALREADY_SENT;
        });
        return app;
    }

    async #serve(env: HttpBindings, handle: RequestHandler): Promise<Response> {
        const { kernel } = this.#dependencies;
        kernel.post({ type: "requestEntered" });
        try {
            await this.#handleRequest(env.incoming, env.outgoing, handle);
        }
        catch (error) {
            log.error("a request failed unexpectedly", { reason: String(error) });
            sendInternalError(env.outgoing);
        }
        finally {
            // A shutdown waits until the caller has received the response, not only until it was written.
            onceClosed(env.outgoing, () => kernel.post({ type: "requestLeft" }));
        }
        return RESPONSE_ALREADY_SENT;
    }

    async #handleRequest(incoming: IncomingMessage, outgoing: ServerResponse, handle: RequestHandler): Promise<void> {
        const { settings, callerMemory } = this.#dependencies;
        const requestId = this.#createRequestId();
        const team = this.#identify(incoming);
        if (typeof team !== "string") {
            this.#refuse(incoming, outgoing, requestId, team.refusal);
            return;
        }
        const refuse = (): void => this.#refuse(incoming, outgoing, requestId, "ShuttingDown");
        this.#bodyReads.add(refuse);
        const read = await readBody(incoming, {
            maxBytes: settings.maxBodyBytes,
            timeoutMs: settings.bodyTimeoutMs,
            memory: callerMemory,
            onEvict: evict => this.#limiter.onEvict(incoming, evict),
        });
        this.#bodyReads.delete(refuse);
        if (read.status === "read") {
            onceClosed(outgoing, () => callerMemory.close(read.holder));
        }
        if (outgoing.headersSent) {
            return;
        }
        if (read.status === "noMemory") {
            this.#dependencies.kernel.counters.add("gateway.refusedForMemory");
            this.#refuse(incoming, outgoing, requestId, "Overloaded", "callers hold too much memory");
            return;
        }
        if (read.status === "noProcessorTime") {
            this.#dependencies.kernel.counters.add("gateway.refusedForParsing");
            this.#refuse(incoming, outgoing, requestId, "Overloaded", "the body takes too long to parse beside others");
            return;
        }
        if (read.status !== "read") {
            this.#refuse(incoming, outgoing, requestId, read.status === "tooLarge" ? "BodyTooLarge" : "MalformedBody");
            return;
        }
        this.#closeIfStopping(incoming, outgoing);
        await handle({ requestId, team, incoming, body: read.body }, outgoing);
    }

    #createFlowHandler(parse: RequestParser): RequestHandler {
        return async (rawRequest, outgoing) => {
            const request = parse(rawRequest);
            if (request.isErr) {
                this.#refuse(rawRequest.incoming, outgoing, rawRequest.requestId, request.error);
                return;
            }
            const { requestId, incoming } = rawRequest;
            const response = new CallerResponse(
                outgoing,
                requestId,
                () => this.#closeIfStopping(incoming, outgoing),
            );
            const flow = new RequestFlow(this.#dependencies, this.#stopLimit, request.value, response);
            this.#openFlows.add(flow);
            await flow.run();
            this.#openFlows.delete(flow);
        };
    }

    /** Closes the connection after the response while this host stops, so that the caller continues at another host. */
    #closeIfStopping(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const { phase } = this.#dependencies.kernel.board.lifecycle;
        if (phase !== "starting" && phase !== "serving") {
            this.#connections.closeAfter(incoming, outgoing);
        }
    }

    /** @returns The caller's team, or the code with which the request is refused before its body is read. */
    #identify(incoming: IncomingMessage): string | { readonly refusal: ResultCodeName; } {
        const { config, lifecycle } = this.#dependencies.kernel.board;
        if (!lifecycle.accepting) {
            return { refusal: "ShuttingDown" };
        }
        if (config.version === 0) {
            return { refusal: "NotReady" };
        }
        return authenticateTeam(config, incoming.headers.authorization) ?? { refusal: "UnknownKey" };
    }

    #listModels({ team, requestId }: RawCallerRequest, outgoing: ServerResponse): void {
        const models = listModels(this.#dependencies.kernel.board.config.resources, team);
        writeJson(outgoing, requestId, { object: "list", data: models.map(id => ({ id, object: "model" })) });
    }

    async #issueTicket({ incoming, requestId }: RawCallerRequest, outgoing: ServerResponse): Promise<void> {
        const ticket = await this.#dependencies.controllerClient.requestTicket(requestId);
        if (ticket === undefined) {
            this.#refuse(incoming, outgoing, requestId, "ClaimUnavailable");
        }
        else {
            writeJson(outgoing, requestId, { ticket });
        }
    }

    #createRequestId(): string {
        return this.#dependencies.random.hex(RequestIdDigits);
    }

    /** Refuses a request. If its body was not read to the end, the connection is not reused for another request. */
    #refuse(
        incoming: IncomingMessage,
        outgoing: ServerResponse,
        requestId: string,
        code: ResultCodeName,
        detail?: string,
    ): void {
        this.#dependencies.kernel.counters.add(`gateway.refused.${code}`);
        if (outgoing.destroyed) {
            return;
        }
        if (!incoming.complete) {
            this.#connections.closeAfter(incoming, outgoing);
        }
        writeErrorResponse(outgoing, requestId, {
            code,
            detail,
            retryAfterMs: RetryAfterMs[code],
        }, end => discardRemainingBody(incoming, end));
    }
}

/** Reports an unexpected exception, after which it is unknown whether the request ran. */
function sendInternalError(outgoing: ServerResponse): void {
    if (outgoing.headersSent) {
        outgoing.destroy();
    }
    else {
        writeErrorResponse(outgoing, "", { code: "InternalError" });
    }
}

function onceClosed(outgoing: ServerResponse, callback: () => void): void {
    if (outgoing.closed || outgoing.destroyed) {
        callback();
    }
    else {
        outgoing.once("close", callback);
    }
}

function writeJson(outgoing: ServerResponse, requestId: string, value: unknown): void {
    const body = JSON.stringify(value);
    outgoing.writeHead(200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "x-request-id": requestId,
    });
    outgoing.end(body);
}

/**
 * Responds to a request that the HTTP parser rejected. A connection on which the response to another request is still
 * pending is destroyed instead, because the caller would take the refusal for the response to that request.
 */
function rejectMalformedRequest(socket: Socket): void {
    const pendingResponse = (socket as Socket & { _httpMessage?: unknown; })._httpMessage;
    if (!socket.writable || (pendingResponse !== undefined && pendingResponse !== null)) {
        socket.destroy();
        return;
    }
    const body = JSON.stringify(errorBody(ResultCodes.MalformedHeader));
    socket.end(
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nConnection: close\r\n" +
            `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
}
