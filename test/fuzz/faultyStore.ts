/** The object store as hosts reach it: with delays, cuts, stale reads, lost answers and late writes. */
import type { Random } from "../../src/base/random.js";
import type { ReadOutcome, WriteOutcome } from "../../src/platform/platformStore.js";
import { ObjectStore } from "../../src/standins/platform/objectStore.js";
import type { Scheduler } from "./scheduler.js";

/** Faults that apply to all calls. Shares are between 0 and 1. */
export interface StoreFaults {
    outage: boolean;
    latencyMs: number;
    lostResponseRatio: number;
    lateWriteRatio: number;
    staleReadRatio: number;
}

/** Time after which a host stops waiting for an answer. */
const CallTimeoutMs = 1_000;

/** Longest time by which a write is applied late. */
const LatestWriteMs = 8_000;

/** Past states kept per key for stale reads. */
const PastStates = 6;

/** Store with faults. */
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
    /** Calls by kind, for figures. */
    calls = 0;
    readonly #scheduler: Scheduler;
    readonly #random: Random;
    readonly #past = new Map<string, ReadOutcome[]>();

    constructor(scheduler: Scheduler, random: Random) {
        this.#scheduler = scheduler;
        this.#random = random;
        this.objects.onChange(({ key, object }) => {
            const states = this.#past.get(key) ?? [{ status: "absent" }];
            states.push(object === undefined ? { status: "absent" } : { status: "found", object });
            this.#past.set(key, states.slice(-PastStates));
        });
    }

    /** Reads a key for a host. */
    get(hostId: string, key: string, done: (outcome: ReadOutcome) => void): void {
        this.calls++;
        const isDown = this.#isDown(hostId);
        this.#scheduler.after(isDown ? this.#failureDelay() : this.#delay(), () => {
            if (isDown || this.#isDown(hostId)) {
                done({ status: "unavailable", reason: "no connection" });
                return;
            }
            const past = this.#past.get(key) ?? [];
            const stale = past[this.#random.integer(Math.max(1, past.length))];
            const outcome = this.#happens(this.faults.staleReadRatio) && stale !== undefined ?
                stale :
                this.objects.get(key);
            this.#scheduler.after(this.#delay(), () => done(outcome));
        });
    }

    /** Writes a key for a host. */
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
        if (isDown && this.#happens(0.5)) {
            this.#scheduler.after(1, () => done({ status: "refused", reason: "connection refused" }));
        }
        else if (isDown) {
            // The request may have left before the cut, and may take effect even after it is healed.
            if (this.#happens(this.faults.lateWriteRatio)) {
                this.#scheduler.after(this.#random.integer(LatestWriteMs), write);
            }
            this.#scheduler.after(CallTimeoutMs, () => done({ status: "unknown", reason: "timeout" }));
        }
        else if (this.#happens(this.faults.lateWriteRatio)) {
            this.#scheduler.after(this.#random.integer(LatestWriteMs), write);
            this.#scheduler.after(CallTimeoutMs, () => done({ status: "unknown", reason: "timeout" }));
        }
        else {
            this.#scheduler.after(this.#delay(), () => this.#answer(hostId, write(), done));
        }
    }

    #answer(hostId: string, outcome: WriteOutcome, done: (outcome: WriteOutcome) => void): void {
        if (this.#isDown(hostId) || this.#happens(this.faults.lostResponseRatio)) {
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
        return this.#happens(0.5) ? 1 : CallTimeoutMs;
    }

    #happens(share: number): boolean {
        return share > 0 && this.#random.next() < share;
    }
}
