/** The command `toucanctl validate`. */
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import { defineCommand } from "../command.js";
import { loadResourceSet } from "../config/changeCommit.js";
import { readResourceFile } from "../config/resourceFile.js";
import { editOf, ResourceSet } from "../config/resourceSet.js";
import { findNewErrors, formatProblem, validateResources } from "../config/validation.js";

/** Checks a file against the stored configuration, or on its own, without changing anything. */
export const validateCommand = defineCommand({
    command: "validate",
    describe: "check a file against the configuration in the store",
    positionals: {},
    options: {
        file: { type: "string", alias: "f", demandOption: true, describe: "JSON file; - reads standard input" },
        offline: { type: "boolean", default: false, describe: "check the file on its own" },
    },
    run: async (context, args) => {
        const file = readResourceFile(args.file);
        if (file.isErr) {
            return Result.err(file.error);
        }
        const base = args.offline ?
            Result.ok({ set: ResourceSet.of({ resources: [] }) }) :
            await loadResourceSet(context);
        if (base.isErr) {
            return Result.err(base.error);
        }
        const { set } = base.value;
        const edits = file.value.map(({ kind, name, spec }) => editOf(set, kind, name, spec));
        const report = validateResources(set.withEdits(edits));
        const errors = findNewErrors(validateResources(set), report);
        const lines = [
            ...errors.map(problem => `error: ${formatProblem(problem)}`),
            ...report.warnings.map(problem => `warning: ${formatProblem(problem)}`),
            `${file.value.length} resources, ${errors.length} errors, ${report.warnings.length} warnings`,
        ];
        const exitCode = errors.length > 0 ? ExitCodes.Failed : ExitCodes.Done;
        return Result.ok({ value: { errors, warnings: report.warnings }, lines, exitCode });
    },
});
