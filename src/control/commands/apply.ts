/** The command `toucanctl apply`. */
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
 * Maximum size of the resources in one batch of a split change, in bytes of JSON. It leaves capacity for the replaced
 * values in the change, and does not depend on them, so that a repeated command forms the same batches.
 */
const MaxBatchBytes = MaxChangeBytes * 0.45;
/** Order of kinds in a split change, because selectors may use only labels that resources already have. */
const KindOrder = ["Team", "RequestKind", "Upstream", "Budget", "Grant", "Rule"];

/** Creates or replaces the resources of a file, as one version or, with `--split`, as several. */
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
            const edits = createEdits(set, file.value);
            warnings.push(...validateResources(set.withEdits(edits)).warnings.map(formatProblem));
            return Result.ok(edits);
        };
        const checkCommit = (commit: CommitResult): CommandFailure | undefined =>
            checkOperationIdReuse(commit, file.value);
        return args.split ?
            applyInBatches(context, args, file.value) :
            runEdit(context, args, plan, { warnings, checkCommit });
    },
});

/** Commits the resources as several versions; batch N has the operation id `ID.N`. Stops at the first failure. */
async function applyInBatches(
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
    for (const [index, batch] of splitIntoBatches(resources).entries()) {
        const committed = await commitEdits(context, {
            operationId: `${operationId}.${index}`,
            mayHaveBeenSent: args["operation-id"] !== undefined,
            message: args.message,
            plan: set => Result.ok(createEdits(set, batch)),
        });
        if (committed.isErr) {
            return Result.err(committed.error);
        }
        const reused = checkOperationIdReuse(committed.value, batch);
        if (reused !== undefined) {
            return Result.err(reused);
        }
        last = committed.value;
        edits.push(...last.edits);
    }
    return reportCommit(context, args, { ...last, edits });
}

/** @returns A conflict if an operation id was used before with other resources. */
function checkOperationIdReuse(commit: CommitResult, resources: readonly FileResource[]): CommandFailure | undefined {
    const isSame = commit.status !== "repeated" ||
        commit.edits.every(edit =>
            resources.some(({ kind, name, spec }) =>
                kind === edit.kind && name === edit.name && isDeepStrictEqual(spec, edit.after)
            )
        );
    const message = `the operation id belongs to a different change, version ${commit.version}`;
    return isSame ? undefined : { exitCode: ExitCodes.Conflict, message };
}

function createEdits(set: ResourceSet, resources: readonly FileResource[]): ResourceEdit[] {
    return resources.map(({ kind, name, spec }) => editOf(set, kind, name, spec));
}

function splitIntoBatches(resources: readonly FileResource[]): FileResource[][] {
    const sorted = [...resources].sort((a, b) => KindOrder.indexOf(a.kind) - KindOrder.indexOf(b.kind));
    const batches: FileResource[][] = [];
    let batchBytes = MaxBatchBytes;
    for (const resource of sorted) {
        const bytes = Buffer.byteLength(JSON.stringify(resource)) + 1;
        if (batchBytes + bytes > MaxBatchBytes) {
            batches.push([]);
            batchBytes = 0;
        }
        batches.at(-1)!.push(resource);
        batchBytes += bytes;
    }
    return batches;
}
