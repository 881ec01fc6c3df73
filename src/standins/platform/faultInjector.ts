/** Faults that the platform stand-in can inject into calls. */
import { z } from "zod";
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";

/** Kinds of calls. Gets, listings and requests for the host list are reads. */
export const CallKindSchema = z.enum(["read", "write", "watch"]);
/** Kind of a call; see {@link CallKindSchema}. */
export type CallKind = z.infer<typeof CallKindSchema>;

const FaultFilter = {
    /** Ids of the hosts whose calls the fault applies to; empty means all callers. */
    hosts: z.array(z.string()).default([]),
    /** Kinds of calls that the fault applies to; empty means all. */
    kinds: z.array(CallKindSchema).default([]),
    /** The fault applies only to keys and prefixes that start with this text. */
    keyPrefix: z.string().default(""),
    /** Probability with which the fault applies to a call that matches. */
    probability: z.number().min(0).max(1).default(1),
    /** Time after which the fault ends, in milliseconds; without it the fault stays until it is replaced. */
    durationMs: z.number().positive().optional(),
    /** Number of affected calls after which the fault ends. */
    count: z.number().int().positive().optional(),
};

/** How a call that has no effect fails: with an error response, by a closed connection, or without any response. */
const FailureMannerSchema = z.enum(["refuse", "drop", "silent"]);
/** How a call that has no effect fails. */
export type FailureManner = z.infer<typeof FailureMannerSchema>;

/** A fault and the calls that it applies to. */
export const FaultSchema = z.discriminatedUnion("type", [
    /** The call takes effect after a delay. */
    z.strictObject({ type: z.literal("latency"), delayMs: z.number().positive(), ...FaultFilter }),
    /** The call has no effect: it gets a definite refusal, a closed connection, or no response at all. */
    z.strictObject({ type: z.literal("outage"), manner: FailureMannerSchema.default("refuse"), ...FaultFilter }),
    /** Like an outage, but for named hosts, which also disappear from the host list when they expire. */
    z.strictObject({
        type: z.literal("cutOff"),
        manner: FailureMannerSchema.default("drop"),
        ...FaultFilter,
        hosts: z.array(z.string()).min(1),
    }),
    /** A write takes effect and the connection closes without a response. */
    z.strictObject({ type: z.literal("answerLost"), ...FaultFilter }),
    /** The connection closes without a response and the write takes effect `delayMs` later. */
    z.strictObject({ type: z.literal("appliedLate"), delayMs: z.number().positive(), ...FaultFilter }),
    /** Reads return the state of `ageMs` ago. */
    z.strictObject({ type: z.literal("staleReads"), ageMs: z.number().positive(), ...FaultFilter }),
]);
/** A fault with all defaults filled in. */
export type Fault = z.infer<typeof FaultSchema>;
/** A fault as a caller sends it; fields with defaults may be missing. */
export type FaultInput = z.input<typeof FaultSchema>;

/** The properties of a call that faults are matched against. */
export interface CallInfo {
    readonly hostId: string;
    readonly kind: CallKind;
    /** Key, or prefix of a listing or a watch. */
    readonly key: string;
}

/** How the active faults change a call. */
export interface FaultDecision {
    /** Delay before the call takes effect, in milliseconds. */
    readonly delayMs: number;
    /** How the call fails without an effect; `undefined` when it is performed. */
    readonly failure: FailureManner | undefined;
    /** Whether the connection closes without a response after a write took effect. */
    readonly responseLost: boolean;
    /** Delay with which a write takes effect after its connection closed, in milliseconds; `undefined` without the fault. */
    readonly lateWriteDelayMs: number | undefined;
    /** Age of the state that a read returns, in milliseconds; 0 means the current state. */
    readonly stateAgeMs: number;
}

/** A fault with its end: a monotonic time and the number of calls that it still applies to. */
interface ActiveFault {
    readonly fault: Fault;
    readonly endsAtMs: number;
    remaining: number;
}

/** Holds the active faults and decides which of them apply to a call. */
export class FaultInjector {
    readonly #clock: Clock;
    readonly #random: Random;
    #active: ActiveFault[] = [];

    constructor(clock: Clock, random: Random) {
        this.#clock = clock;
        this.#random = random;
    }

    /** Replaces all faults. Throws if one is malformed. */
    set(faults: readonly FaultInput[]): void {
        this.#active = faults.map(input => {
            const fault = FaultSchema.parse(input);
            return {
                fault,
                endsAtMs: this.#clock.monotonicMs() + (fault.durationMs ?? Number.POSITIVE_INFINITY),
                remaining: fault.count ?? Number.POSITIVE_INFINITY,
            };
        });
    }

    /** @returns The active faults. */
    get faults(): readonly Fault[] {
        return this.#removeExpired().map(active => active.fault);
    }

    /** Determines how the active faults change a call; decrements the remaining count of each that applies. */
    decide(call: CallInfo): FaultDecision {
        const matching = this.#removeExpired().filter(active => this.#matches(active, call));
        let delayMs = 0;
        let failure: FailureManner | undefined;
        let responseLost = false;
        let lateWriteDelayMs: number | undefined;
        let stateAgeMs = 0;
        for (const active of matching) {
            active.remaining--;
            const { fault } = active;
            if (fault.type === "latency") {
                delayMs += fault.delayMs;
            }
            else if (fault.type === "outage" || fault.type === "cutOff") {
                failure ??= fault.manner;
            }
            else if (fault.type === "answerLost") {
                responseLost = true;
            }
            else if (fault.type === "appliedLate") {
                lateWriteDelayMs = fault.delayMs;
            }
            else {
                stateAgeMs = Math.max(stateAgeMs, fault.ageMs);
            }
        }
        return { delayMs, failure, responseLost, lateWriteDelayMs, stateAgeMs };
    }

    /**
     * Removes the faults that have ended.
     * @returns The active faults.
     */
    #removeExpired(): ActiveFault[] {
        const nowMs = this.#clock.monotonicMs();
        this.#active = this.#active.filter(active => active.endsAtMs > nowMs && active.remaining > 0);
        return this.#active;
    }

    #matches({ fault }: ActiveFault, call: CallInfo): boolean {
        const writesOnly = fault.type === "answerLost" || fault.type === "appliedLate";
        const readsOnly = fault.type === "staleReads";
        return (fault.hosts.length === 0 || fault.hosts.includes(call.hostId)) &&
            (fault.kinds.length === 0 || fault.kinds.includes(call.kind)) &&
            !(writesOnly && call.kind !== "write") &&
            !(readsOnly && call.kind !== "read") &&
            call.key.startsWith(fault.keyPrefix) &&
            (fault.probability === 1 || this.#random.next() < fault.probability);
    }
}
