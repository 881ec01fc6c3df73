import { describe, expect, it } from "vitest";
import { ExitCodes } from "../../base/exitCodes.js";
import type { EdgeConfiguration, Route } from "../edgeTypes.js";
import { checkConfiguration } from "./configurationCheck.js";
import { compareConfigurations } from "./configurationDiff.js";
import { reportConfiguration } from "./configurationReport.js";

function route(name: string, overrides: Partial<Route> = {}): Route {
    return {
        name,
        host: "h.example",
        pathPrefix: `/${name}/`,
        kind: "idempotent",
        targets: [{ service: "app", weight: 1 }],
        timeoutMs: 600,
        objectiveMs: 120,
        priority: 0,
        maxAttempts: 1,
        isPublic: false,
        isGeneration: false,
        isResumable: false,
        ...overrides,
    };
}

function configuration(overrides: Partial<EdgeConfiguration> = {}): EdgeConfiguration {
    return {
        version: 2,
        routes: [route("status")],
        services: [{ name: "app", maxConnections: 10 }],
        teams: [{ name: "team-a", apiKeys: ["secret-a"], prepaidTokens: 1_000 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...overrides,
    };
}

const messagesOf = (checked: EdgeConfiguration): string[] =>
    checkConfiguration(checked).map(({ severity, kind, subject }) => `${severity} ${kind} ${subject}`);

describe("checkConfiguration", () => {
    describe("given a configuration that deployments use", () => {
        it("finds nothing (guards against findings that operators learn to ignore)", () => {
            expect(checkConfiguration(configuration())).toEqual([]);
        });
    });

    describe("given entries that can never match", () => {
        it.each<[string, Partial<EdgeConfiguration>, string]>([
            [
                "a second route with the same host and prefix",
                { routes: [route("status"), route("copy", { pathPrefix: "/status/" })] },
                "error unreachable route copy",
            ],
            ["a prefix without a slash", { routes: [route("a", { pathPrefix: "a/" })] }, "error unreachable route a"],
            ["a host with a port", { routes: [route("a", { host: "h.example:80" })] }, "error unreachable route a"],
            ["no key for any team", { teams: [{ name: "t", apiKeys: [] }] }, "error unreachable route status"],
            ["a key with a space", { teams: [{ name: "t", apiKeys: ["a b"] }] }, "error unreachable team t"],
            [
                "a service without routes",
                { services: [{ name: "app", maxConnections: 1 }, { name: "spare", maxConnections: 1 }] },
                "warning unreachable service spare",
            ],
        ])("reports %s (guards against a route that is served by another or by none)", (_name, overrides, expected) => {
            expect(messagesOf(configuration(overrides))).toContain(expected);
        });
    });

    describe("given values that exclude each other", () => {
        it.each<[string, Partial<Route>]>([
            ["an objective above the timeout", { objectiveMs: 900 }],
            ["a timeout of 0", { timeoutMs: 0 }],
            ["a pause objective above the timeout", { kind: "streaming", pauseObjectiveMs: 900 }],
            ["attempts of a request that runs once", { kind: "nonIdempotent", maxAttempts: 3 }],
            ["a plain request that may be resumed", { isResumable: true }],
            ["weights of 0", { targets: [{ service: "app", weight: 0 }] }],
        ])("reports %s (guards against limits that have no effect)", (_name, overrides) => {
            expect(checkConfiguration(configuration({ routes: [route("a", overrides)] })))
                .toMatchObject([{ kind: "contradiction", subject: "route a" }]);
        });

        it("reports timeouts and sizes of requests (guards against limits that another limit overrides)", () => {
            const limits = { ...configuration().limits, headerTimeoutMs: 20_000, maxHeaderBytes: 65_536 };
            expect(messagesOf(configuration({ limits }))).toEqual(Array(2).fill("warning contradiction limits"));
        });
    });

    describe("given entries that are not valid", () => {
        it("reports repeated names, undefined services and shared keys without the key (guards against a leaked key)", () => {
            const findings = checkConfiguration(configuration({
                routes: [route("a"), route("a", { pathPrefix: "/b/", targets: [{ service: "gone", weight: 1 }] })],
                teams: [{ name: "t", apiKeys: ["secret-a"] }, { name: "u", apiKeys: ["secret-a"] }],
            }));
            expect(findings.map(({ subject }) => subject)).toEqual(
                ["route a", "route a", "team t"],
            );
            expect(JSON.stringify(findings)).not.toContain("secret");
        });
    });

    describe("given thousands of routes", () => {
        it("reports each fault once (guards against a check that compares every pair)", () => {
            const routes = Array.from({ length: 3_000 }, (_, index) => route(`r${index}`));
            expect(checkConfiguration(configuration({ routes }))).toEqual([]);
            expect(checkConfiguration(configuration({ routes: [...routes, route("last", { pathPrefix: "/r7/" })] })))
                .toHaveLength(1);
        });
    });
});

describe("compareConfigurations", () => {
    it("lists what is added, removed and changed, and never API keys (guards against a change that is not seen)", () => {
        const proposed = configuration({
            routes: [route("status", { timeoutMs: 900 }), route("new")],
            services: [{ name: "other", maxConnections: 10 }],
            teams: [{ name: "team-a", apiKeys: ["secret-b", "secret-c"], prepaidTokens: 2_000 }],
        });
        const differences = compareConfigurations(configuration(), proposed);
        expect(differences).toEqual([
            { change: "removed", subject: "service app", fields: [] },
            { change: "added", subject: "service other", fields: [] },
            { change: "changed", subject: "route status", fields: ["timeoutMs: 600 -> 900"] },
            { change: "added", subject: "route new", fields: [] },
            {
                change: "changed",
                subject: "team team-a",
                fields: ["prepaidTokens: 1000 -> 2000", "API keys: 2 added, 1 removed"],
            },
        ]);
        expect(JSON.stringify(differences)).not.toContain("secret");
    });
});

describe("reportConfiguration", () => {
    it("fails for a version that hosts would ignore (guards against a change without effect)", () => {
        expect(reportConfiguration(configuration(), configuration({ version: 3 })).exitCode).toBe(ExitCodes.Failed);
        expect(reportConfiguration(configuration(), configuration({ version: 1 })).exitCode).toBeUndefined();
    });

    it("reports a configuration that cannot be read", () => {
        expect(reportConfiguration("routes: required", undefined)).toMatchObject({
            exitCode: ExitCodes.Failed,
            value: { errorCount: 1 },
        });
    });
});
