import { describe, expect, it } from "vitest";
import type { EdgeConfiguration, Route } from "../edgeTypes.js";
import { chooseService, RouteTable } from "./routeTable.js";

const route = (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route => ({
    name,
    host: "h.example",
    pathPrefix,
    kind: "idempotent",
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
    isGeneration: false,
    isResumable: false,
    ...changes,
});

const configuration = (routes: Route[]): EdgeConfiguration => ({
    version: 3,
    routes,
    services: [{ name: "s", maxConnections: 10 }],
    teams: [{ name: "t", apiKeys: ["k1", "k2"], prepaidTokens: 5 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

describe("RouteTable", () => {
    const table = new RouteTable(configuration([route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")]));

    describe("given several routes whose prefixes match a path", () => {
        it("finds the one with the longest prefix", () => {
            expect(table.findRoute("h.example", "/a/b/x")?.name).toBe("long");
            expect(table.findRoute("h.example", "/a/bx")?.name).toBe("short");
        });
    });

    describe("given a host with a port or in upper case", () => {
        it("ignores both", () => {
            expect(table.findRoute("H.example:8080", "/c/")?.name).toBe("other");
        });
    });

    describe("given a path, host or key that is not configured", () => {
        it("finds nothing (guards against requests to services that no configuration names)", () => {
            expect(table.findRoute("h.example", "/a")).toBeUndefined();
            expect(table.findRoute("x.example", "/a/")).toBeUndefined();
            expect(table.findTeamByApiKey("unknown")).toBeUndefined();
        });
    });

    describe("given several keys of a team", () => {
        it("finds the team by each", () => {
            expect(table.findTeamByApiKey("k2")?.name).toBe("t");
        });
    });
});

describe("chooseService", () => {
    describe("given a route that is split between services", () => {
        it("follows the weights", () => {
            const split = route("r", "/", { targets: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
            expect(chooseService(split, 0.89)).toBe("a");
            expect(chooseService(split, 0.91)).toBe("b");
        });

        it("chooses a service even when all weights are zero", () => {
            expect(chooseService(route("r", "/", { targets: [{ service: "a", weight: 0 }] }), 0.5)).toBe("a");
        });
    });
});
