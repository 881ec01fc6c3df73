/**
 * HTTP server for other hosts: gives them the changes that this host's own watches have received, and makes calls to the store for
 * those that cannot reach it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import { CallbackGuard, describeError } from "../../base/callbackGuard.js";
import type { Clock } from "../../base/clock.js";
import { findInvalidHeaderName } from "../../base/headerSyntax.js";
import { log } from "../../base/log.js";
import { StoredObjectSchema, type WatchedChange } from "../../platform/platformStore.js";
import type { ListenerLimits } from "../listener/listenerLimits.js";
import type { ChangeLog } from "./changeLog.js";
import { StoreProxyPath } from "./storeProxyMessages.js";
import type { StoreProxyServer } from "./storeProxyServer.js";

/** Path of the endpoint for changes. Earlier releases, whose revisions have no history, serve another one. */
export const RelayPath = "/v2/changes";

/** Base of the targets of requests. */
const RelayBase = "http://relay";

/** Status of a response to a request with an invalid header name or target. */
const MalformedStatus = 400;

/** Status of a response by a healthy watcher whose caller must read the changes from the store. */
export const UseStoreStatus = 409;

/** Status of a response by a watcher that cannot reach the store, or does not watch the prefix yet. */
export const StaleStatus = 503;

/** Maximum wait that a request may ask for, in milliseconds. */
const MaxWaitMs = 5_000;

/** Maximum length of a response, in JSON characters. Hosts read larger changes from the store: many share a watcher's link. */
const MaxRelayedLength = 32_768;

const QuerySchema = z.object({
    prefix: z.string(),
    after: z.coerce.number().int().nonnegative(),
    waitMs: z.coerce.number().int().min(0).max(MaxWaitMs),
});

/** Body of a successful response. A change without an object is a removal. */
export const RelayResponseSchema = z.object({
    changes: z.array(z.object({ key: z.string(), object: StoredObjectSchema.optional() })),
    revision: z.number().int().nonnegative(),
    /** Time since the store's last response to the watcher, in milliseconds. */
    ageMs: z.number().nonnegative(),
});

/** Collaborators of {@link RelayServer}. */
export interface RelayServerDependencies {
    readonly clock: Clock;
    /** @returns The change log of a prefix; `undefined` when this host does not watch the prefix. */
    changeLogFor(prefix: string): ChangeLog | undefined;
    /** Makes calls to the store for hosts that cannot reach it. */
    readonly storeProxy: StoreProxyServer;
    /** Bounds the connections of the listener; by default they are not bounded. */
    readonly limit?: (server: Server) => ListenerLimits;
}

/** Serves the change logs of this host; a request may wait for the next change. */
export class RelayServer {
    readonly #dependencies: RelayServerDependencies;
    readonly #server: Server;

    constructor(dependencies: RelayServerDependencies) {
        this.#dependencies = dependencies;
        this.#server = createServer((request, response) => {
            const guard = new CallbackGuard(error => {
                log.error("request of another host not handled", { error: describeError(error) });
                response.destroy();
            });
            const serve = () => guard.run(() => this.#serve(request, response));
            if (limits === undefined) {
                serve();
            }
            else {
                limits.admit(request, response, serve);
            }
        });
        const limits = dependencies.limit?.(this.#server);
    }

    /**
     * Opens the listener. Rejects when it cannot be opened.
     * @returns The port of the listener.
     */
    async start(host: string, port: number): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        const address = this.#server.address();
        return typeof address === "object" && address !== null ? address.port : port;
    }

    /** Closes the listener and all connections. */
    stop(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #serve(request: IncomingMessage, response: ServerResponse): void {
        if (findInvalidHeaderName(request.rawHeaders) !== undefined) {
            sendJson(response, MalformedStatus, {});
            return;
        }
        const target = request.url ?? "/";
        if (!URL.canParse(target, RelayBase)) {
            sendJson(response, MalformedStatus, {});
            return;
        }
        const url = new URL(target, RelayBase);
        if (url.pathname === StoreProxyPath) {
            void this.#dependencies.storeProxy.serve(request, response);
            return;
        }
        const query = QuerySchema.safeParse(Object.fromEntries(url.searchParams));
        if (!query.success || url.pathname !== RelayPath) {
            sendJson(response, 404, {});
            return;
        }
        const changeLog = this.#dependencies.changeLogFor(query.data.prefix);
        if (changeLog === undefined) {
            sendJson(response, StaleStatus, {});
            return;
        }
        this.#respondOrWait(changeLog, query.data, response);
    }

    #respondOrWait(
        changeLog: ChangeLog,
        { after, waitMs }: z.infer<typeof QuerySchema>,
        response: ServerResponse,
    ): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const result = changeLog.changesSince(after, nowMs);
        if (result.kind !== "changes") {
            sendJson(response, result.kind === "stale" ? StaleStatus : UseStoreStatus, {});
            return;
        }
        if (result.changes.length > 0 || waitMs <= 0) {
            sendChanges(response, result);
            return;
        }
        // The wait ends when the log becomes stale, so that the host can ask elsewhere.
        const pauseMs = Math.min(waitMs, Math.max(1, changeLog.timeUntilStaleMs(nowMs) + 1));
        const respondAgain = () => {
            clearTimeout(timer);
            stopWaiting();
            this.#respondOrWait(changeLog, { prefix: "", after, waitMs: waitMs - pauseMs }, response);
        };
        const timer = setTimeout(respondAgain, pauseMs);
        const stopWaiting = changeLog.onChange(respondAgain);
        response.once("close", () => {
            clearTimeout(timer);
            stopWaiting();
        });
    }
}

function sendChanges(
    response: ServerResponse,
    result: { readonly changes: readonly WatchedChange[]; readonly revision: number; readonly ageMs: number; },
): void {
    const text = JSON.stringify({ changes: result.changes, revision: result.revision, ageMs: result.ageMs });
    if (text.length > MaxRelayedLength) {
        sendJson(response, UseStoreStatus, {});
        return;
    }
    sendText(response, 200, text);
}

function sendJson(response: ServerResponse, status: number, body: object): void {
    sendText(response, status, JSON.stringify(body));
}

function sendText(response: ServerResponse, status: number, text: string): void {
    if (response.destroyed) {
        log.debug("relay response not sent: the host has disconnected", { status });
        return;
    }
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
