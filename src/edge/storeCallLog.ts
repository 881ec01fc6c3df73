/** Counts the calls to the store by purpose and logs the totals, as each call is charged for. */
import type { Clock } from "../base/clock.js";
import { log } from "../base/log.js";
import type { StoreOperation } from "../platform/callCountingStore.js";
import type { ObjectCodec } from "./protocolCodec.js";

/** Interval of the log lines, in milliseconds; a process that is killed loses at most the counts of this time. */
const LogIntervalMs = 5_000;

/** Counts and logs the calls of one process. */
export class StoreCallLog {
    readonly #clock: Clock;
    readonly #incarnation: string;
    /** Name of the kind of object by the prefix of its keys, the longest prefix first. */
    readonly #kinds: readonly (readonly [prefix: string, kind: string])[];
    readonly #counts: Record<string, number> = {};
    #hasChanged = false;
    #nextLogMs: number;

    constructor(clock: Clock, codec: ObjectCodec, incarnation: string) {
        this.#clock = clock;
        this.#incarnation = incarnation;
        this.#nextLogMs = clock.monotonicMs() + LogIntervalMs;
        this.#kinds = [
            [`${codec.budgetPrefix}ledger-`, "ledger"],
            [`${codec.budgetPrefix}host-`, "record"],
            [codec.evidenceKey, "evidence"],
            [codec.hostPrefix, "hosts"],
            [codec.upstreamPrefix, "upstreams"],
            [codec.evacuationPrefix, "evacuations"],
        ];
    }

    /** Counts a call. */
    record(operation: StoreOperation, key: string): void {
        const kind = this.#kinds.find(([prefix]) => key.startsWith(prefix))?.[1] ?? "configuration";
        const purpose = `${operation} ${kind}`;
        this.#counts[purpose] = (this.#counts[purpose] ?? 0) + 1;
        this.#hasChanged = true;
    }

    /** Logs the totals when that is due; called regularly. */
    tick(): void {
        if (this.#hasChanged && this.#clock.monotonicMs() >= this.#nextLogMs) {
            this.#nextLogMs = this.#clock.monotonicMs() + LogIntervalMs;
            this.flush();
        }
    }

    /** Logs the totals now. */
    flush(): void {
        this.#hasChanged = false;
        log.info("store calls", { incarnation: this.#incarnation, ...this.#counts });
    }
}
