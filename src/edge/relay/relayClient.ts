/** HTTP client that asks a watcher of the zone for changes. */
import { Agent, request as httpRequest } from "node:http";
import { splitAddress } from "../../base/address.js";
import { startResponseTimeout } from "../../base/responseTimeout.js";
import type { WatchedChange, WatchOutcome } from "../../platform/platformStore.js";
import { RelayPath, RelayResponseSchema, StaleStatus, UseStoreStatus } from "./relayServer.js";

/** Time allowed for a response beyond the requested wait, in milliseconds: a few round trips and the delay of a busy watcher. */
const ResponseTimeoutMs = 300;

/** Maximum size of a response, in bytes; a watcher sends fewer. */
const MaxResponseBytes = 262_144;

/** Outcome of a request to a watcher. */
export type RelayOutcome =
    | { readonly status: "changed"; readonly outcome: WatchOutcome; }
    /** The watcher is healthy, but the changes must be read from the store. */
    | { readonly status: "askStore"; }
    /** The watcher itself cannot reach the store, or does not watch the prefix yet. */
    | { readonly status: "stale"; }
    | { readonly status: "failed"; readonly reason: string; };

/** Sends requests to watchers over kept-alive connections. */
export class RelayClient {
    readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });

    /**
     * Asks a watcher for the changes below a prefix after a revision. Failures, timeouts among them, are returned as outcomes.
     * @param address `IP:port` of the watcher.
     * @param waitMs Maximum time that the watcher waits for a change, in milliseconds.
     */
    watch(address: string, prefix: string, afterRevision: number, waitMs: number): Promise<RelayOutcome> {
        const { host, port } = splitAddress(address);
        const query = new URLSearchParams({ prefix, after: String(afterRevision), waitMs: String(waitMs) });
        return new Promise(resolve => {
            const fail = (reason: string) => {
                timer.cancel();
                call.destroy();
                resolve({ status: "failed", reason });
            };
            const call = httpRequest({ host, port, path: `${RelayPath}?${query}`, agent: this.#agent }, response => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                response.on("data", (chunk: Buffer) => {
                    chunks.push(chunk);
                    bytes += chunk.length;
                    if (bytes > MaxResponseBytes) {
                        fail("the response is too long");
                    }
                });
                response.on("end", () => {
                    timer.cancel();
                    resolve(parseResponse(response.statusCode ?? 0, Buffer.concat(chunks).toString("utf8")));
                });
                response.on("error", error => fail(error.message));
            });
            const timer = startResponseTimeout(() => fail("no response in time"), waitMs + ResponseTimeoutMs);
            call.on("error", error => fail(error.message));
            call.end();
        });
    }

    /** Closes all connections. */
    close(): void {
        this.#agent.destroy();
    }
}

function parseResponse(status: number, text: string): RelayOutcome {
    if (status === UseStoreStatus) {
        return { status: "askStore" };
    }
    if (status === StaleStatus) {
        return { status: "stale" };
    }
    if (status !== 200) {
        return { status: "failed", reason: `status ${status}` };
    }
    try {
        const parsed = RelayResponseSchema.safeParse(JSON.parse(text));
        if (!parsed.success) {
            return { status: "failed", reason: parsed.error.message };
        }
        const changes = parsed.data.changes.map(({ key, object }): WatchedChange => ({ key, object }));
        const outcome: WatchOutcome = {
            status: "changed",
            changes,
            revision: parsed.data.revision,
            ageMs: parsed.data.ageMs,
        };
        return { status: "changed", outcome };
    }
    catch (error) {
        return { status: "failed", reason: String(error) };
    }
}
