/** HTTP server of the platform stand-in: object API, host list, faults and call statistics. */
import { type HttpBindings, serve, type ServerType } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { z } from "zod";
import { type Clock, SystemClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { SystemRandom } from "../../base/random.js";
import { PlatformHeaders, PlatformPaths } from "../../platform/platformProtocol.js";
import { ListedHostSchema, MaxValueBytes, type WatchOutcome, type WriteOutcome } from "../../platform/platformStore.js";
import { CallRateLimiter } from "./callRateLimiter.js";
import { type CallKind, type FaultDecision, FaultInjector, type FaultInput, FaultSchema } from "./faultInjector.js";
import { HostRegistry } from "./hostRegistry.js";
import { ObjectStore } from "./objectStore.js";
import { PastStateReader } from "./pastStateReader.js";
import { type PlatformSettings, PlatformSettingsSchema } from "./platformSettings.js";
import { WatchRegistry } from "./watchRegistry.js";

/** Maximum number of objects and of bytes on one page of a listing. */
const MaxPageObjects = 1_000;
const MaxPageBytes = 4 * MaxValueBytes;

type Env = { Bindings: HttpBindings; };

/** A response before faults are applied to it. */
interface ApiResponse {
    readonly httpStatus: number;
    readonly body?: unknown;
    /** Whether the response states that the call had no effect. */
    readonly notApplied?: boolean;
}

/** A call that is being handled. */
interface Call {
    readonly context: Context<Env>;
    readonly hostId: string;
    readonly zone: string;
    readonly kind: CallKind;
    readonly key: string;
    readonly body: string;
}

const FaultsBodySchema = z.strictObject({ faults: z.array(FaultSchema) });
const HostBodySchema = z.strictObject({ hostId: z.string(), state: z.enum(["live", "leaving", "gone"]) });
const PageQuerySchema = z.object({
    prefix: z.string().default(""),
    after: z.string().default(""),
    limit: z.coerce.number().int().positive().default(MaxPageObjects),
});
const WatchQuerySchema = z.object({
    prefix: z.string().default(""),
    after: z.coerce.number().int(),
    waitMs: z.coerce.number().nonnegative().default(0),
});

/** Serves an {@link ObjectStore}, a host list and the routes to inject faults. */
export class PlatformServer {
    readonly objects = new ObjectStore();
    readonly faults: FaultInjector;
    readonly #settings: PlatformSettings;
    readonly #pastStates: PastStateReader;
    readonly #watches: WatchRegistry;
    readonly #hosts: HostRegistry;
    readonly #rateLimiter: CallRateLimiter;
    #server: ServerType | undefined;

    /** @param settings Settings that differ from the defaults. */
    constructor(
        settings: z.input<typeof PlatformSettingsSchema> = {},
        clock: Clock = new SystemClock(),
        counters: Counters = new Counters(),
    ) {
        this.#settings = PlatformSettingsSchema.parse(settings);
        this.faults = new FaultInjector(clock, new SystemRandom());
        this.#pastStates = new PastStateReader(this.objects, clock);
        this.#watches = new WatchRegistry(this.objects);
        this.#hosts = new HostRegistry(this.#settings, clock);
        this.#rateLimiter = new CallRateLimiter(this.#settings, clock, counters);
    }

    /**
     * Starts listening. Rejects if the port cannot be bound.
     * @param port Port; 0 picks a free one.
     * @returns Base URL of the object API.
     */
    start(port: number = this.#settings.port): Promise<string> {
        return new Promise((resolve, reject) => {
            const options = { fetch: this.#routes().fetch, port, hostname: this.#settings.host };
            const server = serve(options, (address: AddressInfo) => {
                resolve(`http://${this.#settings.host}:${address.port}`);
            });
            server.once("error", reject);
            if ("keepAliveTimeout" in server) {
                server.keepAliveTimeout = 60_000;
            }
            this.#server = server;
        });
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        const server = this.#server;
        this.#server = undefined;
        if (server === undefined) {
            return;
        }
        this.#watches.abort(() => true);
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        if ("closeAllConnections" in server) {
            server.closeAllConnections();
        }
        await closed;
    }

    /** Replaces the faults and aborts the waiting watches that outages among them apply to. */
    setFaults(faults: readonly FaultInput[]): void {
        this.faults.set(faults);
        const outages = this.faults.faults.filter(fault => fault.type === "outage" || fault.type === "cutOff");
        this.#watches.abort((hostId, prefix) =>
            outages.some(fault =>
                (fault.hosts.length === 0 || fault.hosts.includes(hostId)) &&
                (fault.kinds.length === 0 || fault.kinds.includes("watch")) &&
                prefix.startsWith(fault.keyPrefix)
            )
        );
        log.info("faults set", { faults: this.faults.faults.map(fault => fault.type) });
    }

    /** @returns State for the state dump, without the stored values. */
    dumpState(): unknown {
        return {
            storeRevision: this.objects.revision,
            waitingWatches: this.#watches.waitingCount,
            faults: this.faults.faults,
            ...this.#hosts.list(),
            calls: this.#rateLimiter.snapshot(),
        };
    }

    #routes(): Hono<Env> {
        const routes = new Hono<Env>();
        routes.get(PlatformPaths.object, context => this.#handle(context, "read", "key", this.#get));
        routes.put(PlatformPaths.object, context => this.#handle(context, "write", "key", this.#put));
        routes.delete(PlatformPaths.object, context => this.#handle(context, "write", "key", this.#delete));
        routes.get(PlatformPaths.list, context => this.#handle(context, "read", "prefix", this.#list));
        routes.get(PlatformPaths.watch, context => this.#handle(context, "watch", "prefix", this.#watch));
        routes.get(PlatformPaths.hosts, context => this.#handle(context, "read", "", this.#listHosts));
        this.#addAdminRoutes(routes);
        routes.onError((error, context) => {
            const isBadRequest = error instanceof z.ZodError || error instanceof SyntaxError;
            return context.json({ error: error.message }, isBadRequest ? 400 : 500);
        });
        return routes;
    }

    #addAdminRoutes(routes: Hono<Env>): void {
        routes.get("/faults", context => context.json({ faults: this.faults.faults }));
        routes.post("/faults", async context => {
            this.setFaults(FaultsBodySchema.parse(await context.req.json()).faults);
            return context.json({ faults: this.faults.faults });
        });
        routes.post("/hosts", async context => {
            const { hostId, state } = HostBodySchema.parse(await context.req.json());
            this.#hosts.setState(hostId, state);
            return context.json({ hostId, state });
        });
        routes.get("/calls", context => context.json(this.#rateLimiter.snapshot()));
        routes.get("/state", context => context.json(this.dumpState()));
        routes.get("/healthz", context => context.json({ status: "ok" }));
    }

    async #handle(
        context: Context<Env>,
        kind: CallKind,
        keyParameter: string,
        perform: (call: Call, decision: FaultDecision) => ApiResponse | Promise<ApiResponse | undefined>,
    ): Promise<Response> {
        const hostId = context.req.header(PlatformHeaders.hostId) ?? "";
        const zone = context.req.header(PlatformHeaders.zone) ?? "";
        const key = context.req.query(keyParameter) ?? "";
        const body = kind === "write" ? await context.req.text() : "";
        const call: Call = { context, hostId, zone, kind, key, body };
        const decision = this.faults.decide({ hostId, kind, key });
        if (decision.failure !== undefined) {
            return this.#fail(context, decision.failure);
        }
        this.#recordHost(context);
        if (!this.#rateLimiter.admit(hostId, kind, body.length)) {
            return this.#send(call, { httpStatus: 429, body: { error: "rate limit" } });
        }
        const zoneDelayMs = this.#settings.zoneDelaysMs[zone] ?? 0;
        await delay(decision.delayMs + zoneDelayMs);
        if (decision.lateWriteDelayMs !== undefined) {
            void sleep(decision.lateWriteDelayMs)
                .then(() => perform(call, decision))
                .catch((error: unknown) => log.warn("a late write failed", { reason: String(error) }));
            return destroyConnection(context);
        }
        const response = await perform(call, decision);
        if (decision.responseLost || response === undefined) {
            return destroyConnection(context);
        }
        await delay(zoneDelayMs);
        return this.#send(call, response);
    }

    #get = (call: Call, decision: FaultDecision): ApiResponse => {
        const outcome = this.#pastStates.get(call.key, decision.stateAgeMs);
        return outcome.status === "found" ?
            { httpStatus: 200, body: outcome.object } :
            { httpStatus: 404, body: { error: "absent" } };
    };

    #put = (call: Call): ApiResponse => {
        if (Buffer.byteLength(call.body) > MaxValueBytes) {
            return { httpStatus: 413, body: { error: "the value is too large" } };
        }
        return toWriteResponse(this.objects.put(call.key, JSON.parse(call.body), expectedVersionOf(call)));
    };

    #delete = (call: Call): ApiResponse => toWriteResponse(this.objects.delete(call.key, expectedVersionOf(call)));

    #list = (call: Call, decision: FaultDecision): ApiResponse => {
        const { prefix, after, limit } = PageQuerySchema.parse(call.context.req.query());
        const page = this.#pastStates.list(prefix, after, Math.min(limit, MaxPageObjects), decision.stateAgeMs);
        if (page.status !== "listed") {
            return { httpStatus: 503, body: { error: page.reason } };
        }
        let bytes = 0;
        const objects = page.objects.filter((object, index) => {
            bytes += JSON.stringify(object).length;
            return index === 0 || bytes <= MaxPageBytes;
        });
        return { httpStatus: 200, body: { objects, more: page.more || objects.length < page.objects.length } };
    };

    #watch = async (call: Call): Promise<ApiResponse | undefined> => {
        const { prefix, after, waitMs } = WatchQuerySchema.parse(call.context.req.query());
        const outcome = await this.#watches.wait(
            call.hostId,
            prefix,
            after,
            Math.min(waitMs, this.#settings.maxWaitMs),
        );
        return outcome === undefined ? undefined : toWatchResponse(outcome);
    };

    #listHosts = (call: Call): ApiResponse => {
        const hostList = this.#hosts.list();
        const isUnchanged = call.context.req.query("since") === String(hostList.revision);
        return isUnchanged ? { httpStatus: 304 } : { httpStatus: 200, body: hostList };
    };

    #send(call: Call, response: ApiResponse): Response {
        const text = response.body === undefined ? null : JSON.stringify(response.body);
        this.#rateLimiter.recordResponse(call.hostId, text?.length ?? 0);
        const headers: Record<string, string> = {
            "content-type": "application/json",
            [PlatformHeaders.hostsRevision]: String(this.#hosts.list().revision),
        };
        if (response.notApplied === true || response.httpStatus === 429 || response.httpStatus === 413) {
            headers[PlatformHeaders.notApplied] = "true";
        }
        return new Response(text, { status: response.httpStatus, headers });
    }

    #fail(context: Context<Env>, manner: NonNullable<FaultDecision["failure"]>): Response | Promise<Response> {
        return match(manner)
            .with(
                "refuse",
                () =>
                    context.json({ error: "the platform is not available" }, 503, {
                        [PlatformHeaders.notApplied]: "true",
                    }),
            )
            .with("drop", () => destroyConnection(context))
            .with("silent", () =>
                new Promise<Response>(resolve => {
                    context.env.outgoing.once("close", () => resolve(RESPONSE_ALREADY_SENT));
                }))
            .exhaustive();
    }

    #recordHost(context: Context<Env>): void {
        const host = ListedHostSchema.safeParse({
            hostId: context.req.header(PlatformHeaders.hostId),
            zone: context.req.header(PlatformHeaders.zone),
            peerAddress: context.req.header(PlatformHeaders.peerAddress),
            operatorAddress: context.req.header(PlatformHeaders.operatorAddress),
            state: context.req.header(PlatformHeaders.hostState),
        });
        if (host.success) {
            this.#hosts.recordCall(host.data);
        }
    }
}

