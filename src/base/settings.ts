/** Reads and validates JSON settings. */
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { z } from "zod";

/** A problem in a settings file. */
export interface SettingsProblem {
    /** Path of the invalid field, for example `caller.port`; empty for the file itself. */
    readonly path: string;
    readonly message: string;
}

/**
 * Validates a value against a schema.
 * @param schema Schema with defaults.
 * @param value Parsed JSON.
 * @returns The settings with defaults filled in, or every problem found.
 */
export function checkSettings<S extends z.ZodType>(
    schema: S,
    value: unknown,
): Result<z.infer<S>, SettingsProblem[]> {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Result.ok(parsed.data);
    }
    return Result.err(parsed.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })));
}

/**
 * Reads and validates a settings file.
 * @param schema Schema with defaults.
 * @param path File path; `undefined` uses the defaults alone.
 * @returns The settings, or every problem found. A file that cannot be read or is not JSON is one problem.
 */
export function readSettings<S extends z.ZodType>(
    schema: S,
    path: string | undefined,
): Result<z.infer<S>, SettingsProblem[]> {
    if (path === undefined) {
        return checkSettings(schema, {});
    }
    let parsed: unknown;
    try {
        parsed = JSON.parse(readFileSync(path, "utf8"));
    }
    catch (error) {
        return Result.err([{ path: "", message: `cannot read ${path}: ${(error as Error).message}` }]);
    }
    return checkSettings(schema, parsed);
}

/** @returns One line per problem, with the path of the field. */
export function formatProblems(problems: readonly SettingsProblem[]): string {
    return problems.map(problem => problem.path === "" ? problem.message : `${problem.path}: ${problem.message}`)
        .join("\n");
}
