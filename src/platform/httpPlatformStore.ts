/** The platform's object API and host list over HTTP. */
import type { z } from "zod";
import type { PlatformCall, PlatformCallOutcome, PlatformClient } from "./platformClient.js";
import {
    AppliedBodySchema,
    ConflictBodySchema,
    HostsBodySchema,
    ListBodySchema,
    PlatformErrorBodySchema,
    PlatformPaths,
    TooOldBodySchema,
    WatchBodySchema,
} from "./platformProtocol.js";
import {
    HostList,
    type HostsOutcome,
    type ListOutcome,
    MaxValueBytes,
    PlatformStore,
    type ReadOutcome,
    StoredObjectSchema,
    type WatchOutcome,
    type WriteOutcome,
} from "./platformStore.js";

/** Objects over HTTP. */
export class HttpPlatformStore extends PlatformStore {
    readonly #connection: PlatformClient;

    constructor(connection: PlatformClient) {
        super();
        this.#connection = connection;
    }

    override async get(key: string): Promise<ReadOutcome> {
        const answer = await this.#read(PlatformPaths.object, { key });
        if (answer.status === "answered" && answer.httpStatus === 404) {
            return { status: "absent" };
        }
        const object = bodyOf(answer, 200, StoredObjectSchema);
        return object === undefined ? unavailable(answer) : { status: "found", object };
    }

    override async put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        const body = JSON.stringify(value) as string | undefined;
        if (body === undefined || Buffer.byteLength(body) > MaxValueBytes) {
            return { status: "refused", reason: "the value is too large" };
        }
        return this.#write({ method: "PUT", path: PlatformPaths.object, query: { key }, body, expectedVersion });
    }

    override async delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#write({ method: "DELETE", path: PlatformPaths.object, query: { key }, expectedVersion });
    }

    override async list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        const answer = await this.#read(PlatformPaths.list, { prefix, after: afterKey, limit });
        const body = bodyOf(answer, 200, ListBodySchema);
        return body === undefined ? unavailable(answer) : { status: "listed", ...body };
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const query = { prefix, after: afterRevision, waitMs };
        const answer = await this.#read(PlatformPaths.watch, query, waitMs);
        const tooOld = bodyOf(answer, 410, TooOldBodySchema);
        if (tooOld !== undefined) {
            return { status: "tooOld", revision: tooOld.revision };
        }
        const body = bodyOf(answer, 200, WatchBodySchema);
        if (body === undefined) {
            return unavailable(answer);
        }
        const changes = body.changes.map(change => ({ key: change.key, object: change.object }));
        return { status: "changed", changes, revision: body.revision };
    }

    #read(path: string, query: PlatformCall["query"], waitMs = 0): Promise<PlatformCallOutcome> {
        return this.#connection.call({ method: "GET", path, query, waitMs });
    }

    async #write(call: PlatformCall): Promise<WriteOutcome> {
        return classifyWrite(await this.#connection.call(call));
    }
}

/** Host list over HTTP. */
export class HttpHostList extends HostList {
    /** Age up to which the revision on other answers replaces a call, in milliseconds. */
    static readonly MaxRevisionAgeMs = 5_000;
    readonly #connection: PlatformClient;

    /** @param connection The connection of the store, whose answers carry the revision of the list. */
    constructor(connection: PlatformClient) {
        super();
        this.#connection = connection;
    }

    override async hosts(sinceRevision: number): Promise<HostsOutcome> {
        if (this.#connection.recentHostsRevision(HttpHostList.MaxRevisionAgeMs) === sinceRevision) {
            return { status: "unchanged", revision: sinceRevision };
        }
        const query = { since: sinceRevision };
        const answer = await this.#connection.call({ method: "GET", path: PlatformPaths.hosts, query });
        if (answer.status === "answered" && answer.httpStatus === 304) {
            return { status: "unchanged", revision: sinceRevision };
        }
        const body = bodyOf(answer, 200, HostsBodySchema);
        return body === undefined ? unavailable(answer) : { status: "changed", ...body };
    }
}

/** @returns The outcome of a write; `refused` and `conflict` only when the write definitely had no effect. */
export function classifyWrite(answer: PlatformCallOutcome): WriteOutcome {
    if (answer.status !== "answered") {
        return { status: answer.status === "notSent" ? "refused" : "unknown", reason: answer.reason };
    }
    const applied = bodyOf(answer, 200, AppliedBodySchema);
    if (applied !== undefined) {
        return { status: "applied", version: applied.version };
    }
    const conflict = bodyOf(answer, 409, ConflictBodySchema);
    if (conflict !== undefined) {
        return { status: "conflict", current: conflict.current };
    }
    // A 408 or a 409 without a valid body may come from an intermediary after the write was passed on.
    const refusal = answer.httpStatus >= 400 && answer.httpStatus < 500 && ![408, 409].includes(answer.httpStatus);
    return { status: refusal || answer.isNotApplied ? "refused" : "unknown", reason: reasonOf(answer) };
}

function bodyOf<S extends z.ZodType>(
    answer: PlatformCallOutcome,
    httpStatus: number,
    schema: S,
): z.infer<S> | undefined {
    if (answer.status !== "answered" || answer.httpStatus !== httpStatus) {
        return undefined;
    }
    const checked = schema.safeParse(answer.body);
    return checked.success ? checked.data : undefined;
}

function unavailable(answer: PlatformCallOutcome): { readonly status: "unavailable"; readonly reason: string; } {
    return { status: "unavailable", reason: reasonOf(answer) };
}

function reasonOf(answer: PlatformCallOutcome): string {
    if (answer.status !== "answered") {
        return answer.reason;
    }
    const error = PlatformErrorBodySchema.safeParse(answer.body);
    return error.success ? error.data.error : `unexpected answer with status ${answer.httpStatus}`;
}