function delay(durationMs: number): Promise<void> | undefined {
    return durationMs > 0 ? sleep(durationMs) : undefined;
}

function destroyConnection(context: Context<Env>): Response {
    context.env.outgoing.destroy();
    return RESPONSE_ALREADY_SENT;
}

function expectedVersionOf(call: Call): number {
    return z.coerce.number().int().nonnegative().parse(call.context.req.header(PlatformHeaders.expectedVersion));
}

function toWriteResponse(outcome: WriteOutcome): ApiResponse {
    return match(outcome)
        .with({ status: "applied" }, ({ version }) => ({ httpStatus: 200, body: { version } }))
        .with({ status: "conflict" }, ({ current }) => ({ httpStatus: 409, body: { current } }))
        .with({ status: "refused" }, ({ reason }) => ({ httpStatus: 413, body: { error: reason } }))
        .with({ status: "unknown" }, ({ reason }) => ({ httpStatus: 500, body: { error: reason } }))
        .exhaustive();
}

function toWatchResponse(outcome: WatchOutcome): ApiResponse {
    return match(outcome)
        .with({ status: "changed" }, ({ changes, revision }) => ({ httpStatus: 200, body: { changes, revision } }))
        .with({ status: "tooOld" }, ({ revision }) => ({ httpStatus: 410, body: { revision } }))
        .with({ status: "unavailable" }, ({ reason }) => ({ httpStatus: 503, body: { error: reason } }))
        .exhaustive();
}
