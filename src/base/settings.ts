/** Reading and checking of JSON settings. */
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { z } from "zod";

/** A problem in a settings file. */
export interface SettingsProblem {
    /** Path of the bad field, for example `caller.port`; empty for the file itself. */
    readonly path: string;
    readonly message: string;
}

/**
 * Checks a value against a schema.
 * @param schema Schema with defaults.
 * @param value Parsed JSON.
 * @returns The settings with defaults filled in, or every problem found.
 */
export function checkSettings<S extends z.ZodType>(
    schema: S,
    value: unknown,
): Result<z.infer<S>, SettingsProblem[]> {
    const checked = schema.safeParse(value);
    if (checked.success) {
        return Result.ok(checked.data);
    }
    return Result.err(checked.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })));
}

/**
 * Reads a settings file.
 * @param schema Schema with defaults.
 * @param path File path; `undefined` uses the defaults alone.
 * @returns The settings, or every problem found.
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
