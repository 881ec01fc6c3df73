/** Results of operator commands. */
import { Result } from "true-myth";
import { type ExitCode, ExitCodes } from "../base/exitCodes.js";

/** A table for people. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
}

/** What a command prints. */
export interface CommandOutput {
    /** Printed with `--output json`. */
    readonly value: unknown;
    /** Printed otherwise; text lines come after the table. */
    readonly table?: Table;
    readonly lines?: readonly string[];
    /** Exit code when it is not {@link ExitCodes.Done}. */
    readonly exitCode?: ExitCode;
}

/** Why a command failed. */
export interface CommandFailure {
    readonly exitCode: ExitCode;
    readonly message: string;
    readonly details?: unknown;
}

/** Result of a command. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** @returns A failed result. */
export function fail<T>(exitCode: ExitCode, message: string, details?: unknown): Result<T, CommandFailure> {
    return Result.err({ exitCode, message, ...(details === undefined ? {} : { details }) });
}

/** @returns The result of a command that could not read the store. */
export function storeUnavailable<T>(reason: string): Result<T, CommandFailure> {
    return fail(ExitCodes.StoreUnavailable, `the store is not available: ${reason}`);
}

/** @returns Both values, or the first failure. */
export function combineResults<A, B>(
    first: Result<A, CommandFailure>,
    second: Result<B, CommandFailure>,
): Result<readonly [A, B], CommandFailure> {
    return first.andThen(a => second.map(b => [a, b] as const));
}
