/** Answers other hosts of the zone with the changes that this host's own watches have seen. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { StoredObjectSchema, type WatchedChange } from "../../platform/platformStore.js";
import type { ChangeLog } from "./changeLog.js";

/** Path of the only call. */
export const RelayPath = "/changes";

/** Status of an answer by a sound watcher that leaves the changes to the store. */
export const UseStoreStatus = 409;

/** Status of an answer by a watcher that has lost the store. */
export const StaleStatus = 503;

/** Longest wait of a call, in milliseconds. */
const LongestWaitMs = 5_000;

/** Changes larger than this are left to the store, in bytes of JSON: many hosts share a watcher's link. */
const MostRelayedBytes = 32_768;

const QuerySchema = z.object({
    prefix: z.string(),
    after: z.coerce.number().int().nonnegative(),
    waitMs: z.coerce.number().int().min(0).max(LongestWaitMs),
});

/** Answer of the call. A change without an object is a removal. */
export const RelayResponseSchema = z.object({
    changes: z.array(z.object({ key: z.string(), object: StoredObjectSchema.optional() })),
    revision: z.number().int().nonnegative(),
    /** Age of the store's last answer, in milliseconds. */
    ageMs: z.number().nonnegative(),
});

/** What the server is built from. */
export interface RelayServerDependencies {
    readonly clock: Clock;
    /** @returns The log of a prefix; `undefined` when this host does not watch it. */
    changeLogFor(prefix: string): ChangeLog | undefined;
}

/** Serves the change logs. */
export class RelayServer {
    readonly #dependencies: RelayServerDependencies;
    readonly #server: Server;

    constructor(dependencies: RelayServerDependencies) {
        this.#dependencies = dependencies;
        this.#server = createServer((request, response) => this.#serve(request, response));
    }

    /** Opens the listener. */
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
        const url = new URL(request.url ?? "/", "http://relay");
        const query = QuerySchema.safeParse(Object.fromEntries(url.searchParams));
        if (!query.success || url.pathname !== RelayPath) {
            answer(response, 404, {});
            return;
        }
        const changes = this.#dependencies.changeLogFor(query.data.prefix);
        if (changes === undefined) {
            answer(response, StaleStatus, {});
            return;
        }
        this.#answerOrWait(changes, query.data, response);
    }

    #answerOrWait(changes: ChangeLog, { after, waitMs }: z.infer<typeof QuerySchema>, response: ServerResponse): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const known = changes.changesSince(after, nowMs);
        if (known.kind !== "changes") {
            answer(response, known.kind === "stale" ? StaleStatus : UseStoreStatus, {});
            return;
        }
        if (known.changes.length > 0 || waitMs <= 0) {
            answerChanges(response, known);
            return;
        }
        // A log that is not confirmed any more must not keep its askers waiting.
        const pauseMs = Math.min(waitMs, Math.max(1, changes.timeUntilStaleMs(nowMs) + 1));
        const go = () => {
            clearTimeout(timer);
            endWait();
            this.#answerOrWait(changes, { prefix: "", after, waitMs: waitMs - pauseMs }, response);
        };
        const timer = setTimeout(go, pauseMs);
        const endWait = changes.onChange(go);
        response.once("close", () => {
            clearTimeout(timer);
            endWait();
        });
    }
}

function answerChanges(
    response: ServerResponse,
    known: { readonly changes: readonly WatchedChange[]; readonly revision: number; readonly ageMs: number; },
): void {
    const text = JSON.stringify({ changes: known.changes, revision: known.revision, ageMs: known.ageMs });
    if (text.length > MostRelayedBytes) {
        answer(response, UseStoreStatus, {});
        return;
    }
    send(response, 200, text);
}

function answer(response: ServerResponse, status: number, body: object): void {
    send(response, status, JSON.stringify(body));
}

function send(response: ServerResponse, status: number, text: string): void {
    if (response.destroyed) {
        log.debug("asker of changes is gone", { status });
        return;
    }
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
