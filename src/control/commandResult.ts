/** Results and failures of operator commands. */
import { Result } from "true-myth";
import { type ExitCode, ExitCodes } from "../base/exitCodes.js";

/** A table in human-readable output. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
}

/** Output of a successful command. */
export interface CommandOutput {
    /** Printed with `--output json`. */
    readonly value: unknown;
    /** Printed with `--output table`, before the text lines. */
    readonly table?: Table;
    /** Text lines that `--output table` prints after the table. */
    readonly lines?: readonly string[];
    /** Exit code when it is not {@link ExitCodes.Done}. */
    readonly exitCode?: ExitCode;
}

/** Exit code and message of a failed command. */
export interface CommandFailure {
    readonly exitCode: ExitCode;
    readonly message: string;
    /** Structured data about the failure, printed with `--output json`; conflicts are also printed as text. */
    readonly details?: unknown;
}

/** Output of a command, or its failure. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** @returns A failure with an exit code, a message for the operator and optional details. */
export function fail<T>(exitCode: ExitCode, message: string, details?: unknown): Result<T, CommandFailure> {
    return Result.err({ exitCode, message, ...(details === undefined ? {} : { details }) });
}

/** @returns The failure of a command that could not read or write the platform's store. */
export function storeUnavailable<T>(reason: string): Result<T, CommandFailure> {
    return fail(ExitCodes.StoreUnavailable, `the store is not available: ${reason}`);
}

/** @returns Both values, or the first of the failures. */
export function combineResults<A, B>(
    first: Result<A, CommandFailure>,
    second: Result<B, CommandFailure>,
): Result<readonly [A, B], CommandFailure> {
    return first.andThen(a => second.map(b => [a, b] as const));
}
