/** Record of everything that ran at an upstream stand-in, so that tests can count it. */
import { z } from "zod";

/** One execution. */
export const ExecutionSchema = z.object({
    requestId: z.string(),
    idempotencyKey: z.string().optional(),
    promptTokens: z.number().int().nonnegative(),
    outputTokens: z.number().int().nonnegative(),
    /** Priority that the request asked for; 0 is the most urgent. */
    priority: z.number().int().nonnegative(),
    state: z.enum(["running", "complete", "cancelled", "failed"]),
});
export type Execution = z.infer<typeof ExecutionSchema>;

/** Executions in the order of their start. */
export class ExecutionLog {
    readonly #executions: Execution[] = [];
    readonly #fencingNumbers = new Map<string, number>();

    /** @returns The new entry; its owner updates it. */
    start(requestId: string, idempotencyKey: string | undefined, promptTokens: number, priority: number): Execution {
        const execution: Execution = {
            requestId,
            idempotencyKey,
            promptTokens,
            outputTokens: 0,
            priority,
            state: "running",
        };
        this.#executions.push(execution);
        return execution;
    }

    /** @returns All executions. */
    all(): readonly Execution[] {
        return this.#executions;
    }

    /**
     * Remembers the highest fencing number of each key.
     * @returns Whether the number is old and the dispatch is to be refused.
     */
    checkFencing(idempotencyKey: string, fencingNumber: number): boolean {
        const highest = this.#fencingNumbers.get(idempotencyKey) ?? Number.NEGATIVE_INFINITY;
        if (fencingNumber <= highest) {
            return true;
        }
        this.#fencingNumbers.set(idempotencyKey, fencingNumber);
        return false;
    }
}
