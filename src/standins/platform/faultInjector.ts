/** Faults of the platform stand-in, on request. */
import { z } from "zod";
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";

/** Kinds of calls. Host lists, listings and gets are reads. */
export const CallKindSchema = z.enum(["read", "write", "watch"]);
export type CallKind = z.infer<typeof CallKindSchema>;

const FaultFilter = {
    /** Ids of the hosts concerned; empty means all callers. */
    hosts: z.array(z.string()).default([]),
    /** Kinds of calls concerned; empty means all. */
    kinds: z.array(CallKindSchema).default([]),
    /** Only keys and prefixes that start with this text. */
    keyPrefix: z.string().default(""),
    /** Share of the calls that are hit. */
    probability: z.number().min(0).max(1).default(1),
    /** Time after which the fault ends; without it the fault stays until it is replaced. */
    durationMs: z.number().positive().optional(),
    /** Number of calls after which the fault ends. */
    count: z.number().int().positive().optional(),
};

/** How a call that the platform does not perform ends. */
const MannerSchema = z.enum(["refuse", "drop", "silent"]);
export type FailureManner = z.infer<typeof MannerSchema>;

/** A fault. */
export const FaultSchema = z.discriminatedUnion("type", [
    /** The call takes effect after a delay. */
    z.strictObject({ type: z.literal("latency"), delayMs: z.number().positive(), ...FaultFilter }),
    /** The call has no effect: definite refusal, connection closed, or no answer at all. */
    z.strictObject({ type: z.literal("outage"), manner: MannerSchema.default("refuse"), ...FaultFilter }),
    /** As an outage, for a named set of hosts, which also disappear from the list in time. */
    z.strictObject({
        type: z.literal("cutOff"),
        manner: MannerSchema.default("drop"),
        ...FaultFilter,
        hosts: z.array(z.string()).min(1),
    }),
    /** A write takes effect and the connection closes without an answer. */
    z.strictObject({ type: z.literal("answerLost"), ...FaultFilter }),
    /** The connection closes without an answer and the write takes effect afterwards. */
    z.strictObject({ type: z.literal("appliedLate"), delayMs: z.number().positive(), ...FaultFilter }),
    /** Reads show the state of some time ago. */
    z.strictObject({ type: z.literal("staleReads"), ageMs: z.number().positive(), ...FaultFilter }),
]);
export type Fault = z.infer<typeof FaultSchema>;
/** A fault as it is written, without defaults. */
export type FaultInput = z.input<typeof FaultSchema>;

/** A call as the faults see it. */
export interface CallInfo {
    readonly hostId: string;
    readonly kind: CallKind;
    /** Key or prefix. */
    readonly key: string;
}

/** What happens to a call. */
export interface FaultDecision {
    readonly delayMs: number;
    /** Set when the call has no effect. */
    readonly failure: FailureManner | undefined;
    /** Whether the answer is lost after a write took effect. */
    readonly responseLost: boolean;
    /** Set when the write takes effect only after its connection closed. */
    readonly lateWriteDelayMs: number | undefined;
    /** Age of the state that a read shows. */
    readonly stateAgeMs: number;
}

interface ActiveFault {
    readonly fault: Fault;
    readonly endsAtMs: number;
    remaining: number;
}

/** The faults in force. */
export class FaultInjector {
    readonly #clock: Clock;
    readonly #random: Random;
    #active: ActiveFault[] = [];

    constructor(clock: Clock, random: Random) {
        this.#clock = clock;
        this.#random = random;
    }

    /** Replaces all faults. */
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

    /** @returns The faults in force. */
    get faults(): readonly Fault[] {
        return this.#live().map(active => active.fault);
    }

    /** Decides about one call and uses up counted faults. */
    decide(query: CallInfo): FaultDecision {
        const hits = this.#live().filter(active => this.#hits(active, query));
        let delayMs = 0;
        let failure: FailureManner | undefined;
        let responseLost = false;
        let lateWriteDelayMs: number | undefined;
        let stateAgeMs = 0;
        for (const active of hits) {
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

    #live(): ActiveFault[] {
        const nowMs = this.#clock.monotonicMs();
        this.#active = this.#active.filter(active => active.endsAtMs > nowMs && active.remaining > 0);
        return this.#active;
    }

    #hits({ fault }: ActiveFault, query: CallInfo): boolean {
        const writesOnly = fault.type === "answerLost" || fault.type === "appliedLate";
        const readsOnly = fault.type === "staleReads";
        return (fault.hosts.length === 0 || fault.hosts.includes(query.hostId)) &&
            (fault.kinds.length === 0 || fault.kinds.includes(query.kind)) &&
            !(writesOnly && query.kind !== "write") &&
            !(readsOnly && query.kind !== "read") &&
            query.key.startsWith(fault.keyPrefix) &&
            (fault.probability === 1 || this.#random.next() < fault.probability);
    }
}
