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

/** Client of the object API over HTTP. */
export class HttpPlatformStore extends PlatformStore {
    readonly #client: PlatformClient;

    /** @param client Client that sends the requests. */
    constructor(client: PlatformClient) {
        super();
        this.#client = client;
    }

    override async get(key: string): Promise<ReadOutcome> {
        const outcome = await this.#read(PlatformPaths.object, { key });
        if (outcome.status === "answered" && outcome.httpStatus === 404) {
            return { status: "absent" };
        }
        const object = bodyOf(outcome, 200, StoredObjectSchema);
        return object === undefined ? unavailable(outcome) : { status: "found", object };
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
        const outcome = await this.#read(PlatformPaths.list, { prefix, after: afterKey, limit });
        const body = bodyOf(outcome, 200, ListBodySchema);
        return body === undefined ? unavailable(outcome) : { status: "listed", ...body };
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const query = { prefix, after: afterRevision, waitMs };
        const outcome = await this.#read(PlatformPaths.watch, query, waitMs);
        const tooOld = bodyOf(outcome, 410, TooOldBodySchema);
        if (tooOld !== undefined) {
            return { status: "tooOld", revision: tooOld.revision };
        }
        const body = bodyOf(outcome, 200, WatchBodySchema);
        if (body === undefined) {
            return unavailable(outcome);
        }
        const changes = body.changes.map(change => ({ key: change.key, object: change.object }));
        return { status: "changed", changes, revision: body.revision };
    }

    #read(path: string, query: PlatformCall["query"], waitMs = 0): Promise<PlatformCallOutcome> {
        return this.#client.call({ method: "GET", path, query, waitMs });
    }

    async #write(call: PlatformCall): Promise<WriteOutcome> {
        return classifyWrite(await this.#client.call(call));
    }
}

/** Client of the host list over HTTP. It sends no request while other responses show that the list is unchanged. */
export class HttpHostList extends HostList {
    /** Maximum age of a revision, received with another response, that replaces a request; in milliseconds. */
    static readonly MaxRevisionAgeMs = 5_000;
    readonly #client: PlatformClient;

    /** @param client Client that the store uses too, whose responses carry the revision of the list. */
    constructor(client: PlatformClient) {
        super();
        this.#client = client;
    }

    override async hosts(sinceRevision: number): Promise<HostsOutcome> {
        if (this.#client.recentHostsRevision(HttpHostList.MaxRevisionAgeMs) === sinceRevision) {
            return { status: "unchanged", revision: sinceRevision };
        }
        const query = { since: sinceRevision };
        const outcome = await this.#client.call({ method: "GET", path: PlatformPaths.hosts, query });
        if (outcome.status === "answered" && outcome.httpStatus === 304) {
            return { status: "unchanged", revision: sinceRevision };
        }
        const body = bodyOf(outcome, 200, HostsBodySchema);
        return body === undefined ? unavailable(outcome) : { status: "changed", ...body };
    }
}

/** @returns Outcome of a write; `refused` and `conflict` only when the write definitely had no effect. */
export function classifyWrite(outcome: PlatformCallOutcome): WriteOutcome {
    if (outcome.status !== "answered") {
        return { status: outcome.status === "notSent" ? "refused" : "unknown", reason: outcome.reason };
    }
    const applied = bodyOf(outcome, 200, AppliedBodySchema);
    if (applied !== undefined) {
        return { status: "applied", version: applied.version };
    }
    const conflict = bodyOf(outcome, 409, ConflictBodySchema);
    if (conflict !== undefined) {
        return { status: "conflict", current: conflict.current };
    }
    // A 408 or a 409 without a valid body may come from an intermediary that had already forwarded the write.
    const isRefused = outcome.httpStatus >= 400 && outcome.httpStatus < 500 && ![408, 409].includes(outcome.httpStatus);
    return { status: isRefused || outcome.isNotApplied ? "refused" : "unknown", reason: reasonOf(outcome) };
}

/** @returns Body of a response; `undefined` if the response has another HTTP status or does not match the schema. */
function bodyOf<S extends z.ZodType>(
    outcome: PlatformCallOutcome,
    httpStatus: number,
    schema: S,
): z.infer<S> | undefined {
    if (outcome.status !== "answered" || outcome.httpStatus !== httpStatus) {
        return undefined;
    }
    const parsed = schema.safeParse(outcome.body);
    return parsed.success ? parsed.data : undefined;
}

function unavailable(outcome: PlatformCallOutcome): { readonly status: "unavailable"; readonly reason: string; } {
    return { status: "unavailable", reason: reasonOf(outcome) };
}

/** @returns Why a call failed: the network error, the error text of the platform, or the unexpected status. */
function reasonOf(outcome: PlatformCallOutcome): string {
    if (outcome.status !== "answered") {
        return outcome.reason;
    }
    const error = PlatformErrorBodySchema.safeParse(outcome.body);
    return error.success ? error.data.error : `unexpected response with status ${outcome.httpStatus}`;
}
