/** The object store as hosts reach it: with delays, lost connections, stale reads, lost responses and late writes. */
import type { Random } from "../../src/base/random.js";
import type { ReadOutcome, WriteOutcome } from "../../src/platform/platformStore.js";
import { ObjectStore } from "../../src/standins/platform/objectStore.js";
import type { Scheduler } from "./scheduler.js";

/** Faults that apply to all calls. Ratios are probabilities per call, from 0 to 1. */
export interface StoreFaults {
    /** Whether the store is down: reads fail, and writes fail or end as unknown. */
    outage: boolean;
    /** Maximum delay in each direction; the minimum is 1 ms. */
    latencyMs: number;
    /** Writes that are applied, but whose response is lost. */
    lostResponseRatio: number;
    /** Writes that are applied up to {@link MaxWriteDelayMs} late and whose outcome the host does not learn. */
    lateWriteRatio: number;
    /** Reads that return an earlier state of the key. */
    staleReadRatio: number;
}

/** Time after which a host stops waiting for a response. */
const CallTimeoutMs = 1_000;

/** Maximum delay of a write that is applied late. */
const MaxWriteDelayMs = 8_000;

/** Maximum number of past states kept per key for stale reads. */
const MaxPastStates = 6;

/** An {@link ObjectStore} with {@link StoreFaults} for all hosts, and lost connections of single hosts. */
export class FaultyStore {
    readonly objects = new ObjectStore();
    readonly faults: StoreFaults = {
        outage: false,
        latencyMs: 2,
        lostResponseRatio: 0,
        lateWriteRatio: 0,
        staleReadRatio: 0,
    };
    /** Hosts that cannot reach the store. */
    readonly disconnectedHosts = new Set<string>();
    /** Number of reads and writes so far. */
    calls = 0;
    readonly #scheduler: Scheduler;
    readonly #random: Random;
    readonly #pastStates = new Map<string, ReadOutcome[]>();

    constructor(scheduler: Scheduler, random: Random) {
        this.#scheduler = scheduler;
        this.#random = random;
        this.objects.onChange(({ key, object }) => {
            const states = this.#pastStates.get(key) ?? [{ status: "absent" }];
            states.push(object === undefined ? { status: "absent" } : { status: "found", object });
            this.#pastStates.set(key, states.slice(-MaxPastStates));
        });
    }

    /** Reads a key for a host. `done` is called once; a stale read returns an earlier state of the key. */
    get(hostId: string, key: string, done: (outcome: ReadOutcome) => void): void {
        this.calls++;
        const isDown = this.#isDown(hostId);
        this.#scheduler.after(isDown ? this.#failureDelay() : this.#delay(), () => {
            if (isDown || this.#isDown(hostId)) {
                done({ status: "unavailable", reason: "no connection" });
                return;
            }
            const past = this.#pastStates.get(key) ?? [];
            const stale = past[this.#random.integer(Math.max(1, past.length))];
            const outcome = this.#shouldOccur(this.faults.staleReadRatio) && stale !== undefined ?
                stale :
                this.objects.get(key);
            this.#scheduler.after(this.#delay(), () => done(outcome));
        });
    }

    /** Writes a key for a host if its version is as expected. `done` is called once; a write without a response is `unknown`. */
    put(
        hostId: string,
        key: string,
        value: unknown,
        expectedVersion: number,
        done: (outcome: WriteOutcome) => void,
    ): void {
        this.calls++;
        const copy: unknown = JSON.parse(JSON.stringify(value));
        const write = (): WriteOutcome => this.objects.put(key, copy, expectedVersion);
        const isDown = this.#isDown(hostId);
        if (isDown && this.#shouldOccur(0.5)) {
            this.#scheduler.after(1, () => done({ status: "refused", reason: "connection refused" }));
        }
        else if (isDown) {
            // The request may have been sent before the connection was lost, and may take effect even after it is restored.
            if (this.#shouldOccur(this.faults.lateWriteRatio)) {
                this.#scheduler.after(this.#random.integer(MaxWriteDelayMs), write);
            }
            this.#scheduler.after(CallTimeoutMs, () => done({ status: "unknown", reason: "timeout" }));
        }
        else if (this.#shouldOccur(this.faults.lateWriteRatio)) {
            this.#scheduler.after(this.#random.integer(MaxWriteDelayMs), write);
            this.#scheduler.after(CallTimeoutMs, () => done({ status: "unknown", reason: "timeout" }));
        }
        else {
            this.#scheduler.after(this.#delay(), () => this.#respond(hostId, write(), done));
        }
    }

    #respond(hostId: string, outcome: WriteOutcome, done: (outcome: WriteOutcome) => void): void {
        if (this.#isDown(hostId) || this.#shouldOccur(this.faults.lostResponseRatio)) {
            this.#scheduler.after(CallTimeoutMs, () => done({ status: "unknown", reason: "answer lost" }));
        }
        else {
            this.#scheduler.after(this.#delay(), () => done(outcome));
        }
    }

    #isDown(hostId: string): boolean {
        return this.faults.outage || this.disconnectedHosts.has(hostId);
    }

    #delay(): number {
        return 1 + this.#random.integer(this.faults.latencyMs);
    }

    #failureDelay(): number {
        return this.#shouldOccur(0.5) ? 1 : CallTimeoutMs;
    }

    #shouldOccur(probability: number): boolean {
        return probability > 0 && this.#random.next() < probability;
    }
}
