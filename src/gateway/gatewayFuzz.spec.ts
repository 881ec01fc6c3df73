/**
 * Fuzz test: sends random requests and faults to a gateway with real connections and compares the results with the
 * upstreams' own records of what ran. `FUZZ_RUNS` and `FUZZ_SEED` set the number of runs and the seed.
 */
import fc from "fast-check";
import { setTimeout as delay } from "node:timers/promises";
import { describe, expect, it, vi } from "vitest";
import { GatewayHarness, HarnessApiKey } from "../standins/router/gatewayHarness.js";
import type { Execution } from "../standins/upstream/executionLog.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";

const RunCount = Number(process.env["FUZZ_RUNS"] ?? 12);
const Seed = Number(process.env["FUZZ_SEED"] ?? 1);
const TimeoutMs = 80;

const faultArbitrary = fc.constantFrom(
    { dyingRequests: 1, dieAfterTokens: 0 },
    { dyingRequests: 1, dieAfterTokens: 2 },
    { silentRequests: 1 },
    { crossedRequests: 1 },
    { refusedRequests: 1 },
    { lateRequests: 1, lateMs: 2 * TimeoutMs },
    { leaving: true },
    { leaving: false },
);
const commandArbitrary = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("chat" as const),
            stream: fc.boolean(),
            tokens: fc.integer({ min: 1, max: 9 }),
        }),
    },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("sale" as const), key: fc.constantFrom("a", "b", "c") }) },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("abandon" as const),
            stream: fc.boolean(),
            afterMs: fc.integer({ min: 0, max: 30 }),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({ type: fc.constant("fault" as const), upstream: fc.nat(3), fault: faultArbitrary }),
    },
);
type Command = typeof commandArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface ObservedResponse {
    readonly requestId: string;
    readonly status: "whole" | "error" | "cut";
    readonly ran: string | undefined;
    readonly tokens: number;
}

class FuzzEnvironment {
    readonly gateway = new GatewayHarness({
        firstByteTimeoutMs: TimeoutMs,
        progressTimeoutMs: TimeoutMs,
        answerTimeoutMs: TimeoutMs,
        answerTimeoutPerTokenMs: 0,
        hedgeAfterMs: TimeoutMs / 2,
    });
    readonly upstreams = [
        new UpstreamServer({ port: 0, tokenIntervalMs: 2 }),
        new UpstreamServer({ port: 0, tokenIntervalMs: 2 }),
        new UpstreamServer({ port: 0, type: "service", serviceTimeMs: 2 }),
        new UpstreamServer({ port: 0, type: "service", serviceTimeMs: 2 }),
    ];
    readonly observedResponses: ObservedResponse[] = [];

    async start(): Promise<void> {
        const urls = await Promise.all(this.upstreams.map(upstream => upstream.start()));
        await this.gateway.start({
            first: urls[0]!,
            second: urls[1]!,
            "sales-service": urls[2]!,
            "other-sales": urls[3]!,
        });
        const { resources } = this.gateway.kernel.board.config;
        const other = { ...resources.upstreams.get("sales-service")!, url: urls[3]! };
        const upstreams = new Map([...resources.upstreams, ["other-sales", other] as const]);
        this.gateway.kernel.board.config.resources = { ...resources, upstreams };
        this.gateway.controller.remainingHedges = 3;
    }

    async stop(): Promise<void> {
        await this.gateway.stop();
        await Promise.all(this.upstreams.map(upstream => upstream.stop()));
    }

