import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { budgetKey, type BudgetObject } from "../features/budget/budgetTypes.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import {
    createExampleResources,
    ExampleApiKey,
    ExamplePaidTokens,
    seedStore,
} from "../standins/router/exampleConfiguration.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";
import { createRouter } from "./createRouter.js";
import type { RouterProcess } from "./routerProcess.js";
import { type RouterSettingsInput, RouterSettingsSchema } from "./routerSettings.js";

const WaitMs = 10_000;

const emptyBudget: BudgetObject = { paidTokens: 0, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] };

describe("RouterProcess", () => {
    let platform: PlatformServer;
    let platformUrl: string;
    let engine: UpstreamServer;
    let sales: UpstreamServer;
    let routers: RouterProcess[];
    beforeEach(async () => {
        platform = new PlatformServer({ hostListLagMs: 100 });
        engine = new UpstreamServer({ port: 0, tokenIntervalMs: 10 });
        sales = new UpstreamServer({ port: 0, type: "service" });
        routers = [];
        platformUrl = await platform.start(0);
        const urls = { engines: [await engine.start()], sales: await sales.start() };
        seedStore(platform.objects, createExampleResources(urls), ExamplePaidTokens);
    });
    afterEach(async () => {
        await Promise.all(routers.map(router => router.kill()));
        await Promise.all([engine.stop(), sales.stop(), platform.stop()]);
    });

    const createSettings = (hostId: string): RouterSettingsInput => ({
        hostId,
        zone: "z1",
        caller: { port: 0 },
        operator: { port: 0 },
        platform: { url: platformUrl },
        features: { lifecycle: { balancerLagMs: 200 } },
    });
    const startRouter = async (hostId: string, changes: RouterSettingsInput = {}): Promise<RouterProcess> => {
        const router = createRouter(RouterSettingsSchema.parse({ ...createSettings(hostId), ...changes }));
        routers.push(router);
        await router.start();
        await untilReady(`http://${router.addresses.caller}`);
        return router;
    };
    const untilReady = (url: string): Promise<void> =>
        vi.waitFor(async () => expect((await fetch(`${url}/readyz`)).status).toBe(200), { timeout: WaitMs });
    const chat = (
        url: string,
        body: Record<string, unknown> = {},
        headers: Record<string, string> = {},
    ): Promise<Response> =>
        fetch(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${ExampleApiKey}`, ...headers },
            body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "hello" }], ...body }),
        });
    const sell = (url: string, key: string): Promise<Response> =>
        fetch(`${url}/services/sales/buy`, {
            method: "POST",
            headers: { authorization: `Bearer ${ExampleApiKey}`, "idempotency-key": key },
            body: "10 tokens",
        });

    describe("with the real controllers", () => {
        it("serves, bills, replays at another host and returns its shares (guards against wrongly connected components)", async () => {
            const [first, second] = [await startRouter("h1"), await startRouter("h2")];
            const [firstUrl, secondUrl] = [first, second].map(router => `http://${router.addresses.caller}`) as [
                string,
                string,
            ];
            const answer = await (await chat(firstUrl)).json() as { usage: { total_tokens: number; }; };
            const models = await (await fetch(`${firstUrl}/v1/models`, {
                headers: { authorization: `Bearer ${ExampleApiKey}` },
            })).json();
            expect(models).toMatchObject({ data: [{ id: "assistant" }] });
            const sold = await sell(firstUrl, "sale-1");
            expect(sold.status).toBe(200);
            await vi.waitFor(async () => {
                const repeated = await sell(secondUrl, "sale-1");
                expect(repeated.headers.get("idempotent-replay")).toBe("true");
            }, { timeout: WaitMs });
            expect(sales.executions()).toHaveLength(1);
            await first.stop();
            await second.stop();
            const budget = platform.objects.get("budget/cork-2026");
            expect(budget).toMatchObject({ object: { value: { closedTokens: answer.usage.total_tokens + 1 } } });
        });
    });

    describe("when a grant is claimed at a host that holds no use of it", () => {
        it("is honoured at once with a use from a peer (guards against priority that needs a warm-up)", async () => {
            const firstHostSettings = {
                features: { lifecycle: { balancerLagMs: 200 }, budget: { idleReturnMs: 3_600_000 } },
            };
            const secondHostSettings = {
                features: { lifecycle: { balancerLagMs: 200 }, budget: { standingBudgetCount: 0, homeHostCount: 1 } },
            };
            platform.objects.put(budgetKey("grant/counter-rush"), { ...emptyBudget, paidTokens: 60 }, 1);
            await startRouter("h1", firstHostSettings);
            const second = await startRouter("h2", secondHostSettings);
            const operator = `http://${second.addresses.operator}`;
            await vi.waitFor(async () => {
                const state = await (await fetch(`${operator}/state`)).json();
                expect(state).toMatchObject({ board: { membership: { members: { h1: { state: "live" } } } } });
            }, { timeout: WaitMs });
            platform.setFaults([{ type: "cutOff", hosts: ["h2"] }]);
            const statusCodes: number[] = [];
            for (let index = 0; index < 3; index++) {
                const response = await chat(`http://${second.addresses.caller}`, {}, {
                    "x-priority-grant": "counter-rush",
                });
                statusCodes.push(response.status);
            }
            expect(statusCodes).toEqual([200, 200, 200]);
            expect(engine.executions().map(execution => execution.priority)).toEqual([0, 0, 0]);
        });
    });

    describe("when the store is unreachable", () => {
        it("refuses a sale without a ticket and continues to serve chat (guards against outages that stop all work)", async () => {
            const url = `http://${(await startRouter("h1")).addresses.caller}`;
            expect((await chat(url)).status).toBe(200);
            const { ticket } = await (await fetch(`${url}/v1/tickets`, {
                method: "POST",
                headers: { authorization: `Bearer ${ExampleApiKey}` },
            })).json() as { ticket: string; };
            platform.setFaults([{ type: "outage" }]);
            const refused = await sell(url, "sale-1");
            expect(await refused.json()).toMatchObject({ error: { name: "ClaimUnavailable", ran: "no" } });
            expect((await chat(url)).status).toBe(200);
            expect((await sell(url, ticket)).status).toBe(200);
            expect(sales.executions()).toMatchObject([{ idempotencyKey: ticket }]);
        });
    });

    describe("when an operator sends requests", () => {
        it("returns its state and metrics, and drains (guards against an operator listener that is not connected to the process)", async () => {
            const router = await startRouter("h1");
            const operator = `http://${router.addresses.operator}`;
            expect(await (await fetch(`${operator}/state`)).json()).toMatchObject({
                hostId: "h1",
                board: { config: { version: 1 }, lifecycle: { ready: true } },
            });
            await chat(`http://${router.addresses.caller}`);
            expect(await (await fetch(`${operator}/metrics`)).json()).toMatchObject({ "gateway.complete": 1 });
            expect((await fetch(`${operator}/drain`, { method: "POST" })).status).toBe(202);
            expect(router.readReadiness()).toMatchObject({ ready: false, phase: "draining" });
            await router.drained;
        });
    });

    describe("when the program is run", () => {
        let folder: string;
        beforeEach(() => {
            folder = mkdtempSync(join(tmpdir(), "toucan-router-"));
        });
        afterEach(() => rmSync(folder, { recursive: true }));

        it("exits with 1 when a listener cannot be opened (guards against a process that hangs)", async () => {
            const file = join(folder, "settings.json");
            writeFileSync(file, JSON.stringify({ ...createSettings("h9"), operator: { host: "0.0.0.0", port: 0 } }));
            const child = spawn(process.execPath, [
                "--import",
                "tsx",
                "src/programs/toucanRouter.ts",
                "--settings",
                file,
            ], {
                stdio: "ignore",
            });
            expect(await new Promise(resolve => child.once("exit", resolve))).toBe(1);
        });

        it("finishes a stream after SIGTERM, closes its host record and exits with 0 (guards against interrupted requests)", async () => {
            const file = join(folder, "settings.json");
            writeFileSync(file, JSON.stringify(createSettings("h9")));
            const child = spawn(process.execPath, [
                "--import",
                "tsx",
                "src/programs/toucanRouter.ts",
                "--settings",
                file,
            ], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            const url = `http://${(await readFirstLine(child)).caller}`;
            await untilReady(url);
            const response = await chat(url, { stream: true, max_tokens: 60, metadata: { outputTokens: "60" } });
            const exitCode = new Promise<number | null>(resolve => child.once("exit", resolve));
            child.kill("SIGTERM");
            await vi.waitFor(async () => expect((await fetch(`${url}/readyz`)).status).toBe(503), { timeout: WaitMs });
            const text = await response.text();
            expect(text.match(/w\d+ /g)).toHaveLength(60);
            expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
            expect(await exitCode).toBe(0);
            const records = platform.objects.list("host/h9~", "", 10);
            expect(records).toMatchObject({ objects: [{ value: { state: "closed" } }] });
        });
    });

    describe("when the demo is run", () => {
        it("prints a caller URL that responds, and exits on Ctrl-C (guards against a demo that does not start)", async () => {
            const child = spawn(process.execPath, ["--import", "tsx", "src/programs/toucanDemo.ts"], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            let output = "";
            child.stdout.on("data", (chunk: Buffer) => {
                output += chunk.toString();
            });
            await vi.waitFor(() => expect(output).toContain("Ctrl-C stops"), { timeout: WaitMs });
            expect((await chat(/caller URL +(\S+)/.exec(output)![1]!)).status).toBe(200);
            const exitCode = new Promise<number | null>(resolve => child.once("exit", resolve));
            child.kill("SIGINT");
            expect(await exitCode).toBe(0);
        });
    });
});

async function readFirstLine(child: ChildProcess): Promise<{ caller: string; }> {
    for await (const chunk of child.stdout!) {
        return JSON.parse(String(chunk)) as { caller: string; };
    }
    throw new Error("the program ended without output");
}
