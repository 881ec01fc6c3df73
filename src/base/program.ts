/** Common frame of the server programs: command line, settings, log, signals, exit codes. */
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
    /** @returns State for the dump. */
    dumpState(): unknown;
    /** Shuts down gracefully; the process exits with code 0 afterwards. */
    stop(): Promise<void>;
}

/** Description of a server program. */
export interface ProgramDescription<S extends z.ZodType> {
    readonly name: string;
    readonly description: string;
    readonly schema: S;
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
    let stopping = false;
    const stop = async () => {
        if (stopping) {
            return;
        }
        stopping = true;
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
