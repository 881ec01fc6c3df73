/** Router with the real controllers, a platform and upstreams, for specs that stop the router under its callers. */
import { setTimeout as delay } from "node:timers/promises";
import { createRouter } from "../../router/createRouter.js";
import type { RouterProcess } from "../../router/routerProcess.js";
import { type RouterSettingsInput, RouterSettingsSchema } from "../../router/routerSettings.js";
import { PlatformServer } from "../platform/platformServer.js";
import { UpstreamServer } from "../upstream/upstreamServer.js";
import type { UpstreamStandInSettings } from "../upstream/upstreamSettings.js";
import { createExampleResources, ExampleApiKey, ExamplePaidTokens, seedStore } from "./exampleConfiguration.js";
import { KeptConnectionCaller } from "./keptConnectionCaller.js";

/** Time that an engine needs for a token. */
const TokenIntervalMs = 10;

/** Time between two reads of the readiness. */
const ReadyCheckMs = 20;

/** Number of streams from which the router learns how long the streams of the engines take. */
const WarmUpCount = 8;

/** Settings of the deployment that a fixture plays. */
export interface PlannedStopOptions {
    readonly shutdownTimeoutMs?: number;
    readonly gateway?: RouterSettingsInput["gateway"];
    /** Settings of each engine. */
    readonly engines?: readonly Partial<UpstreamStandInSettings>[];
    readonly sales?: Partial<UpstreamStandInSettings>;
    /** Minimum time after which a hedge is sent, in milliseconds. */
    readonly hedgeMinDelayMs?: number;
    /** Limit of the rule for chat requests. */
    readonly maxInFlightPerUpstream?: number;
}

/** One router in front of engines and a plain service. */
export class PlannedStopFixture {
    readonly platform = new PlatformServer({ hostListLagMs: 100 });
    readonly engines: readonly UpstreamServer[];
    readonly sales: UpstreamServer;
    router!: RouterProcess;
    readonly #options: PlannedStopOptions;
    readonly #callers: KeptConnectionCaller[] = [];

    constructor(options: PlannedStopOptions = {}) {
        this.#options = options;
        this.engines = (options.engines ?? [{}]).map(settings =>
            new UpstreamServer({ port: 0, tokenIntervalMs: TokenIntervalMs, batchPenaltyMs: 0, ...settings })
        );
        this.sales = new UpstreamServer({ port: 0, type: "service", ...options.sales });
    }

    /** Starts everything and waits until the router is ready. */
    async start(): Promise<void> {
        const platformUrl = await this.platform.start(0);
        const engineUrls = await Promise.all(this.engines.map(engine => engine.start()));
        const resources = createExampleResources({ engines: engineUrls, sales: await this.sales.start() });
        const { maxInFlightPerUpstream } = this.#options;
        const models = { ...resources.Rule!["models"] as object, maxInFlightPerUpstream };
        const rules = { ...resources.Rule, models };
        seedStore(this.platform.objects, { ...resources, Rule: rules }, ExamplePaidTokens);
        this.router = createRouter(RouterSettingsSchema.parse({
            hostId: "h1",
            zone: "z1",
            caller: { port: 0 },
            operator: { port: 0 },
            platform: { url: platformUrl },
            gateway: this.#options.gateway,
            features: {
                lifecycle: { balancerLagMs: 1_000 },
                upstream: { hedgeMinDelayMs: this.#options.hedgeMinDelayMs },
            },
            shutdownTimeoutMs: this.#options.shutdownTimeoutMs ?? 3_000,
        }));
        await this.router.start();
        while (!this.router.readReadiness().ready) {
            await delay(ReadyCheckMs);
        }
    }

    /** Ends everything at once. */
    async stop(): Promise<void> {
        this.#callers.forEach(caller => caller.close());
        await this.router.kill();
        await Promise.all([...this.engines, this.sales, this.platform].map(server => server.stop()));
    }

    /** @returns A caller with a connection of its own. */
    createCaller(): KeptConnectionCaller {
        const caller = new KeptConnectionCaller(`http://${this.router.addresses.caller}`, ExampleApiKey);
        this.#callers.push(caller);
        return caller;
    }

    /** Lets the router observe a few short streams on the caller's connection. */
    async observeStreams(caller: KeptConnectionCaller): Promise<void> {
        for (let index = 0; index < WarmUpCount; index++) {
            await caller.chat(10, { stream: true }).answer;
        }
    }

    /** @returns Number of requests that ran at the engines. */
    get chatExecutionCount(): number {
        return this.engines.reduce((sum, engine) => sum + engine.executions().length, 0);
    }
}
