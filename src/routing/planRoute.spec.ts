import { describe, expect, it } from "vitest";
import { parseSelector } from "../base/labels.js";
import { type ConfigResources, ResourceSchemas } from "../features/config/configTypes.js";
import { explainRoute, formatExplanation } from "./explainRoute.js";
import { listModels, planRoute } from "./planRoute.js";
import type { RouteQuery } from "./routePlan.js";

const { Team, Budget, Grant, RequestKind, Rule, Upstream } = ResourceSchemas;
const select = (text: string) => parseSelector(text)!;
const upstream = (labels: Record<string, string>, more: object) =>
    Upstream.parse({ labels, url: "http://127.0.0.1:1", ...more });

const resources: ConfigResources = {
    teams: new Map([
        ["suds", Team.parse({ labels: { app: "suds", team: "suds" } })],
        ["georgia", Team.parse({ labels: { app: "georgia" } })],
        ["unpaid", Team.parse({ labels: { app: "suds", team: "unpaid" } })],
    ]),
    budgets: new Map([
        ["b-suds", Budget.parse({ teams: select("team=suds") })],
        ["a-suds", Budget.parse({ teams: select("team in (suds,other)") })],
        ["z-georgia", Budget.parse({ teams: select("app=georgia") })],
    ]),
    grants: new Map([["storm", Grant.parse({ teams: select("app=georgia"), kinds: select("tier=crew") })]]),
    requestKinds: new Map([
        ["chat", RequestKind.parse({ labels: { tier: "crew" } })],
        ["report", RequestKind.parse({ class: "background", length: "long", deadlineMs: 60_000 })],
        ["order", RequestKind.parse({ class: "urgent", labels: { tier: "order" } })],
        ["lookup", RequestKind.parse({ class: "urgent", repeatable: true })],
    ]),
    rules: new Map([
        ["services", Rule.parse({ order: 5, services: ["dispatch"], upstreams: select("pool=dispatch") })],
        [
            "chat",
            Rule.parse({
                order: 10,
                defaultKind: "chat",
                models: ["m1", "m3"],
                upstreams: select("pool=a"),
                fallbackUpstreams: select("pool in (a,b)"),
            }),
        ],
        ["rest", Rule.parse({ order: 20, teams: select("app=georgia"), upstreams: select("pool=b") })],
    ]),
    upstreams: new Map([
        ["a1", upstream({ pool: "a" }, { models: ["m1"] })],
        ["a2", upstream({ pool: "a" }, { models: ["m1"], promptTokensPerByte: 2 })],
        ["b1", upstream({ pool: "b" }, { models: ["m1", "m2", "m3"] })],
        ["d1", upstream({ pool: "dispatch" }, { type: "service", service: "dispatch" })],
    ]),
};

const query = (more: Partial<RouteQuery>): RouteQuery => ({
    team: "suds",
    model: "m1",
    service: undefined,
    method: "POST",
    requestKind: undefined,
    grant: undefined,
    promptBytes: 100,
    messageCount: 1,
    maxOutputTokens: undefined,
    promptPrefix: undefined,
    ...more,
});
const plan = (more: Partial<RouteQuery>) =>
    planRoute(resources, query(more)).unwrapOrElse(code => {
        throw new Error(code);
    });
const refusal = (more: Partial<RouteQuery>) => planRoute(resources, query(more)).match({ Ok: () => "", Err: c => c });
const serviceCall = { model: undefined, service: "dispatch" };

