/** The tests that `KNOWN-RED.txt` lists: each must fail, so that the fix of a fault also removes its entry. */
import { existsSync, readFileSync } from "node:fs";
import type { RunnerTask } from "vitest";

const ListPath = "KNOWN-RED.txt";

/** First line of an entry that names a test: file, suites and test, joined by {@link NameSeparator}. */
const EntryLine = /^test: (.+)$/gm;
const NameSeparator = " > ";

/** @returns Full names of the listed tests. */
export function readKnownRed(): ReadonlySet<string> {
    const text = existsSync(ListPath) ? readFileSync(ListPath, "utf8") : "";
    return new Set([...text.matchAll(EntryLine)].map(match => match[1]!.trim()));
}

/** @returns Name of a test as an entry writes it. */
export function fullNameOf(task: RunnerTask): string {
    const names = [task.name];
    for (let suite = task.suite; suite !== undefined; suite = suite.suite) {
        names.unshift(suite.name);
    }
    return [task.file.name, ...names].join(NameSeparator);
}
