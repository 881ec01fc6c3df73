/** Gateway in front of two engines and a plain service, with short timeouts, for specs. */
import { UpstreamServer } from "../upstream/upstreamServer.js";
import { GatewayHarness, HarnessApiKey } from "./gatewayHarness.js";

/** Name of the upstream that is a plain service. */
const SalesUpstreamName = "sales-service";

/** Gateway and upstreams of one spec; the spec starts and stops them. */
export class GatewayFixture {
    readonly first = new UpstreamServer({ port: 0, tokenIntervalMs: 5 });
    readonly second = new UpstreamServer({ port: 0, tokenIntervalMs: 5 });
    readonly sales = new UpstreamServer({ port: 0, type: "service" });
    gateway = new GatewayHarness({
        progressTimeoutMs: 300,
        firstByteTimeoutMs: 300,
        answerTimeoutMs: 500,
        answerTimeoutPerTokenMs: 0,
    });

    /** Starts the upstreams, then the gateway in front of them. */
    async start(): Promise<void> {
        await this.gateway.start({
            first: await this.first.start(),
            second: await this.second.start(),
            [SalesUpstreamName]: await this.sales.start(),
        });
    }

    /** Stops the gateway, then the upstreams. */
    async stop(): Promise<void> {
        await this.gateway.stop();
        await Promise.all([this.first, this.second, this.sales].map(upstream => upstream.stop()));
    }

    /**
     * Replaces the gateway with one with other upstreams and settings.
     * @returns The new gateway.
     */
    async restartGateway(
        upstreams: Parameters<GatewayHarness["start"]>[0],
        settings: ConstructorParameters<typeof GatewayHarness>[0] = {},
    ): Promise<GatewayHarness> {
        await this.gateway.stop();
        this.gateway = new GatewayHarness(settings);
        await this.gateway.start(upstreams);
        return this.gateway;
    }

    /** Sends a chat request; the given fields and headers override the defaults. */
    chat(body: Record<string, unknown> = {}, headers: Record<string, string> = {}): Promise<Response> {
        return fetch(`${this.gateway.url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${HarnessApiKey}`, "content-type": "application/json", ...headers },
            body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "hello" }], ...body }),
        });
    }

    /** @returns Number of chat requests that ran at the two engines. */
    executions(): number {
        return this.first.executions().length + this.second.executions().length;
    }
}
