/** Order of the actions in models that run in virtual time. */

/** Queue of actions by time: a binary heap. */
export class ActionQueue {
    readonly #heap: { readonly atMs: number; readonly order: number; readonly run: () => void; }[] = [];
    #order = 0;

    /** Adds an action that is due at the given time; actions of the same time keep their order. */
    add(atMs: number, run: () => void): void {
        const heap = this.#heap;
        heap.push({ atMs, order: this.#order++, run });
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.#isBefore(index, parent)) {
                break;
            }
            [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
            index = parent;
        }
    }

    /** @returns The action that is due first, which is removed; `undefined` when there is none. */
    take(): { readonly atMs: number; readonly run: () => void; } | undefined {
        const heap = this.#heap;
        const first = heap[0];
        const last = heap.pop();
        if (heap.length > 0 && last !== undefined) {
            heap[0] = last;
            let index = 0;
            for (;;) {
                let child = 2 * index + 1;
                if (child + 1 < heap.length && this.#isBefore(child + 1, child)) {
                    child++;
                }
                if (child >= heap.length || !this.#isBefore(child, index)) {
                    break;
                }
                [heap[index], heap[child]] = [heap[child]!, heap[index]!];
                index = child;
            }
        }
        return first;
    }

    #isBefore(left: number, right: number): boolean {
        const [one, other] = [this.#heap[left]!, this.#heap[right]!];
        return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
    }
}
