/** Definition of commands of the operator tool. */
import type { InferredOptionTypes, Options } from "yargs";
import type { CommandResult } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";

/** Options or positional arguments of a command, by name. */
export type OptionTable = Record<string, Options>;

/** A command with its arguments in the form that yargs takes. */
export interface ControlCommand {
    /** Name and positional arguments in yargs notation, for example `get <kind> [name]`. */
    readonly command: string;
    /** One-line description for the help text. */
    readonly describe: string;
    readonly positionals: OptionTable;
    readonly options: OptionTable;
    readonly run: (context: ControlContext, args: Record<string, unknown>) => Promise<CommandResult>;
}

/** Defines a command whose `run` receives arguments typed by `positionals` and `options`. */
export function defineCommand<P extends OptionTable, O extends OptionTable>(definition: {
    readonly command: string;
    readonly describe: string;
    readonly positionals: P;
    readonly options: O;
    readonly run: (context: ControlContext, args: InferredOptionTypes<P & O>) => Promise<CommandResult>;
}): ControlCommand {
    const run: ControlCommand["run"] = (context, args) =>
        definition.run(context, args as unknown as InferredOptionTypes<P & O>);
    return { ...definition, run };
}

/** Options of all commands that change stored data. */
export const OperationOptions = {
    "operation-id": {
        type: "string",
        describe: "id of the operation; if the outcome of a command is unknown, repeat it with the same id",
    },
} as const satisfies OptionTable;

/** @returns The given operation id, or a new random one. */
export function resolveOperationId(context: ControlContext, given: string | undefined): string {
    return given ?? `op-${context.random.hex(24)}`;
}
