import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it, vi } from "vitest";
import { PlannedStopFixture, type PlannedStopOptions } from "../standins/router/plannedStopFixture.js";

/** What a caller gets whose request was not begun: it goes on at another host at once, on a new connection. */
const NotBegun = {
    status: 503,
    headers: expect.objectContaining({ connection: "close", "retry-after": "0" }),
    error: "ShuttingDown ran=no",
    isWhole: true,
};

describe("a planned stop of a router", () => {
    let fixture: PlannedStopFixture;
    afterEach(() => fixture.stop());
    const start = async (options: PlannedStopOptions = {}): Promise<PlannedStopFixture> => {
        fixture = new PlannedStopFixture(options);
        await fixture.start();
        return fixture;
    };

    describe("given a caller on a kept connection that sends after the signal", () => {
        it("does not begin a stream that cannot end (guards against accepted streams that are cut)", async () => {
            const { router } = await start();
            const caller = fixture.createCaller();
            await fixture.observeStreams(caller);
            const executedCount = fixture.chatExecutionCount;
            const stopped = router.stop();
            expect(await caller.chat(400, { stream: true }).answer).toMatchObject(NotBegun);
            await stopped;
            expect(fixture.chatExecutionCount).toBe(executedCount);
        });

        it("serves a stream that can end (guards against refusals without need while the balancer lags)", async () => {
            const { router } = await start({ shutdownTimeoutMs: 8_000 });
            const caller = fixture.createCaller();
            await fixture.observeStreams(caller);
            const stopped = router.stop();
            const answer = await caller.chat(50, { stream: true }).answer;
            expect(answer).toMatchObject({
                status: 200,
                wordCount: 50,
                isWhole: true,
                headers: { connection: "close" },
            });
            await stopped;
        });

        it("does not begin a JSON response that cannot end (guards against answers that are lost)", async () => {
            const { router } = await start();
            const caller = fixture.createCaller();
            const stopped = router.stop();
            expect(await caller.chat(400).answer).toMatchObject(NotBegun);
            await stopped;
            expect(fixture.chatExecutionCount).toBe(0);
        });

        it("does not begin a sale that may outlast the stop (guards against sales whose outcome is unknown)", async () => {
            const { router, sales } = await start({ sales: { serviceTimeMs: 4_000 } });
            const caller = fixture.createCaller();
            await caller.send("GET", "/v1/models", "").answer;
            const stopped = router.stop();
            expect(await caller.sell("sale-1").answer).toMatchObject(NotBegun);
            await stopped;
            expect(sales.executions()).toHaveLength(0);
        });

        it("serves a sale whose longest duration fits (guards against refusals without need)", async () => {
            const { router } = await start({ gateway: { connectTimeoutMs: 200, answerTimeoutMs: 500 } });
            const caller = fixture.createCaller();
            const stopped = router.stop();
            expect(await caller.sell("sale-1").answer).toMatchObject({ status: 200, isWhole: true });
            await stopped;
        });

        it("refuses at once after the lag of the balancer (guards against callers that stay at a stopping host)", async () => {
            const { router } = await start({ shutdownTimeoutMs: 8_000 });
            const open = fixture.createCaller().chat(200, { stream: true });
            await open.head;
            const caller = fixture.createCaller();
            const kept = caller.chat(130, { stream: true });
            await kept.head;
            const stopped = router.stop();
            expect(await kept.answer).toMatchObject({ status: 200, isWhole: true });
            expect(await caller.send("GET", "/v1/models", "").answer).toMatchObject(NotBegun);
            expect(await caller.sell("sale-1").answer).toMatchObject(NotBegun);
            expect(await open.answer).toMatchObject({ wordCount: 200, isWhole: true });
            await stopped;
        });

        it("judges a request by the end of its body (guards against late bodies that begin work without time)", async () => {
            const { router, sales } = await start({
                gateway: { connectTimeoutMs: 200, answerTimeoutMs: 1_000 },
                sales: { serviceTimeMs: 900 },
            });
            const sent = fixture.createCaller().send("POST", "/services/sales/buy", "10", {
                "idempotency-key": "sale-1",
            }, 7);
            await delay(50);
            const stopped = router.stop();
            await delay(1_700);
            sent.finish(" tokens");
            expect(await sent.answer).toMatchObject(NotBegun);
            await stopped;
            expect(sales.executions()).toHaveLength(0);
        });
    });

    describe("given requests that were read before the signal", () => {
        it("refuses those that wait for an upstream too long (guards against waits that end in a cut)", async () => {
            const { router } = await start({ maxInFlightPerUpstream: 1 });
            const callers = Array.from({ length: 4 }, () => fixture.createCaller());
            await fixture.observeStreams(callers[0]!);
            const sent = callers.map(caller => caller.chat(100, { stream: true }));
            await vi.waitFor(() => expect(router.kernel.board.lifecycle.requestsInFlight).toBe(4));
            const stopped = router.stop();
            const answers = await Promise.all(sent.map(request => request.answer));
            await stopped;
            const refused = answers.filter(({ status }) => status !== 200);
            expect(answers).toHaveLength(refused.length + 1);
            for (const answer of refused) {
                expect(answer).toMatchObject(NotBegun);
                expect(answer.durationMs).toBeLessThan(1_500);
            }
        });

        it("does not resend after a failure that leaves too little time (guards against resends that are cut)", async () => {
            const { router, engines } = await start({ engines: [{}, {}], gateway: { hedgeAfterMs: 0 } });
            const caller = fixture.createCaller();
            await fixture.observeStreams(caller);
            const executedCount = fixture.chatExecutionCount;
            engines.forEach(engine =>
                engine.setFaults({ lateRequests: 1, lateMs: 1_000, dyingRequests: 1, dieAfterTokens: 0 })
            );
            const sent = caller.chat(240, { stream: true });
            await vi.waitFor(() => expect(router.kernel.board.lifecycle.requestsInFlight).toBe(1));
            const stopped = router.stop();
            const answer = await sent.answer;
            await stopped;
            expect(answer).toMatchObject({ isWhole: true, error: "UpstreamFailed ran=unknown" });
            expect(fixture.chatExecutionCount - executedCount).toBe(1);
            expect(answer.durationMs).toBeLessThan(2_000);
        });

        it("does not begin a hedge that cannot end (guards against second sends that are cut)", async () => {
            const { router, engines } = await start({
                engines: [{}, {}],
                gateway: { hedgeAfterMs: 1_500 },
                hedgeMinDelayMs: 1_500,
            });
            const caller = fixture.createCaller();
            await fixture.observeStreams(caller);
            const executedCount = fixture.chatExecutionCount;
            engines.forEach(engine => engine.setFaults({ silentRequests: 1 }));
            const sent = caller.chat(200, { stream: true });
            await vi.waitFor(() => expect(fixture.chatExecutionCount - executedCount).toBe(1), {
                interval: 2,
            });
            const stopped = router.stop();
            await sent.answer;
            await stopped;
            expect(fixture.chatExecutionCount - executedCount).toBe(1);
        });

        it("tells the caller of a stream that is cut (guards against connections that are only reset)", async () => {
            const { router } = await start();
            const sent = fixture.createCaller().chat(600, { stream: true });
            await sent.head;
            const stopped = router.stop();
            const answer = await sent.answer;
            await stopped;
            expect(answer).toMatchObject({ status: 200, isWhole: false });
            expect(answer).toMatchObject({ error: "ShuttingDown ran=yes" });
            expect(answer.wordCount).toBeGreaterThan(100);
        });

        it("answers a request that it cannot complete (guards against no answer, and a 503 for work that may have run)", async () => {
            const { router } = await start({ sales: { serviceTimeMs: 6_000 } });
            const chat = fixture.createCaller().chat(600);
            const sale = fixture.createCaller().sell("sale-1");
            const halfRead = fixture.createCaller().send("POST", "/services/sales/buy", "1", {}, 10);
            await vi.waitFor(() => expect(fixture.chatExecutionCount + fixture.sales.executions().length).toBe(2));
            const stopped = router.stop();
            for (const { answer } of [chat, sale]) {
                expect(await answer).toMatchObject({
                    status: 502,
                    isWhole: true,
                    error: "UpstreamFailed ran=unknown",
                });
            }
            expect(await halfRead.answer).toMatchObject(NotBegun);
            await stopped;
        });

        it("settles what it cut and returns its shares (guards against tokens that a stop leaves at risk)", async () => {
            const { router, platform } = await start();
            const sent = fixture.createCaller().chat(600, { stream: true });
            await sent.head;
            await router.stop();
            await sent.answer;
            expect(platform.objects.list("host/h1~", "", 10)).toMatchObject({
                objects: [{ value: { state: "closed" } }],
            });
            expect(platform.objects.get("budget/cork-2026")).toMatchObject({ object: { value: { shares: {} } } });
        });

        it("ends within the timeout of the stop (guards against a kill before the last steps)", async () => {
            const { router } = await start();
            const sent = fixture.createCaller().chat(600, { stream: true });
            await sent.head;
            const startedAtMs = performance.now();
            await router.stop();
            expect(performance.now() - startedAtMs).toBeLessThan(3_100);
        });
    });

    describe("given a drain by an operator", () => {
        it("has no end of requests until a signal sets one (guards against streams that a drain cuts)", async () => {
            const { router } = await start();
            const sent = fixture.createCaller().chat(400, { stream: true });
            await sent.head;
            router.drain();
            expect(await sent.answer).toMatchObject({ wordCount: 400, isWhole: true });
            await router.drained;
        });

        it("judges by the end that a later signal sets (guards against a drain that hides the signal)", async () => {
            const { router } = await start({ shutdownTimeoutMs: 4_000 });
            const caller = fixture.createCaller();
            await fixture.observeStreams(caller);
            const open = fixture.createCaller().chat(150, { stream: true });
            await open.head;
            const executedCount = fixture.chatExecutionCount;
            router.drain();
            await delay(200);
            const stopped = router.stop();
            expect(await caller.chat(400, { stream: true }).answer).toMatchObject(NotBegun);
            expect(await open.answer).toMatchObject({ wordCount: 150, isWhole: true });
            await stopped;
            expect(fixture.chatExecutionCount).toBe(executedCount);
        });
    });
});
