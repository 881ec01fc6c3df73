/** Command line of `toucanctl`, the operator tool: parses arguments, runs one command and renders its result. */
import yargs, { type Argv, type PositionalOptions } from "yargs";
import { type ExitCode, ExitCodes } from "../base/exitCodes.js";
import type { ControlCommand } from "./command.js";
import { applyCommand } from "./commands/apply.js";
import { auditCommand } from "./commands/audit.js";
import { balancesCommand } from "./commands/balances.js";
import { billsCommand } from "./commands/bills.js";
import { deleteCommand } from "./commands/delete.js";
import { diffCommand } from "./commands/diff.js";
import { drainCommand } from "./commands/drain.js";
import { explainCommand } from "./commands/explain.js";
import { getCommand } from "./commands/get.js";
import { historyCommand } from "./commands/history.js";
import { keysCommand } from "./commands/keys.js";
import { labelCommand } from "./commands/label.js";
import { refusalsCommand } from "./commands/refusals.js";
import { releaseCommand } from "./commands/release.js";
import { stateCommand } from "./commands/state.js";
import { statusCommand } from "./commands/status.js";
import { topupCommand } from "./commands/topup.js";
import { traceCommand } from "./commands/trace.js";
import { undoCommand } from "./commands/undo.js";
import { validateCommand } from "./commands/validate.js";
import type { ControlContext } from "./controlContext.js";
import { type OutputFormat, renderFailure, renderOutput } from "./render.js";

/** All commands, in the order in which the help text lists them. */
export const ControlCommands: readonly ControlCommand[] = [
    validateCommand,
    applyCommand,
    getCommand,
    deleteCommand,
    labelCommand,
    diffCommand,
    historyCommand,
    undoCommand,
    statusCommand,
    explainCommand,
    topupCommand,
    balancesCommand,
    billsCommand,
    auditCommand,
    releaseCommand,
    drainCommand,
    stateCommand,
    keysCommand,
    traceCommand,
    refusalsCommand,
];

/** Options that every command accepts. All but `output` override settings of the tool. */
export interface GlobalArguments {
    /** Path of the JSON settings file. */
    readonly settings: string | undefined;
    /** Base URL of the platform's object API. */
    readonly platform: string | undefined;
    /** Name of the operator in the change history. */
    readonly author: string | undefined;
    readonly output: OutputFormat;
}

/** Exit code and output of one run of the tool. */
export interface CliResult {
    readonly exitCode: ExitCode;
    readonly stdout: string;
    readonly stderr: string;
}

/** @returns The context in which a command runs, or an error message if the settings are invalid. */
export type ControlContextFactory = (args: GlobalArguments) => ControlContext | string;

/**
 * Parses one command line and runs its command. Invalid usage or settings give {@link ExitCodes.Usage}.
 * @param argv Arguments without the paths of Node.js and the script.
 * @param openContext Called only when a command runs, not for `--help`.
 */
export async function runCli(argv: readonly string[], openContext: ControlContextFactory): Promise<CliResult> {
    let result: CliResult | undefined;
    let parser = yargs([...argv]).scriptName("toucanctl").usage("$0 COMMAND\n\nOperates a toucanjunction fleet.")
        .option("settings", { type: "string", describe: "JSON settings file" })
        .option("platform", { type: "string", describe: "base URL of the platform's object API" })
        .option("author", { type: "string", describe: "name of the operator in the change history" })
        .option("output", { choices: ["table", "json"] as const, default: "table" as const, alias: "o" })
        .parserConfiguration({ "camel-case-expansion": false, "strip-aliased": true })
        .version(false).strict().demandCommand(1, "a command is needed").exitProcess(false);
    for (const command of ControlCommands) {
        parser = parser.command(
            command.command,
            command.describe,
            builder => addArguments(builder, command),
            async args => {
                const globals = args as unknown as GlobalArguments;
                const context = openContext(globals);
                result = typeof context === "string" ?
                    { exitCode: ExitCodes.Usage, stdout: "", stderr: `${context}\n` } :
                    await runCommand(command, context, args, globals.output);
            },
        ) as typeof parser;
    }
    return new Promise(resolve => {
        void parser.parseAsync([...argv], {}, (error, _args, output) => {
            if (error !== undefined && error !== null) {
                resolve({ exitCode: ExitCodes.Usage, stdout: "", stderr: `${output || error.message}\n` });
            }
            else {
                resolve(result ?? { exitCode: ExitCodes.Done, stdout: output === "" ? "" : `${output}\n`, stderr: "" });
            }
        });
    });
}

function addArguments(builder: Argv, command: ControlCommand): Argv {
    for (const [name, options] of Object.entries(command.positionals)) {
        builder.positional(name, options as PositionalOptions);
    }
    return builder.options(command.options);
}

async function runCommand(
    command: ControlCommand,
    context: ControlContext,
    args: Record<string, unknown>,
    format: OutputFormat,
): Promise<CliResult> {
    const result = await command.run(context, args);
    if (result.isErr) {
        return { exitCode: result.error.exitCode, stdout: "", stderr: renderFailure(result.error, format) };
    }
    const exitCode = result.value.exitCode ?? ExitCodes.Done;
    return { exitCode, stdout: renderOutput(result.value, format), stderr: "" };
}
