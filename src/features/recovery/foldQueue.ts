/** Applies folds to budget objects: one at a time per budget, each repeated until the object shows it as done. */
import type { Counters } from "../../base/counters.js";
import type { ReadOutcome, StoredObject, WriteOutcome } from "../../platform/platformStore.js";
import { type BudgetObject, BudgetObjectSchema } from "../budget/budgetTypes.js";

/** A change of a budget object that is computed anew from each version; `undefined` means that nothing is left to do. */
export type Fold = (object: BudgetObject) => BudgetObject | undefined;

/** Store calls of a {@link FoldQueue}. */
export interface FoldStoreCalls {
    readonly readBudget: (budget: string) => void;
    readonly writeBudget: (budget: string, value: BudgetObject, expectedVersion: number) => void;
}

interface Task {
    readonly id: string;
    readonly budget: string;
    readonly fold: Fold;
    readonly isConfirmed: boolean;
    inFlight: boolean;
    notBeforeMs: number;
}

/** Folds that are waiting or in flight. */
export class FoldQueue {
    readonly #calls: FoldStoreCalls;
    readonly #counters: Counters;
    readonly #retryMs: number;
    readonly #tasks = new Map<string, Task>();
    readonly #running = new Map<string, Task>();

    constructor(calls: FoldStoreCalls, counters: Counters, retryMs: number) {
        this.#calls = calls;
        this.#counters = counters;
        this.#retryMs = retryMs;
    }

    /** @returns Folds that are not done. */
    get size(): number {
        return this.#tasks.size;
    }

    /**
     * @param id Identity of the fold; the same fold is not queued twice.
     * @param isConfirmed Whether nothing is left to do only when a conditional write shows it: plain reads may be stale.
     */
    add(id: string, budget: string, fold: Fold, isConfirmed: boolean): void {
        if (!this.#tasks.has(id)) {
            const notBeforeMs = Number.NEGATIVE_INFINITY;
            this.#tasks.set(id, { id, budget, fold, isConfirmed, inFlight: false, notBeforeMs });
        }
    }

    /** Starts or repeats folds. */
    startDueFolds(concurrency: number, nowMs: number): void {
        for (const task of this.#tasks.values()) {
            const running = this.#running.get(task.budget);
            if (running === undefined && this.#running.size < concurrency) {
                this.#running.set(task.budget, task);
            }
            if (this.#running.get(task.budget) === task && !task.inFlight && nowMs >= task.notBeforeMs) {
                task.inFlight = true;
                this.#calls.readBudget(task.budget);
            }
        }
    }

    /** Handles the result of a read. */
    handleReadResult(budget: string, outcome: ReadOutcome, nowMs: number): void {
        const task = this.#running.get(budget);
        if (task === undefined) {
            return;
        }
        if (outcome.status === "unavailable") {
            this.#delay(task, nowMs);
        }
        else {
            this.#apply(task, outcome.status === "found" ? outcome.object : undefined, !task.isConfirmed);
        }
    }

    /** Handles the result of a write. */
    handleWriteResult(budget: string, outcome: WriteOutcome, nowMs: number): void {
        const task = this.#running.get(budget);
        if (task === undefined) {
            return;
        }
        if (outcome.status === "applied") {
            this.#counters.add("recovery.folds");
            this.#end(task);
        }
        else if (outcome.status === "conflict") {
            this.#apply(task, outcome.current, true);
        }
        else {
            // A late effect of this write makes the next one conflict, and the fold then finds nothing left to do.
            this.#delay(task, nowMs);
        }
    }

    #apply(task: Task, stored: StoredObject | undefined, isCurrent: boolean): void {
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
            this.#end(task);
        }
    }

    #delay(task: Task, nowMs: number): void {
        task.inFlight = false;
        task.notBeforeMs = nowMs + this.#retryMs;
    }

    #end(task: Task): void {
        this.#tasks.delete(task.id);
        this.#running.delete(task.budget);
    }
}
