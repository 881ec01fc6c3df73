/** HTTP server of the upstream stand-in, which acts as a model engine or as a plain service. */
import { type HttpBindings, serve, type ServerType } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { LoadReport } from "../../features/upstream/upstreamTypes.js";
import { handleChat, sendRefusal } from "./chatHandler.js";
import { EngineSimulator } from "./engineSimulator.js";
import { type Execution, ExecutionLog } from "./executionLog.js";
import { handleService } from "./serviceHandler.js";
import {
    UpstreamFaultInjector,
    type UpstreamFaults,
    UpstreamFaultsSchema,
    type UpstreamStandInSettings,
    UpstreamStandInSettingsSchema,
} from "./upstreamSettings.js";

type UpstreamContext = Context<{ Bindings: HttpBindings; }>;

/** Simulated upstream with load reports, fault injection and a log of executions. */
export class UpstreamServer {
    readonly #settings: UpstreamStandInSettings;
    readonly #faults = new UpstreamFaultInjector();
    readonly #executions = new ExecutionLog();
    readonly #engine: EngineSimulator;
    #server: ServerType | undefined;
    #reportTimer: NodeJS.Timeout | undefined;
    #report: LoadReport = { running: 0, waiting: 0, ageMs: 0, leaving: false };
    #reportedAtMs = performance.now();

    /** @param settings Settings; missing fields take their defaults. */
    constructor(settings: Partial<UpstreamStandInSettings> = {}) {
        this.#settings = UpstreamStandInSettingsSchema.parse(settings);
        this.#engine = new EngineSimulator(this.#settings, () => this.#faults.current.slowFactor);
    }

    /**
     * Starts listening.
     * @returns Base URL.
     */
    async start(): Promise<string> {
        const { host, port, reportIntervalMs } = this.#settings;
        const app = this.#createApp();
        this.#reportTimer = setInterval(() => this.#updateReport(), reportIntervalMs);
        this.#reportTimer.unref();
        const address = await new Promise<AddressInfo>(resolve => {
            this.#server = serve({ fetch: app.fetch, hostname: host, port }, resolve);
        });
        return `http://${host}:${address.port}`;
    }

    /** Stops immediately, like a host that crashes: open connections are destroyed. */
    async stop(): Promise<void> {
        clearInterval(this.#reportTimer);
        this.#engine.stop();
        const server = this.#server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        if ("closeAllConnections" in server) {
            server.closeAllConnections();
        }
        await closed;
    }

    /** Changes the given faults; the others stay as they are. */
    setFaults(changes: Partial<UpstreamFaults>): void {
        this.#faults.update(changes);
    }

    /** @returns All executions so far, in the order of their start. */
    executions(): readonly Execution[] {
        return this.#executions.all();
    }

    /** @returns State for the state dump. */
    dumpState(): unknown {
        return {
            settings: this.#settings,
            faults: this.#faults.current,
            running: this.#engine.runningCount,
            waiting: this.#engine.waitingCount,
            executions: this.#executions.all().length,
        };
    }

    #updateReport(): void {
        this.#report = {
            running: this.#engine.runningCount,
            waiting: this.#engine.waitingCount,
            ageMs: 0,
            leaving: this.#faults.current.leaving,
        };
        this.#reportedAtMs = performance.now();
    }

    #createApp(): Hono<{ Bindings: HttpBindings; }> {
        const app = new Hono<{ Bindings: HttpBindings; }>();
        app.get("/load", context => context.json({ ...this.#report, ageMs: performance.now() - this.#reportedAtMs }));
        app.get("/executions", context => context.json(this.#executions.all()));
        app.get("/state", context => context.json(this.dumpState()));
        app.post("/faults", async context => {
            const changes = UpstreamFaultsSchema.partial().safeParse(await context.req.json());
            if (!changes.success) {
                return context.json({ error: changes.error.issues }, 400);
            }
            this.#faults.update(pickSentFields(changes.data, await context.req.json()));
            return context.json(this.#faults.current);
        });
        app.all("*", context => this.#handle(context));
        return app;
    }

    async #handle(context: UpstreamContext): Promise<Response> {
        const { incoming, outgoing } = context.env;
        const body = await context.req.text();
        await this.#delayRequest();
        const requestId = String(incoming.headers["x-request-id"] ?? "");
        if (this.#faults.current.leaving) {
            outgoing.setHeader("x-upstream-leaving", "true");
            sendRefusal(outgoing as never, requestId, 503);
        }
        else if (this.#faults.consume("refusedRequests")) {
            sendRefusal(outgoing as never, requestId, 429);
        }
        else if (this.#settings.type === "service") {
            handleService(this.#handlerDependencies(), incoming as never, outgoing as never, body);
        }
        else if (context.req.path === "/v1/chat/completions" && context.req.method === "POST") {
            handleChat(this.#handlerDependencies(), incoming as never, outgoing as never, body);
        }
        else {
            sendRefusal(outgoing as never, requestId, 404);
        }
        return RESPONSE_ALREADY_SENT;
    }

    async #delayRequest(): Promise<void> {
        const lateMs = this.#faults.consume("lateRequests") ? this.#faults.current.lateMs : 0;
        const totalMs = 2 * this.#settings.networkDelayMs + lateMs;
        if (totalMs > 0) {
            await delay(totalMs);
        }
    }

    #handlerDependencies(): {
        settings: UpstreamStandInSettings;
        faults: UpstreamFaultInjector;
        engine: EngineSimulator;
        executions: ExecutionLog;
    } {
        return {
            settings: this.#settings,
            faults: this.#faults,
            engine: this.#engine,
            executions: this.#executions,
        };
    }
}

/** Keeps only the fields that the sender included, because a partial schema still fills in defaults. */
function pickSentFields(parsed: Partial<UpstreamFaults>, sent: unknown): Partial<UpstreamFaults> {
    const sentKeys = new Set(Object.keys(sent as object));
    return Object.fromEntries(Object.entries(parsed).filter(([key]) => sentKeys.has(key)));
}
