import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import type { z } from "zod";
import { sha256Hex } from "../base/hashing.js";
import { checkSettings } from "../base/settings.js";
import { RouterSettingsSchema } from "../router/routerSettings.js";
import { planRoute } from "../routing/planRoute.js";
import { PlatformSettingsSchema } from "../standins/platform/platformSettings.js";
import { UpstreamStandInSettingsSchema } from "../standins/upstream/upstreamSettings.js";
import { editOf, parseResourceFile, ResourceSet } from "./config/resourceSet.js";
import { validateResources } from "./config/validation.js";
import { ControlSettingsSchema } from "./controlSettings.js";

const read = (...path: string[]): unknown => JSON.parse(readFileSync(join("examples", ...path), "utf8"));

function settingsIn<S extends z.ZodType>(schema: S, ...folder: string[]): z.infer<S>[] {
    return readdirSync(join("examples", ...folder)).map(name =>
        checkSettings(schema, read(...folder, name)).unwrapOrElse(problems => {
            throw new Error(`${name}: ${JSON.stringify(problems)}`);
        })
    );
}

function resourcesOf(name: string): ResourceSet {
    const empty = ResourceSet.of({ resources: [] });
    const file = parseResourceFile(read(name, "resources.json")).unwrapOrElse(problems => {
        throw new Error(JSON.stringify(problems));
    });
    return empty.withEdits(file.map(({ kind, name: resource, spec }) => editOf(empty, kind, resource, spec)));
}

describe.each(["suds", "georgia"])("the example %s", name => {
    const resources = resourcesOf(name).toConfigResources();
    const query = (team: string, target: { model: string; } | { service: string; }, method = "POST") => ({
        team,
        model: undefined,
        service: undefined,
        ...target,
        method,
        requestKind: undefined,
        grant: undefined,
        promptBytes: 100,
        messageCount: 1,
        maxOutputTokens: undefined,
        promptPrefix: undefined,
    });

    it("passes validation without errors or warnings (guards against an example that cannot be applied)", () => {
        expect(validateResources(resourcesOf(name))).toEqual({ errors: [], warnings: [] });
    });

    it("has settings that the programs accept, with one upstream process per resource", () => {
        expect(settingsIn(RouterSettingsSchema, name, "routers")).toHaveLength(6);
        expect(checkSettings(PlatformSettingsSchema, read(name, "platform.json")).isOk).toBe(true);
        expect(checkSettings(ControlSettingsSchema, read(name, "toucanctl.json")).isOk).toBe(true);
        const ports = settingsIn(UpstreamStandInSettingsSchema, name, "upstreams").map(({ port }) => String(port))
            .sort();
        expect([...resources.upstreams.values()].map(({ url }) => new URL(url).port).sort()).toEqual(ports);
    });

    it("has the keys that its page names", () => {
        for (const [team, { keyHashes }] of resources.teams) {
            expect(keyHashes).toEqual([sha256Hex(`${name}-${team}-example-key`)]);
        }
    });

    it("serves every team and does not repeat calls with side effects (guards against duplicate sales and orders)", () => {
        const [model, service] = name === "suds" ? ["assistant", "till"] : ["advisory", "dispatch"];
        for (const team of resources.teams.keys()) {
            const chat = planRoute(resources, query(team, { model: model! }));
            expect(chat.isOk && chat.value.candidates).toHaveLength(8);
            const call = planRoute(resources, query(team, { service: service! }));
            expect(call.isOk && call.value).toMatchObject({ repeatable: false, workClass: "urgent" });
        }
    });
});