    async run(command: Command): Promise<void> {
        if (command.type === "fault") {
            this.upstreams[command.upstream]!.setFaults(command.fault);
        }
        else if (command.type === "sale") {
            await this.#recordResponse(
                await this.#call("/services/sales/buy", `sale ${command.key}`, { "idempotency-key": command.key }),
            );
        }
        else {
            const abort = new AbortController();
            const tokens = command.type === "chat" ? command.tokens : 9;
            const body = JSON.stringify({
                model: "assistant",
                messages: [{ role: "user", content: "x" }],
                max_tokens: tokens,
                stream: command.stream,
            });
            const call = this.#call("/v1/chat/completions", body, {}, abort.signal);
            if (command.type === "chat") {
                await this.#recordResponse(await call, tokens);
            }
            else {
                call.then(response => response.text()).catch(() => undefined);
                await delay(command.afterMs);
                abort.abort();
            }
        }
    }

    /** @returns All executions of a request, at all upstreams. */
    executionsOf(requestId: string): Execution[] {
        return this.upstreams.flatMap(upstream => [...upstream.executions()])
            .filter(execution => execution.requestId === requestId);
    }

    #call(path: string, body: string, headers: Record<string, string>, signal?: AbortSignal): Promise<Response> {
        return fetch(`${this.gateway.url}${path}`, {
            method: "POST",
            headers: { authorization: `Bearer ${HarnessApiKey}`, ...headers },
            body,
            ...(signal === undefined ? {} : { signal }),
        });
    }

    async #recordResponse(response: Response, expectedTokens?: number): Promise<void> {
        const requestId = response.headers.get("x-request-id")!;
        const replayed = response.headers.get("idempotent-replay") !== null;
        let text = "";
        let whole = response.ok;
        try {
            for await (const chunk of response.body!) {
                text += Buffer.from(chunk).toString();
            }
        }
        catch {
            whole = false;
        }
        const ran = /"ran":"(\w+)"/.exec(text)?.[1];
        const tokens = text.match(/w\d+ /g)?.length ?? 0;
        if (whole && expectedTokens !== undefined) {
            expect(tokens).toBe(expectedTokens);
            expect(text, "the response belongs to the request").toContain(`"chatcmpl-${requestId}"`);
        }
        if (whole && !replayed) {
            expect(this.executionsOf(requestId).some(execution => execution.state === "complete")).toBe(true);
        }
        if (!replayed) {
            this.observedResponses.push({
                requestId,
                status: whole ? "whole" : response.ok ? "cut" : "error",
                ran,
                tokens,
            });
        }
    }

    /** Waits until nothing is in flight, then compares the responses and bills with the upstreams' records. */
    async check(): Promise<void> {
        const { controller, kernel } = this.gateway;
        await vi.waitFor(() => expect(kernel.board.lifecycle.requestsInFlight).toBe(0), { timeout: 5_000 });
        expect(controller.openReservations).toBe(0);
        const started = controller.events.filter(event => event.type === "dispatchStarted").length;
        expect(controller.events.filter(event => event.type === "dispatchEnded")).toHaveLength(started);
        const billed = controller.bills.map(bill => bill.requestId);
        expect(new Set(billed).size, "each request is billed once").toBe(billed.length);
        for (const { requestId, status, ran, tokens } of this.observedResponses) {
            const bill = controller.bills.find(entry => entry.requestId === requestId);
            const ended = status === "whole" ? "yes" : ran;
            if (ended === "no") {
                expect(this.executionsOf(requestId), "reported as not run").toEqual([]);
                expect(bill).toBeUndefined();
            }
            else if (status !== "error") {
                expect(bill?.outputTokens ?? 0).toBe(tokens);
                expect(bill?.outcome).toBe(status === "whole" ? "complete" : "cut");
            }
        }
        const sales = this.upstreams.slice(2).flatMap(upstream => [...upstream.executions()])
            .map(execution => execution.idempotencyKey);
        expect(new Set(sales).size, "each sale runs once").toBe(sales.length);
    }
}

describe("gateway under random faults", () => {
    it(
        "bills each request once, reports correctly whether it ran and runs each sale once (guards against violations of P2 to P5)",
        async () => {
            await fc.assert(
                fc.asyncProperty(
                    fc.array(fc.array(commandArbitrary, { maxLength: 8 }), { minLength: 1, maxLength: 4 }),
                    async commandSequences => {
                        const environment = new FuzzEnvironment();
                        await environment.start();
                        try {
                            await Promise.all(commandSequences.map(async sequence => {
                                for (const command of sequence) {
                                    await environment.run(command);
                                }
                            }));
                            await environment.check();
                        }
                        finally {
                            await environment.stop();
                        }
                    },
                ),
                { seed: Seed, numRuns: RunCount },
            );
        },
        600_000,
    );
});
