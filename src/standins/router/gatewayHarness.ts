/** Gateway with real listeners and a controller that grants everything, for tests and measurements. */
import { Result } from "true-myth";
import { SystemClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { sha256Hex } from "../../base/hashing.js";
import { SystemRandom } from "../../base/random.js";
import type { ResultCodeName } from "../../base/resultCodes.js";
import { type Upstream, UpstreamSchema } from "../../features/config/configTypes.js";
import { getCallerMemoryBytes } from "../../gateway/callerLimits.js";
import { CallerServer } from "../../gateway/callerServer.js";
import { type GatewaySettings, GatewaySettingsSchema } from "../../gateway/gatewaySettings.js";
import type { RoutePlanner } from "../../gateway/gatewayTypes.js";
import { UndiciUpstreamClient } from "../../gateway/undiciUpstreamClient.js";
import { createBlackboard } from "../../kernel/blackboard.js";
import { ControllerClient } from "../../kernel/controllerClient.js";
import { EffectRunner, Kernel } from "../../kernel/kernel.js";
import type { RoutePlan, RouteQuery } from "../../routing/routePlan.js";
import { CallerMemory } from "../../scheduling/callerMemory.js";
import { ParseScheduler } from "../../scheduling/parseScheduler.js";
import { PermissiveController } from "./permissiveController.js";

/** API key of the only team of the harness. */
export const HarnessApiKey = "test-key";
const HarnessTeam = "suds";

/** Passes notifications to the controller client and ignores all other effects. */
class NotificationRunner extends EffectRunner {
    client: ControllerClient | undefined;

    override run(effect: Parameters<EffectRunner["run"]>[0]): void {
        if (effect.type === "notify") {
            this.client?.handleNotification(effect.notification);
        }
    }
}

/** The gateway under test, with its kernel and the controller whose state tests read and change. */
export class GatewayHarness {
    readonly kernel: Kernel;
    controller!: PermissiveController;
    /** Base URL; empty until the gateway is started. */
    url = "";
    readonly #upstreamClient: UndiciUpstreamClient;
    readonly #callerServer: CallerServer;

    /** @param settings Settings of the gateway that differ from the defaults. */
    constructor(settings: Partial<GatewaySettings> = {}) {
        const board = createBlackboard("h1", "i1");
        const clock = new SystemClock();
        const random = new SystemRandom();
        this.kernel = new Kernel({
            board,
            clock,
            random,
            counters: new Counters(),
            createControllers: context => {
                this.controller = new PermissiveController(context);
                return [this.controller];
            },
        });
        const runner = new NotificationRunner();
        const controllerClient = new ControllerClient(this.kernel);
        runner.client = controllerClient;
        this.kernel.setEffectRunner(runner);
        const parsed = GatewaySettingsSchema.parse(settings);
        this.#upstreamClient = new UndiciUpstreamClient(parsed);
        this.#callerServer = new CallerServer({
            kernel: this.kernel,
            controllerClient,
            upstreamClient: this.#upstreamClient,
            callerMemory: new CallerMemory(getCallerMemoryBytes(parsed), clock),
            parsing: new ParseScheduler(clock, parsed),
            clock,
            random,
            settings: parsed,
            planRoute: planForHarness,
        });
    }

    /**
     * Starts listening in front of the given upstreams.
     * @param urls Base URLs by name of the upstream; those named `NAME-service` serve `/services/NAME`.
     */
    async start(urls: Readonly<Record<string, string>>): Promise<void> {
        const { config } = this.kernel.board;
        const teams = new Map([[HarnessTeam, { labels: {}, keyHashes: [sha256Hex(HarnessApiKey)], weight: 1 }]]);
        const upstreams = new Map(Object.entries(urls).map(([name, url]) => [name, createHarnessUpstream(name, url)]));
        config.version = 1;
        config.resources = { ...config.resources, teams, upstreams };
        config.teamByKeyHash = new Map([[sha256Hex(HarnessApiKey), HarnessTeam]]);
        this.url = `http://${await this.#callerServer.start("127.0.0.1", 0)}`;
    }

    /** Stops immediately and destroys the open connections. */
    async stop(): Promise<void> {
        this.#callerServer.destroy();
        await this.#callerServer.stop();
        await this.#upstreamClient.close();
    }

    /** Stops accepting connections and waits until the open ones have ended. */
    async drain(): Promise<void> {
        await this.#callerServer.stop();
    }
}

function createHarnessUpstream(name: string, url: string): Upstream {
    const service = name.endsWith("-service") ? name.slice(0, -"-service".length) : "";
    return UpstreamSchema.parse({
        url,
        type: service === "" ? "engine" : "service",
        models: service === "" ? ["assistant"] : [],
        service,
    });
}

/** Selects upstreams by model or service name alone; only a `POST` to a service is not repeatable. */
const planForHarness: RoutePlanner = (resources, query): Result<RoutePlan, ResultCodeName> => {
    const offers = (upstream: Upstream): boolean =>
        query.service === undefined ? upstream.models.includes(query.model ?? "") : upstream.service === query.service;
    const candidates = [...resources.upstreams].filter(([, upstream]) => offers(upstream)).map(([name]) => name);
    return candidates.length === 0 ?
        Result.err(query.service === undefined ? "UnknownModel" : "UnknownService") :
        Result.ok(createHarnessPlan(query, candidates));
};

function createHarnessPlan(query: RouteQuery, candidates: readonly string[]): RoutePlan {
    const maxOutputTokens = query.maxOutputTokens ?? 1_024;
    const promptTokens = query.promptBytes + 4 * query.messageCount;
    return {
        rule: "all",
        requestKind: query.requestKind ?? "",
        workClass: "normal",
        long: false,
        repeatable: query.service === undefined || query.method !== "POST",
        budget: "main",
        grant: query.grant,
        candidates,
        fallbacks: [],
        weights: {},
        maxInFlightPerUpstream: undefined,
        prefixKey: undefined,
        promptTokens,
        maxOutputTokens,
        costTokens: query.service === undefined ? promptTokens + maxOutputTokens : 1,
        deadlineMs: 30_000,
    };
}
