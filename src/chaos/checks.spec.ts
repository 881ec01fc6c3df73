import { describe, expect, it } from "vitest";
import type { CallRecord, Evidence, HostBillLine, PropertyName, UpstreamExecution } from "./chaosTypes.js";
import { checkAll } from "./checks.js";

const Call: CallRecord = {
    kind: "stream",
    team: "large",
    budget: "large",
    key: undefined,
    body: "{}",
    hostId: "chaos-1",
    generation: 1,
    startMs: 1_000,
    endMs: 2_000,
    outcome: "complete",
    requestId: "r1",
    errorName: undefined,
    ran: undefined,
    replayed: false,
    answerIds: ["chatcmpl-r1"],
    done: true,
    contentChunks: 5,
    promptTokens: 10,
    outputTokens: 5,
    echo: undefined,
    executionNumber: undefined,
};

const Sale: CallRecord = {
    ...Call,
    kind: "sale",
    key: "k1",
    body: "card=1",
    requestId: "r2",
    answerIds: [],
    done: false,
    promptTokens: undefined,
    outputTokens: undefined,
    echo: "card=1",
    executionNumber: 1,
};

const Run: UpstreamExecution = {
    requestId: "r1",
    promptTokens: 10,
    outputTokens: 5,
    priority: 1,
    state: "complete",
    upstream: "engine-1",
};

const SaleRun: UpstreamExecution = {
    requestId: "r2",
    idempotencyKey: "k1",
    promptTokens: 0,
    outputTokens: 0,
    priority: 1,
    state: "complete",
    upstream: "till-1",
};

function line(requestId: string, tokens: number): HostBillLine {
    return {
        hostKey: "chaos-1~a",
        sequence: 1,
        atMs: 0,
        requestId,
        billId: requestId,
        team: "large",
        budget: "large",
        model: "assistant",
        promptTokens: 0,
        outputTokens: 0,
        tokens,
        requestKind: "chat",
        upstream: "engine-1",
        outcome: "complete",
    };
}

const Budget = { paidTokens: 100, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] };

const Clean: Evidence = {
    calls: [Call, Sale],
    executions: [Run, SaleRun],
    bills: [line("r1", 15), line("r2", 1)],
    budgets: { large: Budget },
    budgetSamples: [{ atMs: 0, budget: "large", object: Budget }],
    topUps: [{ budget: "large", tokens: 100, operationId: "a" }],
    shutdowns: [{ hostId: "chaos-1", generation: 1, signalledMs: 1_500, exitCode: 0 }],
    configSamples: [
        { hostId: "chaos-1", generation: 1, version: 2, atMs: 0 },
        { hostId: "chaos-1", generation: 2, version: 1, atMs: 1 },
    ],
    finalVersions: { "chaos-1": 2 },
    recordStates: { "chaos-1~a": "sealed", "chaos-1~b": "live", "chaos-2~c": "live" },
    storedVersion: 2,
    audit: { exitCode: 0, output: "" },
    inTransferTokens: {},
    balancerLagMs: 1_500,
};

function violated(changes: Partial<Evidence>): PropertyName[] {
    return [...new Set(checkAll({ ...Clean, ...changes }).map(violation => violation.property))];
}

function withBudget(changes: Partial<typeof Budget>): Partial<Evidence> {
    return { budgets: { large: { ...Budget, ...changes } } };
}

