/** Common code of the commands that edit the configuration. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { OperationOptions, type OptionTable, resolveOperationId } from "../command.js";
import type { CommandFailure, CommandResult } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { waitUntilInForce } from "../fleetStatus.js";
import { commitEdits, type CommitResult, type EditRequest } from "./changeCommit.js";

/** Options of all commands that edit the configuration. */
export const EditOptions = {
    ...OperationOptions,
    message: { type: "string", alias: "m", default: "", describe: "reason, kept in the history" },
    wait: { type: "boolean", default: false, describe: "wait until the version is in force on every host" },
    "wait-timeout-ms": { type: "number", default: 30_000, describe: "maximum wait in milliseconds" },
} as const satisfies OptionTable;

/** Values of {@link EditOptions}. */
export interface EditArguments {
    readonly "operation-id": string | undefined;
    readonly message: string;
    readonly wait: boolean;
    readonly "wait-timeout-ms": number;
}

/** A command's own warnings about an edit, and its check of the commit. */
export interface EditChecks {
    /** Printed with the commit; `plan` may add to them. */
    readonly warnings: readonly string[];
    /** @returns A failure if the commit does not contain the edits of the command. */
    readonly checkCommit: (commit: CommitResult) => CommandFailure | undefined;
}

/**
 * Commits the edits of a command and, with `--wait`, waits until they are in force.
 * @param plan Computes the edits from the current resources.
 */
export async function runEdit(
    context: ControlContext,
    args: EditArguments,
    plan: EditRequest["plan"],
    checks?: EditChecks,
): Promise<CommandResult> {
    const committed = await commitEdits(context, {
        operationId: resolveOperationId(context, args["operation-id"]),
        mayHaveBeenSent: args["operation-id"] !== undefined,
        message: args.message,
        plan,
    });
    if (committed.isErr) {
        return Result.err(committed.error);
    }
    const failure = checks?.checkCommit(committed.value);
    return failure === undefined ?
        reportCommit(context, args, committed.value, checks?.warnings) :
        Result.err(failure);
}

/**
 * Reports a commit. With `--wait`, first waits until its version is in force on every host; hosts on which it is not are
 * reported with {@link ExitCodes.Failed}.
 */
export async function reportCommit(
    context: ControlContext,
    args: EditArguments,
    commit: CommitResult,
    warnings: readonly string[] = [],
): Promise<CommandResult> {
    const names = commit.edits.map(({ kind, name }) => `${kind}/${name}`);
    const value = { status: commit.status, version: commit.version, changed: names, warnings };
    const lines = [
        ...warnings.map(warning => `warning: ${warning}`),
        ...names.map(name => `changed ${name}`),
        `${commit.status}: version ${commit.version}`,
    ];
    if (!args.wait) {
        return Result.ok({ value, lines });
    }
    const behind = await waitUntilInForce(context, commit.version, args["wait-timeout-ms"]);
    if (behind.isErr) {
        return Result.err(behind.error);
    }
    const notInForce = behind.value.map(({ hostId, configVersion }) => ({ hostId, configVersion }));
    if (notInForce.length === 0) {
        return Result.ok({ value: { ...value, notInForce }, lines: [...lines, "in force on every host"] });
    }
    const hostLines = notInForce.map(host => `not in force on ${host.hostId}: version ${host.configVersion}`);
    const exitCode = ExitCodes.Failed;
    return Result.ok({ value: { ...value, notInForce }, lines: [...lines, ...hostLines], exitCode });
}
