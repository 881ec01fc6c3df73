/** Numbers and dates of this process's writes, to the ledger and to its own record. */
import type { WriteTimestamp } from "./spendingRecord.js";
import type { TeamAccounts } from "./teamAccounts.js";

/** Writes whose time is remembered; an older one cannot be the newest that the store holds. */
const MostRemembered = 200;

/** Dates writes in the order in which they are made. */
export class WriteSequencer {
    readonly #incarnation: string;
    readonly #accounts: TeamAccounts;
    readonly #steadyMs: () => number;
    readonly #madeMs = new Map<number, number>();
    #sequence = 0;

    /** @param steadyMs The machine's steady clock; processes of one start of a machine share it. */
    constructor(incarnation: string, accounts: TeamAccounts, steadyMs: () => number) {
        this.#incarnation = incarnation;
        this.#accounts = accounts;
        this.#steadyMs = steadyMs;
    }

    /** Dates a write that is about to be planned. The stored times come first, so that a successor sees no younger record. */
    nextTimestamp(): WriteTimestamp {
        const date = {
            incarnation: this.#incarnation,
            sequence: ++this.#sequence,
            writtenAtMs: Math.floor(this.#accounts.wallMs),
            writtenSteadyMs: Math.floor(this.#steadyMs()),
        };
        this.#madeMs.set(date.sequence, this.#accounts.nowMs);
        this.#madeMs.delete(date.sequence - MostRemembered);
        return date;
    }

    /** @returns Monotonic time at which a write of this process was made; `undefined` when it is not remembered. */
    createdAtMs(date: WriteTimestamp | undefined): number | undefined {
        return date?.incarnation === this.#incarnation ? this.#madeMs.get(date.sequence) : undefined;
    }
}
