/** Shared startup and shutdown of the server programs: command line, settings, log, signals and exit codes. */
import type { LogLevels } from "consola";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { z } from "zod";
import { ExitCodes } from "./exitCodes.js";
import { configureLog, log } from "./log.js";
import { formatProblems, readSettings } from "./settings.js";

export { ExitCodes };

/** A started program. */
export interface RunningProgram {
    /** @returns The state that SIGUSR2 dumps; must be serializable as JSON. */
    dumpState(): unknown;
    /** Shuts down gracefully. The process then exits with code 0, or with code 1 if the promise rejects. */
    stop(): Promise<void>;
}

/** Description of a server program. */
export interface ProgramDescription<S extends z.ZodType> {
    /** Program name, as shown in help and log lines. */
    readonly name: string;
    /** One sentence for the help text. */
    readonly description: string;
    /** Schema of the settings file. */
    readonly schema: S;
    /** Starts the program; a rejection ends the process with code 1. */
    start(settings: z.infer<S>): Promise<RunningProgram>;
}

/**
 * Runs a server program until a termination signal.
 * SIGTERM and SIGINT shut down gracefully, SIGUSR2 writes the state to standard output as one line of JSON.
 * @param program Description of the program.
 */
export async function runProgram<S extends z.ZodType>(program: ProgramDescription<S>): Promise<void> {
    const options = await yargs(hideBin(process.argv))
        .scriptName(program.name)
        .usage(`$0 [options]\n\n${program.description}`)
        .option("settings", { type: "string", describe: "JSON settings file; defaults apply without one" })
        .option("check", { type: "boolean", default: false, describe: "check the settings and exit" })
        .option("log-level", { choices: ["error", "warn", "info", "debug"] as const, default: "info" as const })
        .option("log-format", { choices: ["text", "json"] as const, default: "text" as const })
        .strict()
        .fail((message, error) => {
            process.stderr.write(`${message ?? error.message}\n`);
            process.exit(ExitCodes.Usage);
        })
        .parseAsync();
    configureLog(options.logLevel as keyof typeof LogLevels, options.logFormat);

    const settings = readSettings(program.schema, options.settings);
    if (settings.isErr) {
        process.stderr.write(`${formatProblems(settings.error)}\n`);
        process.exitCode = ExitCodes.Usage;
        return;
    }
    if (options.check) {
        process.stdout.write("settings are valid\n");
        return;
    }
    try {
        handleSignals(program.name, await program.start(settings.value));
    }
    catch (error) {
        log.error(`${program.name} cannot start: ${(error as Error).message}`);
        process.exitCode = ExitCodes.Failed;
    }
}

function handleSignals(name: string, running: RunningProgram): void {
    process.on("SIGUSR2", () => process.stdout.write(`${JSON.stringify(running.dumpState())}\n`));
    let isStopping = false;
    const stop = async () => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        log.info(`${name} is shutting down`);
        try {
            await running.stop();
            process.exit(ExitCodes.Done);
        }
        catch (error) {
            log.error(`${name} failed to shut down: ${(error as Error).message}`);
            process.exit(ExitCodes.Failed);
        }
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
}