// Guards against checks of the chaos tool that pass for any evidence.
describe("checks of a chaos run", () => {
    it("accept evidence without faults", () => {
        expect(violated({})).toEqual([]);
    });

    describe("spending", () => {
        it("detects bills above the paid amount", () => {
            expect(violated({ bills: [...Clean.bills, line("r3", 90)] })).toEqual(["overspend"]);
        });

        it("detects charges above the paid amount", () => {
            expect(violated(withBudget({ closedTokens: 60, atRiskTokens: { "chaos-2~a": 50 } }))).toEqual([
                "overspend",
            ]);
        });

        it("detects delivered tokens above the paid amount", () => {
            const topUps = [{ budget: "large", tokens: 15, operationId: "a" }];
            expect(violated({ ...withBudget({ paidTokens: 15 }), topUps })).toEqual(["overspend"]);
        });

        it("detects that more tokens than paid were granted temporarily", () => {
            const object = { ...Budget, shares: { "chaos-1~a": { grantedTokens: 101, sequence: 1 } } };
            expect(violated({ budgetSamples: [{ atMs: 0, budget: "large", object }] })).toEqual(["overspend"]);
        });

        it("detects a top-up that was applied twice", () => {
            expect(violated(withBudget({ paidTokens: 200 }))).toEqual(["topUpOnce"]);
        });
    });

    describe("executions", () => {
        it("detects a key that ran twice", () => {
            expect(violated({ executions: [Run, SaleRun, { ...SaleRun, requestId: "r9" }] })).toEqual(["atMostOnce"]);
        });

        it("detects a sale without a key", () => {
            const executions = [Run, { ...SaleRun, idempotencyKey: undefined }];
            expect(violated({ executions })).toEqual(["atMostOnce"]);
        });

        it("detects a refused request that ran", () => {
            const refused: CallRecord = { ...Sale, outcome: "refused", ran: "no" };
            expect(violated({ calls: [Call, refused], bills: [line("r1", 15)] })).toEqual(["refusedNotRun"]);
        });

        it("detects a refused request that was billed", () => {
            const refused: CallRecord = { ...Sale, outcome: "refused", ran: "no" };
            expect(violated({ calls: [Call, refused], executions: [Run] })).toEqual(["refusedNotRun"]);
        });
    });

    describe("responses", () => {
        it("detects the response to another chat", () => {
            expect(violated({ calls: [{ ...Call, answerIds: ["chatcmpl-r7"] }, Sale] })).toEqual(["ownAnswer"]);
        });

        it("detects a stream with the chunks of two responses", () => {
            const answerIds = ["chatcmpl-r1", "chatcmpl-r7"];
            expect(violated({ calls: [{ ...Call, answerIds }, Sale] })).toEqual(["ownAnswer"]);
        });

        it("detects the response to another sale", () => {
            expect(violated({ calls: [Call, { ...Sale, echo: "card=2" }] })).toEqual(["ownAnswer"]);
        });

        it("detects a replay that belongs to another key", () => {
            const replay: CallRecord = {
                ...Call,
                kind: "keyedChat",
                key: "k9",
                replayed: true,
                requestId: "r8",
                done: false,
            };
            expect(violated({ calls: [Call, Sale, replay] })).toEqual(["ownAnswer"]);
        });

        it("detects a cut stream with [DONE]", () => {
            const cut: CallRecord = { ...Call, outcome: "cut", errorName: "UpstreamTimeout" };
            expect(violated({ calls: [cut, Sale] })).toEqual(["cutWithoutDone"]);
        });

        it("detects [DONE] in a stream without all of its content", () => {
            expect(violated({ calls: [{ ...Call, contentChunks: 4 }, Sale] })).toEqual(["cutWithoutDone"]);
        });
    });

    describe("shutdowns", () => {
        it("detects a stream whose connection broke", () => {
            expect(violated({ calls: [{ ...Call, outcome: "broken", done: false }, Sale] })).toEqual([
                "gracefulShutdown",
            ]);
        });

        it("detects a stream that the router cut although its upstream continued", () => {
            const cut: CallRecord = { ...Call, outcome: "cut", done: false, errorName: "StreamCut" };
            expect(violated({ calls: [cut, Sale] })).toEqual(["gracefulShutdown"]);
        });

        it("accepts a stream whose upstream died", () => {
            const cut: CallRecord = { ...Call, outcome: "cut", done: false, errorName: "StreamCut" };
            expect(violated({ calls: [cut, Sale], executions: [{ ...Run, state: "failed" }, SaleRun] })).toEqual([]);
        });

        it("detects an exit code other than 0", () => {
            const shutdowns = [{ ...Clean.shutdowns[0]!, exitCode: 1 }];
            expect(violated({ shutdowns })).toEqual(["gracefulShutdown"]);
        });
    });

    describe("bills", () => {
        it("detects a request that is billed twice", () => {
            expect(violated({ bills: [...Clean.bills, line("r1", 15)] })).toEqual(["billedOnce"]);
        });

        it("detects a wrong amount", () => {
            expect(violated({ bills: [line("r1", 14), line("r2", 1)] })).toEqual(["billedOnce"]);
        });

        it("detects a request without a bill line", () => {
            expect(violated({ bills: [line("r2", 1)] })).toEqual(["billedOnce"]);
        });

        it("accepts a request without a bill line that an at-risk amount of its host covers", () => {
            const budget = withBudget({ atRiskTokens: { "chaos-1~a": 15 } });
            expect(violated({ ...budget, bills: [line("r2", 1)] })).toEqual([]);
        });

        it("detects an at-risk amount that does not cover the requests", () => {
            const budget = withBudget({ atRiskTokens: { "chaos-1~a": 14, "chaos-2~a": 9 } });
            expect(violated({ ...budget, bills: [line("r2", 1)] })).toEqual(["billedOnce"]);
        });

        it("accepts tokens in transfer for what the at-risk amount does not cover, and not more", () => {
            const budget = withBudget({ atRiskTokens: { "chaos-1~a": 9 } });
            const changes = { ...budget, bills: [line("r2", 1)] };
            expect(violated({ ...changes, inTransferTokens: { large: 6 } })).toEqual([]);
            expect(violated({ ...changes, inTransferTokens: { large: 5 } })).toEqual(["billedOnce"]);
            expect(violated({ ...changes, inTransferTokens: { other: 6 } })).toEqual(["billedOnce"]);
        });

        it("counts a bill and its reversal as no bill", () => {
            const reversal: HostBillLine = { ...line("r1", -15), outcome: "reversal" };
            expect(violated({ bills: [...Clean.bills, reversal] })).toEqual(["billedOnce"]);
        });

        describe("of a key whose bill was reversed", () => {
            const reversal: HostBillLine = { ...line("r2", -1), outcome: "reversal" };
            const broken: CallRecord = { ...Sale, hostId: "chaos-2", outcome: "broken", requestId: "" };
            const changes = { calls: [Call, broken, Sale], bills: [...Clean.bills, reversal], shutdowns: [] };

            it("accepts the at-risk amount of the dead host that holds the key", () => {
                const budget = withBudget({ atRiskTokens: { "chaos-2~a": 1 } });
                expect(violated({ ...budget, ...changes })).toEqual([]);
            });

            it("detects that no host which was called is charged", () => {
                const budget = withBudget({ atRiskTokens: { "chaos-3~a": 1 } });
                expect(violated({ ...budget, ...changes })).toEqual(["billedOnce"]);
            });
        });

        it("detects a failed audit", () => {
            expect(violated({ audit: { exitCode: 1, output: "1 findings" } })).toEqual(["audit"]);
        });
    });

    it("detect the record of a dead process that is not sealed", () => {
        const recordStates = { "chaos-1~a": "live", "chaos-1~b": "live" };
        expect(violated({ recordStates })).toEqual(["deadHostsClosed"]);
    });

    describe("configuration", () => {
        it("detects a process that returned to an older version", () => {
            const configSamples = Clean.configSamples.map(sample => ({ ...sample, generation: 1 }));
            expect(violated({ configSamples })).toEqual(["configNeverReverts"]);
        });

        it("detects a router that has an older version at the end", () => {
            expect(violated({ finalVersions: { "chaos-1": 2, "chaos-2": 1 } })).toEqual(["configEqual"]);
        });
    });
});
