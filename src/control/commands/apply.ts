/** `toucanctl apply`. */
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import type { ResourceEdit } from "../../features/config/configTypes.js";
import { defineCommand, resolveOperationId } from "../command.js";
import type { CommandFailure, CommandResult } from "../commandResult.js";
import { commitEdits, type CommitResult, loadResourceSet, MaxChangeBytes } from "../config/changeCommit.js";
import { type EditArguments, EditOptions, reportCommit, runEdit } from "../config/editCommand.js";
import { readResourceFile } from "../config/resourceFile.js";
import { editOf, type FileResource, type ResourceSet } from "../config/resourceSet.js";
import { formatProblem, validateResources } from "../config/validation.js";
import type { ControlContext } from "../controlContext.js";

/**
 * Size of the resources in a part of a split change. It leaves room for the values that they replace, and does not
 * depend on them, so that a repeated command forms the same parts.
 */
const PartBytes = MaxChangeBytes * 0.45;
/** Order of the parts: selectors may use only labels that are already carried. */
const KindOrder = ["Team", "RequestKind", "Upstream", "Budget", "Grant", "Rule"];

export const applyCommand = defineCommand({
    command: "apply",
    describe: "create or replace the resources of a file as one new version",
    positionals: {},
    options: {
        file: { type: "string", alias: "f", demandOption: true, describe: "JSON file; - reads standard input" },
        split: { type: "boolean", default: false, describe: "commit a large file as several versions" },
        ...EditOptions,
    },
    run: async (context, args) => {
        const file = readResourceFile(args.file);
        if (file.isErr) {
            return Result.err(file.error);
        }
        const warnings: string[] = [];
        const plan = (set: ResourceSet): Result<ResourceEdit[], CommandFailure> => {
            const edits = editsOf(set, file.value);
            warnings.push(...validateResources(set.withEdits(edits)).warnings.map(formatProblem));
            return Result.ok(edits);
        };
        const checkCommit = (commit: CommitResult): CommandFailure | undefined => checkReuse(commit, file.value);
        return args.split ?
            applyInParts(context, args, file.value) :
            runEdit(context, args, plan, { warnings, checkCommit });
    },
});

async function applyInParts(
    context: ControlContext,
    args: EditArguments,
    resources: readonly FileResource[],
): Promise<CommandResult> {
    const base = await loadResourceSet(context);
    if (base.isErr) {
        return Result.err(base.error);
    }
    const operationId = resolveOperationId(context, args["operation-id"]);
    const edits: ResourceEdit[] = [];
    let last: CommitResult = { status: "unchanged", version: base.value.loaded.version, edits: [] };
    for (const [index, part] of splitParts(resources).entries()) {
        const committed = await commitEdits(context, {
            operationId: `${operationId}.${index}`,
            mayHaveBeenSent: args["operation-id"] !== undefined,
            message: args.message,
            plan: set => Result.ok(editsOf(set, part)),
        });
        if (committed.isErr) {
            return Result.err(committed.error);
        }
        const reused = checkReuse(committed.value, part);
        if (reused !== undefined) {
            return Result.err(reused);
        }
        last = committed.value;
        edits.push(...last.edits);
    }
    return reportCommit(context, args, { ...last, edits });
}

/** A repeated operation id must come with the file of the first time. */
function checkReuse(commit: CommitResult, resources: readonly FileResource[]): CommandFailure | undefined {
    const isSame = commit.status !== "repeated" ||
        commit.edits.every(edit =>
            resources.some(({ kind, name, spec }) =>
                kind === edit.kind && name === edit.name && isDeepStrictEqual(spec, edit.after)
            )
        );
    const message = `the operation id belongs to a different change, version ${commit.version}`;
    return isSame ? undefined : { exitCode: ExitCodes.Conflict, message };
}

function editsOf(set: ResourceSet, resources: readonly FileResource[]): ResourceEdit[] {
    return resources.map(({ kind, name, spec }) => editOf(set, kind, name, spec));
}

function splitParts(resources: readonly FileResource[]): FileResource[][] {
    const sorted = [...resources].sort((a, b) => KindOrder.indexOf(a.kind) - KindOrder.indexOf(b.kind));
    const parts: FileResource[][] = [];
    let partBytes = PartBytes;
    for (const resource of sorted) {
        const bytes = Buffer.byteLength(JSON.stringify(resource)) + 1;
        if (partBytes + bytes > PartBytes) {
            parts.push([]);
            partBytes = 0;
        }
        parts.at(-1)!.push(resource);
        partBytes += bytes;
    }
    return parts;
}
