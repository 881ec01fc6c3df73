/** Sequence numbers and timestamps of this process's writes, to the ledgers and to its own record. */
import type { WriteTimestamp } from "./spendingRecord.js";
import type { TeamAccounts } from "./teamAccounts.js";

/** Maximum number of writes whose time is remembered; an older one cannot be the latest that the store holds. */
const MaxRememberedWrites = 200;

/** Assigns timestamps to writes, in the order in which they are made. */
export class WriteSequencer {
    readonly #incarnation: string;
    readonly #accounts: TeamAccounts;
    readonly #steadyMs: () => number;
    readonly #createdMs = new Map<number, number>();
    #sequence = 0;

    /** @param steadyMs Returns the machine's steady clock in milliseconds; processes share it until the machine restarts. */
    constructor(incarnation: string, accounts: TeamAccounts, steadyMs: () => number) {
        this.#incarnation = incarnation;
        this.#accounts = accounts;
        this.#steadyMs = steadyMs;
    }

    /**
     * @returns A timestamp for a write that is about to be planned. The times to be stored are read before the monotonic time
     * of this process, so that a successor never takes the record for newer than this process does.
     */
    nextTimestamp(): WriteTimestamp {
        const timestamp = {
            incarnation: this.#incarnation,
            sequence: ++this.#sequence,
            writtenAtMs: Math.floor(this.#accounts.wallMs),
            writtenSteadyMs: Math.floor(this.#steadyMs()),
        };
        this.#createdMs.set(timestamp.sequence, this.#accounts.nowMs);
        this.#createdMs.delete(timestamp.sequence - MaxRememberedWrites);
        return timestamp;
    }

    /**
     * @returns Monotonic time at which a write of this process was made, in milliseconds; `undefined` for writes of other
     * processes and when it is no longer remembered.
     */
    createdAtMs(timestamp: WriteTimestamp | undefined): number | undefined {
        return timestamp?.incarnation === this.#incarnation ? this.#createdMs.get(timestamp.sequence) : undefined;
    }
}
