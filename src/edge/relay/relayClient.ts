/** Asks a watcher of the zone for changes. */
import { Agent, request as httpRequest } from "node:http";
import { splitAddress } from "../../base/address.js";
import type { WatchedChange, WatchOutcome } from "../../platform/platformStore.js";
import { RelayPath, RelayResponseSchema, StaleStatus, UseStoreStatus } from "./relayServer.js";

/** Time for an answer beyond the wait that was asked for, in milliseconds: a few round trips and a busy watcher. */
const AnswerTimeoutMs = 300;

/** Most bytes of an answer; a watcher sends fewer. */
const MaxAnswerBytes = 262_144;

/** Answer of a watcher, or why there is none. */
export type RelayOutcome =
    | { readonly status: "changed"; readonly outcome: WatchOutcome; }
    /** A sound watcher leaves the changes to the store. */
    | { readonly status: "askStore"; }
    /** The watcher has lost the store itself. */
    | { readonly status: "stale"; }
    | { readonly status: "failed"; readonly reason: string; };

/** Client with kept connections. */
export class RelayClient {
    readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });

    /** Asks for the changes after a revision, and waits for one. */
    watch(address: string, prefix: string, afterRevision: number, waitMs: number): Promise<RelayOutcome> {
        const { host, port } = splitAddress(address);
        const query = new URLSearchParams({ prefix, after: String(afterRevision), waitMs: String(waitMs) });
        return new Promise(resolve => {
            const fail = (reason: string) => {
                clearTimeout(timer);
                call.destroy();
                resolve({ status: "failed", reason });
            };
            const call = httpRequest({ host, port, path: `${RelayPath}?${query}`, agent: this.#agent }, response => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                response.on("data", (chunk: Buffer) => {
                    chunks.push(chunk);
                    bytes += chunk.length;
                    if (bytes > MaxAnswerBytes) {
                        fail("the answer is too long");
                    }
                });
                response.on("end", () => {
                    clearTimeout(timer);
                    resolve(readAnswer(response.statusCode ?? 0, Buffer.concat(chunks).toString("utf8")));
                });
                response.on("error", error => fail(error.message));
            });
            const timer = setTimeout(() => fail("no answer"), waitMs + AnswerTimeoutMs);
            call.on("error", error => fail(error.message));
            call.end();
        });
    }

    /** Closes the kept connections. */
    close(): void {
        this.#agent.destroy();
    }
}

function readAnswer(status: number, text: string): RelayOutcome {
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
        const answer = RelayResponseSchema.safeParse(JSON.parse(text));
        if (!answer.success) {
            return { status: "failed", reason: answer.error.message };
        }
        const changes = answer.data.changes.map(({ key, object }): WatchedChange => ({ key, object }));
        const outcome: WatchOutcome = {
            status: "changed",
            changes,
            revision: answer.data.revision,
            ageMs: answer.data.ageMs,
        };
        return { status: "changed", outcome };
    }
    catch (error) {
        return { status: "failed", reason: String(error) };
    }
}
