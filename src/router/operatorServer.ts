/** The operator listener: HTTP endpoints for state, metrics, readiness and draining. */
import { getRequestListener, type HttpBindings } from "@hono/node-server";
import { Hono } from "hono";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { equalHashes, sha256Hex } from "../base/hashing.js";
import { errorBody, ResultCodes } from "../base/resultCodes.js";
import { extractBearerKey } from "../gateway/authentication.js";
import {
    ConnectionLimiter,
    type ConnectionLimiterDependencies,
    type ConnectionLimits,
} from "../gateway/connectionLimiter.js";

/** Limits of the listener. A dump of the state may be large, so that few are prepared for one connection. */
const OperatorLimits: ConnectionLimits = {
    maxConnections: 64,
    maxOpenRequests: 2,
    maxStallMs: 30_000,
    maxScarceStallMs: 5_000,
    maxStrayBytes: 32_768,
};

/** Actions of a router that operators can request. */
export interface OperatorActions {
    dumpState(): unknown;
    readMetrics(): Record<string, number>;
    drain(): void;
    readReadiness(): { readonly ready: boolean; readonly phase: string; readonly reasons: readonly string[]; };
}

/** Address of the operator listener, and the SHA-256 of the token that it requires, in hexadecimal. */
export interface OperatorSettings {
    readonly host: string;
    readonly port: number;
    readonly tokenHash?: string | undefined;
}

/** Collaborators of {@link OperatorServer}. */
export type OperatorServerDependencies = Pick<
    ConnectionLimiterDependencies,
    "memory" | "parsing" | "clock" | "counters"
>;

/** HTTP server for operators; requires the operator token if one is set. */
export class OperatorServer {
    readonly #settings: OperatorSettings;
    readonly #dependencies: OperatorServerDependencies;
    readonly #actions: OperatorActions;
    #server: Server | undefined;

    constructor(settings: OperatorSettings, dependencies: OperatorServerDependencies, actions: OperatorActions) {
        this.#settings = settings;
        this.#dependencies = dependencies;
        this.#actions = actions;
    }

    /**
     * Starts listening.
     * @returns Port of the listener.
     * @throws Error when no token is set and the address is not a loopback address, or when the port cannot be bound.
     */
    async start(): Promise<number> {
        const { host, port, tokenHash } = this.#settings;
        if (tokenHash === undefined && !isLoopback(host)) {
            throw new Error("operator.host: a listener without operator.tokenHash needs a loopback address");
        }
        const server = this.#createServer();
        this.#server = server;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        return (server.address() as AddressInfo).port;
    }

    #createServer(): Server {
        const listener = getRequestListener(this.#createApp().fetch, { overrideGlobalObjects: false });
        const server = createServer((incoming, outgoing) =>
            limiter.accept(incoming, outgoing, () => void listener(incoming, outgoing))
        );
        const limiter = new ConnectionLimiter(server, {
            ...this.#dependencies,
            listener: "operator",
            limits: OperatorLimits,
        });
        return server;
    }

    /** Stops at once and destroys all connections. */
    async stop(): Promise<void> {
        const server = this.#server;
        this.#server = undefined;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        server.closeAllConnections();
        await closed;
    }

    #createApp(): Hono<{ Bindings: HttpBindings; }> {
        const app = new Hono<{ Bindings: HttpBindings; }>();
        app.use("*", async (context, next) => {
            if (!this.#isAuthorized(context.req.header("authorization"))) {
                return context.json(errorBody(ResultCodes.OperatorKeyInvalid), 401);
            }
            await next();
            return undefined;
        });
        app.get("/state", context => context.json(this.#actions.dumpState() as object));
        app.get("/metrics", context => context.json(this.#actions.readMetrics()));
        app.get("/readyz", context => {
            const readiness = this.#actions.readReadiness();
            return context.json(readiness, readiness.ready ? 200 : 503);
        });
        app.post("/drain", context => {
            this.#actions.drain();
            return context.json({ draining: true }, 202);
        });
        app.notFound(context => context.json(errorBody(ResultCodes.UnknownPath), 404));
        return app;
    }

    #isAuthorized(authorization: string | undefined): boolean {
        const { tokenHash } = this.#settings;
        return tokenHash === undefined || equalHashes(sha256Hex(extractBearerKey(authorization) ?? ""), tokenHash);
    }
}

function isLoopback(host: string): boolean {
    return host === "localhost" || host === "::1" || /^127\.\d+\.\d+\.\d+$/.test(host);
}
