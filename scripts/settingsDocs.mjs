// Writes docs/settings.md from the settings schemas of the programs; with --check only compares. Needs a build.
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { ControlSettingsSchema } from "../dist/control/controlSettings.js";
import { EdgeSettingsSchema } from "../dist/edge/edgeSettings.js";
import { RouterSettingsSchema } from "../dist/router/routerSettings.js";
import { PlatformSettingsSchema } from "../dist/standins/platform/platformSettings.js";
import { UpstreamStandInSettingsSchema } from "../dist/standins/upstream/upstreamSettings.js";

const DocumentPath = join("docs", "settings.md");

/** Reads the doc comments of fields in the settings and types files of a folder. Returns them by field name. */
function readComments(folder) {
    const comments = new Map();
    for (const name of readdirSync(folder).filter(entry => /(Settings|Types)\.ts$/.test(entry))) {
        const source = readFileSync(join(folder, name), "utf8");
        for (const [, text, field] of source.matchAll(/\/\*\* ([^*]*?) \*\/\s*(\w+): /g)) {
            comments.set(field, text.replace(/\s+/g, " "));
        }
    }
    return comments;
}

/** Returns the folder whose comments describe the field at a path of the router's settings. */
function routerFolder(path) {
    if (path[0] === "features") {
        return join("src", "features", path[1]);
    }
    return join("src", path[0] === "peer" || path[0] === "gateway" ? path[0] : "router");
}

/** Returns the type and bounds of a JSON schema as text. */
function describeType(schema) {
    if (schema.enum !== undefined) {
        return schema.enum.join(", ");
    }
    const type = schema.type ?? schema.anyOf?.map(describeType).join(" or ") ?? "any";
    const lowerBound = schema.exclusiveMinimum === undefined ? schema.minimum : `more than ${schema.exclusiveMinimum}`;
    const bounded = Math.abs(schema.minimum ?? 0) < Number.MAX_SAFE_INTEGER && lowerBound !== undefined;
    const upperBound = schema.maximum === undefined || schema.maximum >= Number.MAX_SAFE_INTEGER ?
        "" :
        ` to ${schema.maximum}`;
    return bounded ?
        `${type} (${lowerBound}${
            upperBound === "" && schema.exclusiveMinimum === undefined ? " or more" : upperBound
        })` :
        type;
}

/** Returns one table row per field, nested fields included. */
function renderRows(schema, path, folderOf) {
    return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
        const fieldPath = [...path, name];
        if (field.properties !== undefined) {
            return renderRows(field, fieldPath, folderOf);
        }
        const folder = folderOf(fieldPath);
        const value = name === "hostId" ? "the machine's name" : JSON.stringify(field.default) ?? "none";
        return [
            `| \`${fieldPath.join(".")}\` | ${describeType(field)} | ${value} | ${
                field.description ?? readComments(folder).get(name) ?? ""
            } |`,
        ];
    });
}

/** Returns the lines of a heading and the table of a settings schema. */
function renderSection(title, schema, folderOf) {
    const json = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
    const tableHeader = [`## ${title}`, "", "| field | type | default | meaning |", "| --- | --- | --- | --- |"];
    return [...tableHeader, ...renderRows(json, [], folderOf), ""];
}

const text = [
    "# Settings",
    "",
    "Written by `npm run docs` from the schemas. Settings are a JSON file (`--settings FILE`); `--check` checks it and exits.",
    "Unknown fields are refused, and an error names the path of the field.",
    "",
    ...renderSection("toucan-router", RouterSettingsSchema, routerFolder),
    ...renderSection("toucan-edge", EdgeSettingsSchema, () => join("src", "edge")),
    ...renderSection("toucanctl", ControlSettingsSchema, () => join("src", "control")),
    ...renderSection("toucan-platform", PlatformSettingsSchema, () => join("src", "standins", "platform")),
    ...renderSection("toucan-upstream", UpstreamStandInSettingsSchema, () => join("src", "standins", "upstream")),
].join("\n");

if (process.argv.includes("--check")) {
    const isCurrent = readFileSync(DocumentPath, "utf8") === text;
    console.log(isCurrent ? "docs/settings.md is current" : "docs/settings.md is out of date: run npm run docs");
    process.exitCode = isCurrent ? 0 : 1;
}
else {
    writeFileSync(DocumentPath, text);
}
