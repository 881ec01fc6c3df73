/** Log of all requests that ran at an upstream stand-in, so that tests can count executions. */
import { z } from "zod";

/** One execution of a request. */
export const ExecutionSchema = z.object({
    requestId: z.string(),
    idempotencyKey: z.string().optional(),
    promptTokens: z.number().int().nonnegative(),
    outputTokens: z.number().int().nonnegative(),
    /** Priority that the request stated; 0 is the most urgent. */
    priority: z.number().int().nonnegative(),
    state: z.enum(["running", "complete", "cancelled", "failed"]),
});
/** One execution of a request. */
export type Execution = z.infer<typeof ExecutionSchema>;

/** Executions in the order of their start, and the highest fencing number of each idempotency key. */
export class ExecutionLog {
    readonly #executions: Execution[] = [];
    readonly #fencingNumbers = new Map<string, number>();

    /**
     * Adds a running execution.
     * @returns The new entry; the caller updates it as the request proceeds.
     */
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

    /** @returns All executions, in the order of their start. */
    all(): readonly Execution[] {
        return this.#executions;
    }

    /**
     * Compares a fencing number with the highest one of its key, and records it if it is higher.
     * @returns Whether the number is not higher, so that the dispatch must be refused.
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
