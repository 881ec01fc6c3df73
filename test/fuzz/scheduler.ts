/** Simulated time: runs actions in the order of their times, then of their creation. */
import { ManualClock } from "../../src/base/clock.js";

interface Action {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

/** Queue of future actions on a {@link ManualClock}. */
export class Scheduler {
    readonly clock = new ManualClock();
    readonly #heap: Action[] = [];
    #lastOrder = 0;

    /** @returns Simulated monotonic time. */
    get nowMs(): number {
        return this.clock.monotonicMs();
    }

    /** Runs an action after a delay. */
    after(delayMs: number, run: () => void): void {
        const action = { atMs: this.nowMs + Math.max(0, delayMs), order: ++this.#lastOrder, run };
        let index = this.#heap.push(action) - 1;
        while (index > 0 && precedes(action, this.#heap[(index - 1) >> 1]!)) {
            this.#heap[index] = this.#heap[(index - 1) >> 1]!;
            index = (index - 1) >> 1;
        }
        this.#heap[index] = action;
    }

    /** Runs all actions that are due within a duration, and advances the clock by that duration. */
    advance(durationMs: number): void {
        const endMs = this.nowMs + durationMs;
        for (let next = this.#heap[0]; next !== undefined && next.atMs <= endMs; next = this.#heap[0]) {
            this.#removeFirst();
            this.clock.advance(Math.max(0, next.atMs - this.nowMs));
            next.run();
        }
        this.clock.advance(endMs - this.nowMs);
    }

    #removeFirst(): void {
        const last = this.#heap.pop()!;
        if (this.#heap.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            const hasRight = right < this.#heap.length;
            const child = hasRight && precedes(this.#heap[right]!, this.#heap[left]!) ? right : left;
            if (child >= this.#heap.length || !precedes(this.#heap[child]!, last)) {
                break;
            }
            this.#heap[index] = this.#heap[child]!;
            index = child;
        }
        this.#heap[index] = last;
    }
}

function precedes(a: Action, b: Action): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
