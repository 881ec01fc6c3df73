/**
 * Divides the requests that an upstream takes from all hosts among the hosts, without communication. Time is divided into slots that
 * allow a fixed number of requests; each slot belongs to one host, which all hosts determine alike. The number of requests is
 * thereby bounded also while hosts start, fail or are cut off from each other. The wall clocks of hosts are compared: a clock that
 * is wrong only moves the slots of its host in time.
 */
import { hash32, type RendezvousSet } from "../../base/hashing.js";

/** How the time of a limit is divided into slots. */
export interface SlotTiming {
    /** Maximum number of slots per second; with a higher limit a slot allows several requests. */
    readonly maxSlotsPerS: number;
    /**
     * Time for which a slot may be used after the next one has begun, in milliseconds. Within any span of time, requests exceed the
     * limit by what it allows in this time and by two slots.
     */
    readonly usableAfterMs: number;
}

/** Slots of limits that upstreams state. */
export const StatedSlotTiming: SlotTiming = { maxSlotsPerS: 10, usableAfterMs: 1_000 };

/**
 * Slots of cold upstreams, which crash under a short excess: a second contains at most 1.3 times the limit and two slots. The
 * slots are smaller than those of stated limits, so that these two are few requests.
 */
export const ColdSlotTiming: SlotTiming = { maxSlotsPerS: 25, usableAfterMs: 300 };

/** Number of values of {@link hash32}. */
const HashRange = 2 ** 32;

const MsPerS = 1_000;

/** A part of the requests that an upstream takes. */
export interface Slot {
    /** Wall-clock time at which the slot begins, in milliseconds. */
    readonly startMs: number;
    /** Number of requests that the slot allows. */
    readonly requestCount: number;
    /** Id of the host to which the slot belongs. */
    readonly ownerId: string;
}

/** The slots of one upstream for one limit among the same hosts. */
export class SlotSchedule {
    readonly #upstreamKey: string;
    readonly #hosts: RendezvousSet;
    readonly #requestCount: number;
    readonly #slotMs: number;
    readonly #usableAfterMs: number;
    readonly #phaseMs: number;
    /** Slots that were usable lately, newest first. */
    #recent: readonly (Slot & { readonly index: number; })[] = [];

    /**
     * @param upstreamKey Key of the upstream's incarnation, the same at all hosts.
     * @param requestsPerS Requests per second from all hosts together, above 0.
     */
    constructor(upstreamKey: string, requestsPerS: number, hosts: RendezvousSet, timing: SlotTiming) {
        this.#upstreamKey = upstreamKey;
        this.#hosts = hosts;
        this.#requestCount = Math.max(1, Math.ceil(requestsPerS / timing.maxSlotsPerS));
        this.#slotMs = MsPerS * this.#requestCount / requestsPerS;
        this.#usableAfterMs = timing.usableAfterMs;
        this.#phaseMs = hash32(upstreamKey) / HashRange * this.#slotMs;
    }

    /** @returns Time for which each slot may be used, in milliseconds. */
    get usableMs(): number {
        return this.#slotMs + this.#usableAfterMs;
    }

    /**
     * @param wallMs Wall-clock time, in milliseconds.
     * @returns The slots that may be used now, newest first.
     */
    usableSlots(wallMs: number): readonly Slot[] {
        const newest = this.#indexAt(wallMs);
        const oldest = this.#indexAt(wallMs - this.usableMs) + 1;
        if (this.#recent[0]?.index !== newest || this.#recent.at(-1)?.index !== oldest) {
            const known = new Map(this.#recent.map(slot => [slot.index, slot]));
            this.#recent = Array.from(
                { length: newest - oldest + 1 },
                (_, age) => known.get(newest - age) ?? this.#createSlot(newest - age),
            );
        }
        return this.#recent;
    }

    #indexAt(wallMs: number): number {
        return Math.floor((wallMs - this.#phaseMs) / this.#slotMs);
    }

    #createSlot(index: number): Slot & { readonly index: number; } {
        return {
            index,
            startMs: index * this.#slotMs + this.#phaseMs,
            requestCount: this.#requestCount,
            ownerId: this.#hosts.best(`${this.#upstreamKey}/${index}`) ?? "",
        };
    }
}
