/** The command `toucanctl diff`. */
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { readChanges } from "../../features/config/configSnapshot.js";
import type { ResourceEdit } from "../../features/config/configTypes.js";
import { defineCommand } from "../command.js";
import { type CommandFailure, type CommandResult, fail, storeUnavailable } from "../commandResult.js";
import { loadResourceSet } from "../config/changeCommit.js";
import { readResourceFile } from "../config/resourceFile.js";
import { editOf } from "../config/resourceSet.js";
import type { ControlContext } from "../controlContext.js";

/** Shows the edits that applying a file would make, or the edits between two versions. */
export const diffCommand = defineCommand({
    command: "diff",
    describe: "show how a file differs from the configuration, or how two versions differ",
    positionals: {},
    options: {
        file: { type: "string", alias: "f", describe: "JSON file; - reads standard input" },
        from: { type: "number", describe: "older version" },
        to: { type: "number", describe: "newer version; the newest one when absent" },
    },
    run: async (context, args) => {
        if ((args.file === undefined) === (args.from === undefined)) {
            return fail(ExitCodes.Usage, "either --file or --from is needed");
        }
        const edits = args.file === undefined ?
            await diffVersions(context, args.from!, args.to) :
            await diffFile(context, args.file);
        return edits.isErr ? Result.err(edits.error) : printDiff(edits.value);
    },
});

async function diffFile(context: ControlContext, path: string): Promise<Result<ResourceEdit[], CommandFailure>> {
    const file = readResourceFile(path);
    if (file.isErr) {
        return Result.err(file.error);
    }
    const base = await loadResourceSet(context);
    return base.map(({ set }) => file.value.map(({ kind, name, spec }) => editOf(set, kind, name, spec)));
}

async function diffVersions(
    context: ControlContext,
    from: number,
    to: number | undefined,
): Promise<Result<ResourceEdit[], CommandFailure>> {
    const changes = await readChanges(context.store, from, to);
    if (changes.isErr) {
        return storeUnavailable(changes.error);
    }
    const edits = new Map<string, ResourceEdit>();
    for (const edit of changes.value.flatMap(change => change.changes)) {
        const id = `${edit.kind}/${edit.name}`;
        const first = edits.get(id);
        edits.set(id, first === undefined ? edit : { ...edit, before: first.before });
    }
    return Result.ok([...edits.values()]);
}

function printDiff(edits: readonly ResourceEdit[]): CommandResult {
    const changed = edits.filter(({ before, after }) => !isDeepStrictEqual(before ?? undefined, after ?? undefined));
    const lines = changed.flatMap(({ kind, name, before, after }) => [
        `${kind}/${name}`,
        ...fieldLines(before as Record<string, unknown> ?? {}, after as Record<string, unknown> ?? {}),
    ]);
    return Result.ok({ value: changed, lines: lines.length === 0 ? ["no differences"] : lines });
}

function fieldLines(before: Record<string, unknown>, after: Record<string, unknown>): string[] {
    const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return fields.filter(field => !isDeepStrictEqual(before[field], after[field])).flatMap(field => [
        ...before[field] === undefined ? [] : [`  - ${field}: ${JSON.stringify(before[field])}`],
        ...after[field] === undefined ? [] : [`  + ${field}: ${JSON.stringify(after[field])}`],
    ]);
}
