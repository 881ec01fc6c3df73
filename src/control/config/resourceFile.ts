/** Reads files of configuration resources. */
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { type CommandFailure, fail } from "../commandResult.js";
import { type FileResource, parseResourceFile } from "./resourceSet.js";
import { formatProblem } from "./validation.js";

/**
 * Reads and checks a file of resources. An unreadable file is a usage failure; invalid resources are listed in the failure.
 * @param path File path; `-` reads standard input.
 */
export function readResourceFile(path: string): Result<FileResource[], CommandFailure> {
    let contents: unknown;
    try {
        contents = JSON.parse(readFileSync(path === "-" ? 0 : path, "utf8"));
    }
    catch (error) {
        return fail(ExitCodes.Usage, `cannot read ${path}: ${(error as Error).message}`);
    }
    return parseResourceFile(contents).mapErr(problems => ({
        exitCode: ExitCodes.Failed,
        message: `${path} is invalid:\n${problems.map(formatProblem).join("\n")}`,
        details: problems,
    }));
}
