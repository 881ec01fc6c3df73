/** Top-ups and configuration edits during a chaos run, through the operator tool. */
import { setTimeout as sleep } from "node:timers/promises";
import { ExitCodes } from "../base/exitCodes.js";
import type { Random } from "../base/random.js";
import type { ChaosDeployment } from "./chaosDeployment.js";
import { chatRule, InitialPayments } from "./chaosResources.js";
import type { TopUpRecord } from "./chaosTypes.js";

/** Maximum number of attempts after the run to get a top-up acknowledged. */
const MaxTopUpAttempts = 5;

/** Runs operator commands and records the acknowledged top-ups. */
export class ChaosOperators {
    /** Acknowledged top-ups, with the payments before the run. */
    readonly topUps: TopUpRecord[] = Object.entries(InitialPayments).map(([budget, tokens]) => ({
        budget,
        tokens,
        operationId: `first-${budget}`,
    }));
    /** Number of commands by name and exit code. */
    readonly exits = new Map<string, number>();
    readonly #deployment: ChaosDeployment;
    readonly #random: Random;
    readonly #unacknowledged: TopUpRecord[] = [];
    #edits = 0;

    constructor(deployment: ChaosDeployment, random: Random) {
        this.#deployment = deployment;
        this.#random = random;
    }

    /** Runs commands until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        for (let count = 1; !signal.aborted; count++) {
            await sleep(1_000 + this.#random.integer(3_000));
            if (signal.aborted) {
                return;
            }
            if (this.#random.next() < 0.5) {
                await this.#topUp(this.#drawTopUp(count));
            }
            else {
                // In 30 % of the edits, two operators change the same rule concurrently.
                const editCount = this.#random.next() < 0.3 ? 2 : 1;
                await Promise.all(Array.from({ length: editCount }, () => this.#edit()));
            }
        }
    }

    /** Repeats top-ups whose result is unknown, each with its original operation id. */
    async finish(): Promise<void> {
        for (const topUp of this.#unacknowledged.splice(0)) {
            for (let attempt = 1; attempt <= MaxTopUpAttempts && !this.topUps.includes(topUp); attempt++) {
                await this.#topUp(topUp);
            }
        }
    }

    #drawTopUp(count: number): TopUpRecord {
        const isSmall = this.#random.next() < 0.7;
        const tokens = isSmall ? 200 + this.#random.integer(1_500) : 10_000;
        return { budget: isSmall ? "small" : "large", tokens, operationId: `top-up-${count}` };
    }

    async #topUp(topUp: TopUpRecord): Promise<void> {
        const { budget, tokens, operationId } = topUp;
        const exitCode = await this.#control("topup", budget, String(tokens), "--operation-id", operationId);
        (exitCode === ExitCodes.Done ? this.topUps : this.#unacknowledged).push(topUp);
    }

    async #edit(): Promise<void> {
        this.#edits++;
        const rule = chatRule(200 + this.#random.integer(100));
        const file = this.#deployment.writeJson(`edit-${this.#edits}.json`, [rule]);
        await this.#control("apply", "-f", file, "--operation-id", `edit-${this.#edits}`);
    }

    async #control(command: string, ...args: string[]): Promise<number> {
        const { exitCode } = await this.#deployment.control(command, ...args);
        const name = `${command}:${exitCode}`;
        this.exits.set(name, (this.exits.get(name) ?? 0) + 1);
        return exitCode;
    }
}
