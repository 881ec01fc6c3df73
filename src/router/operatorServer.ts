/** The operator listener: HTTP endpoints for state, metrics, readiness and draining. */
import { type HttpBindings, serve, type ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { AddressInfo } from "node:net";
import { equalHashes, sha256Hex } from "../base/hashing.js";
import { errorBody, ResultCodes } from "../base/resultCodes.js";
import { extractBearerKey } from "../gateway/authentication.js";

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

/** HTTP server for operators; requires the operator token if one is set. */
export class OperatorServer {
    readonly #settings: OperatorSettings;
    readonly #actions: OperatorActions;
    #server: ServerType | undefined;

    constructor(settings: OperatorSettings, actions: OperatorActions) {
        this.#settings = settings;
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
        const address = await new Promise<AddressInfo>((resolve, reject) => {
            this.#server = serve({ fetch: this.#createApp().fetch, hostname: host, port }, resolve);
            this.#server.once("error", reject);
        });
        return address.port;
    }

    /** Stops at once and destroys all connections. */
    async stop(): Promise<void> {
        const server = this.#server;
        this.#server = undefined;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        if ("closeAllConnections" in server) {
            server.closeAllConnections();
        }
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
