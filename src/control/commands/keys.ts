/** The command `toucanctl keys`. */
import { Result } from "true-myth";
import { sha256Hex } from "../../base/hashing.js";
import { defineCommand } from "../command.js";

/** Hexadecimal digits of a key. */
const KeyDigits = 48;

/** Generates a random API key and its SHA-256; nothing is stored. */
export const keysCommand = defineCommand({
    command: "keys <action>",
    describe: "generate a random API key; only its SHA-256 belongs in the configuration",
    positionals: { action: { type: "string", demandOption: true, choices: ["new"] } },
    options: {},
    run: context => {
        const key = `tj-${context.random.hex(KeyDigits)}`;
        const sha256 = sha256Hex(key);
        return Promise.resolve(Result.ok({ value: { key, sha256 }, lines: [`key:     ${key}`, `SHA-256: ${sha256}`] }));
    },
});
