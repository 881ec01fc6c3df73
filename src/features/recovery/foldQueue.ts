/** Applies folds to budget objects: one at a time per budget, each repeated until the object shows that it is done. */
import type { Counters } from "../../base/counters.js";
import type { ReadOutcome, StoredObject, WriteOutcome } from "../../platform/platformStore.js";
import { type BudgetObject, BudgetObjectSchema } from "../budget/budgetTypes.js";

/** Computes the changed budget object, again for each version of it; `undefined` means that nothing is left to do. */
export type Fold = (object: BudgetObject) => BudgetObject | undefined;

/** Store calls of a {@link FoldQueue}. */
export interface FoldStoreCalls {
    /** Reads a budget object; the result goes to {@link FoldQueue.handleReadResult}. */
    readonly readBudget: (budget: string) => void;
    /** Writes a budget object at a version; the result goes to {@link FoldQueue.handleWriteResult}. */
    readonly writeBudget: (budget: string, value: BudgetObject, expectedVersion: number) => void;
}

/** A fold that is not done. */
interface FoldTask {
    readonly id: string;
    readonly budget: string;
    readonly fold: Fold;
    readonly requiresConfirmation: boolean;
    inFlight: boolean;
    /** Earliest monotonic time of the next attempt in milliseconds. */
    notBeforeMs: number;
}

/** Queue of the folds that are waiting or in flight. */
export class FoldQueue {
    readonly #calls: FoldStoreCalls;
    readonly #counters: Counters;
    readonly #retryMs: number;
    readonly #tasks = new Map<string, FoldTask>();
    /** The fold that is being applied, by budget. */
    readonly #runningByBudget = new Map<string, FoldTask>();

    constructor(calls: FoldStoreCalls, counters: Counters, retryMs: number) {
        this.#calls = calls;
        this.#counters = counters;
        this.#retryMs = retryMs;
    }

    /** @returns Number of folds that are not done. */
    get size(): number {
        return this.#tasks.size;
    }

    /**
     * Adds a fold.
     * @param id Identity of the fold; the same fold is not queued twice.
     * @param requiresConfirmation Whether a fold that finds nothing left to do must be confirmed by a conditional write,
     * because plain reads may be stale.
     */
    add(id: string, budget: string, fold: Fold, requiresConfirmation: boolean): void {
        if (!this.#tasks.has(id)) {
            const notBeforeMs = Number.NEGATIVE_INFINITY;
            this.#tasks.set(id, { id, budget, fold, requiresConfirmation, inFlight: false, notBeforeMs });
        }
    }

    /**
     * Starts waiting folds and repeats failed ones.
     * @param concurrency Maximum number of folds in flight.
     */
    startDueFolds(concurrency: number, nowMs: number): void {
        for (const task of this.#tasks.values()) {
            const running = this.#runningByBudget.get(task.budget);
            if (running === undefined && this.#runningByBudget.size < concurrency) {
                this.#runningByBudget.set(task.budget, task);
            }
            if (this.#runningByBudget.get(task.budget) === task && !task.inFlight && nowMs >= task.notBeforeMs) {
                task.inFlight = true;
                this.#calls.readBudget(task.budget);
            }
        }
    }

    /** Handles the result of a read. */
    handleReadResult(budget: string, outcome: ReadOutcome, nowMs: number): void {
        const task = this.#runningByBudget.get(budget);
        if (task === undefined) {
            return;
        }
        if (outcome.status === "unavailable") {
            this.#delay(task, nowMs);
        }
        else {
            this.#applyFold(task, outcome.status === "found" ? outcome.object : undefined, !task.requiresConfirmation);
        }
    }

    /** Handles the result of a write. */
    handleWriteResult(budget: string, outcome: WriteOutcome, nowMs: number): void {
        const task = this.#runningByBudget.get(budget);
        if (task === undefined) {
            return;
        }
        if (outcome.status === "applied") {
            this.#counters.add("recovery.folds");
            this.#finish(task);
        }
        else if (outcome.status === "conflict") {
            this.#applyFold(task, outcome.current, true);
        }
        else {
            // If this write takes effect late, the next one conflicts, and the fold then finds nothing left to do.
            this.#delay(task, nowMs);
        }
    }

    #applyFold(task: FoldTask, stored: StoredObject | undefined, isCurrent: boolean): void {
        const parsed = BudgetObjectSchema.safeParse(stored?.value);
        const folded = parsed.success ? task.fold(parsed.data) : undefined;
        if (folded !== undefined) {
            this.#calls.writeBudget(task.budget, folded, stored!.version);
        }
        else if (!isCurrent && parsed.success) {
            // Rewriting the value unchanged succeeds only if the read was current.
            this.#calls.writeBudget(task.budget, parsed.data, stored!.version);
        }
        else {
            this.#finish(task);
        }
    }

    #delay(task: FoldTask, nowMs: number): void {
        task.inFlight = false;
        task.notBeforeMs = nowMs + this.#retryMs;
    }

    #finish(task: FoldTask): void {
        this.#tasks.delete(task.id);
        this.#runningByBudget.delete(task.budget);
    }
}