describe("planRoute", () => {
    describe("when several rules match", () => {
        it("uses the rule with the lowest order, its kind and upstreams (guards against work on wrong upstreams)", () => {
            expect(plan({})).toMatchObject({
                rule: "chat",
                requestKind: "chat",
                candidates: ["a1", "a2"],
                fallbacks: ["b1"],
            });
            expect(plan({ team: "georgia", model: "m2" })).toMatchObject({ rule: "rest", candidates: ["b1"] });
        });
    });

    describe("when several budgets match", () => {
        it("charges the one with the lowest name (guards against hosts that charge different budgets)", () => {
            expect(plan({}).budget).toBe("a-suds");
            expect(plan({ team: "georgia" }).budget).toBe("z-georgia");
        });
    });

    describe("when something does not exist", () => {
        it("refuses with the code of what is missing (guards against one code for every cause)", () => {
            expect(refusal({ team: "nobody" })).toBe("UnknownKey");
            expect(refusal({ requestKind: "nothing" })).toBe("UnknownRequestKind");
            expect(refusal({ model: "m9", team: "georgia" })).toBe("UnknownModel");
            expect(refusal({ model: "m2" })).toBe("UnknownModel");
            expect(refusal({ ...serviceCall, service: "none" })).toBe("UnknownService");
            expect(refusal({ team: "unpaid" })).toBe("NoBudget");
        });
    });

    describe("when a grant is claimed", () => {
        it("accepts it only for the grant's teams and kinds (guards against priority without a grant)", () => {
            expect(plan({ team: "georgia", grant: "storm" }).grant).toBe("storm");
            expect(refusal({ grant: "storm" })).toBe("UnknownGrant");
            expect(refusal({ team: "georgia", requestKind: "report", grant: "storm" })).toBe("UnknownGrant");
            expect(refusal({ team: "georgia", grant: "other" })).toBe("UnknownGrant");
        });
    });

    describe("when a service is called", () => {
        it("allows only safe methods to be repeated unless the kind sets it (guards against doubled orders)", () => {
            const order = { ...serviceCall, requestKind: "order" };
            expect(plan({ ...serviceCall }).repeatable).toBe(false);
            expect(plan(order).repeatable).toBe(false);
            expect(plan({ ...order, method: "GET" }).repeatable).toBe(true);
            expect(plan({ ...serviceCall, requestKind: "lookup" }).repeatable).toBe(true);
            expect(plan(order)).toMatchObject({ costTokens: 1, promptTokens: 0, workClass: "urgent" });
        });
    });

    describe("the reservation", () => {
        it("covers the upstream with the most tokens per byte and the output limit (guards against overspend)", () => {
            expect(plan({ maxOutputTokens: 50 })).toMatchObject({
                promptTokens: 216,
                maxOutputTokens: 50,
                costTokens: 266,
            });
            expect(plan({ maxOutputTokens: 90_000 }).maxOutputTokens).toBe(1_024);
        });
    });

    describe("the length", () => {
        it("follows the kind, then the prompt and the caller's limit (guards against short work behind long work)", () => {
            expect(plan({}).long).toBe(false);
            expect(plan({ requestKind: "report" }).long).toBe(true);
            expect(plan({ promptBytes: 20_000 }).long).toBe(true);
            expect(plan({ maxOutputTokens: 2_000 }).long).toBe(true);
        });
    });

    describe("at target size", () => {
        it("plans without scanning all budgets (guards against latency that grows with the configuration)", () => {
            const large = largeResources();
            planRoute(large, query({ team: "t0" }));
            const startMs = performance.now();
            for (let index = 0; index < 1_000; index++) {
                expect(planRoute(large, query({ team: `t${index}` })).isOk).toBe(true);
            }
            expect((performance.now() - startMs) / 1_000).toBeLessThan(1);
        });
    });
});

describe("listModels", () => {
    it("lists the models that a rule offers to the team (guards against models that are listed but refused)", () => {
        expect(listModels(resources, "georgia")).toEqual(["m1", "m2", "m3"]);
        expect(listModels(resources, "suds")).toEqual(["m1", "m3"]);
        expect(listModels(resources, "nobody")).toEqual([]);
    });
});

describe("explainRoute", () => {
    it("names the rule, the budget and the upstream (guards against an explanation that differs from the plan)", () => {
        const statuses = new Map([["a1", { inFlight: 5 }]]);
        const explanation = explainRoute(resources, query({}), statuses);
        expect(explanation).toMatchObject({ upstream: "a2", budgets: ["a-suds", "b-suds"], plan: plan({}) });
        expect(explanation.rules.map(rule => rule.mismatch)).toEqual(["the model m1 is not listed", undefined]);
        expect(formatExplanation(explanation)).toContain("would go to a2");
    });

    it("chooses a fallback when no candidate is usable", () => {
        const statuses = new Map([["a1", { usable: false }], ["a2", { leaving: true }]]);
        expect(explainRoute(resources, query({}), statuses).upstream).toBe("b1");
    });

    it("shows the code of a refusal", () => {
        expect(formatExplanation(explainRoute(resources, query({ model: "m2" })))).toContain("UnknownModel (1002)");
    });
});

function largeResources(): ConfigResources {
    const numbers = (count: number) => Array.from({ length: count }, (_, index) => index);
    return {
        ...resources,
        teams: new Map(numbers(11_000).map(n => [`t${n}`, Team.parse({ labels: { team: `t${n}`, app: "x" } })])),
        budgets: new Map(
            numbers(41_000).map(n => [`b${n}`, Budget.parse({ teams: select(`app=x,team=t${n % 11_000}`) })]),
        ),
        rules: new Map(
            numbers(400).map(n => [`r${n}`, Rule.parse({ order: n, models: n === 399 ? [] : ["m7"], upstreams: {} })]),
        ),
    };
}
