// Formats the sources with dprint's TypeScript plugin; with --check only lists files that are not formatted.
// The plugin runs in-process: the dprint command needs a binary per platform that not every registry mirror has.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const { lineWidth, indentWidth, newLineKind, typescript } = JSON.parse(readFileSync("dprint.json", "utf8"));
const checkOnly = process.argv.includes("--check");

const files = [
    ...readdirSync(".").filter(name => /\.(ts|mjs)$/.test(name)),
    ...["src", "platform", "test", "scripts"].filter(existsSync).flatMap(folder =>
        readdirSync(folder, { recursive: true }).filter(name => /\.(ts|mjs)$/.test(name)).map(name =>
            join(folder, name)
        )
    ),
];

const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);

let changedCount = 0;
for (const filePath of files) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        changedCount++;
        console.log(`${checkOnly ? "not formatted" : "formatted"}: ${filePath}`);
        if (!checkOnly) {
            writeFileSync(filePath, formatted);
        }
    }
}
process.exitCode = checkOnly && changedCount > 0 ? 1 : 0;
