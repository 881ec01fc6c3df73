/** The slots of one upstream with a limit, and which of them this host knows to be used. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import type { RendezvousSet } from "../../base/hashing.js";
import { type Slot, SlotSchedule, type SlotTiming } from "./slotSchedule.js";

/** Maximum number of slots whose use is remembered; far more than may be used at the same time. */
const MaxRememberedSlots = 100;

/**
 * Time by which each rank waits for the more urgent ones, in milliseconds, and its maximum as a fraction of the time for which a slot
 * may be used.
 */
const RankDelayMs = 150;
const MaxRankDelayFraction = 0.5;

/** A limit, and how its time is divided into slots. */
export interface SlotLimit {
    /** Requests per second from all hosts together, above 0. */
    readonly requestsPerS: number;
    readonly timing: SlotTiming;
}

/** Slots by one limit; with another limit the slots are other ones. */
export class UpstreamSlots {
    readonly requestsPerS: number;
    readonly #timing: SlotTiming;
    readonly #clock: Clock;
    readonly #ownHostId: string;
    readonly #beginsAtMs: number;
    readonly #upstreamKey: string;
    /** Number of requests that were sent, or given to other hosts, by start of the slot. */
    readonly #usedCounts = new Map<number, number>();
    #hosts: RendezvousSet;
    #schedule: SlotSchedule;

    /** @param upstreamKey Key of the upstream's incarnation, the same at all hosts. */
    constructor(
        upstreamKey: string,
        { requestsPerS, timing }: SlotLimit,
        hosts: RendezvousSet,
        ownHostId: string,
        clock: Clock,
    ) {
        this.#upstreamKey = upstreamKey;
        this.requestsPerS = requestsPerS;
        this.#timing = timing;
        this.#hosts = hosts;
        this.#ownHostId = ownHostId;
        this.#clock = clock;
        this.#beginsAtMs = clock.monotonicMs();
        this.#schedule = new SlotSchedule(upstreamKey, requestsPerS, hosts, timing);
    }

    /** Divides later slots among other hosts, unless these are the same object as before. */
    updateHosts(hosts: RendezvousSet): void {
        if (hosts !== this.#hosts) {
            this.#hosts = hosts;
            this.#schedule = new SlotSchedule(this.#upstreamKey, this.requestsPerS, hosts, this.#timing);
        }
    }

    /** @returns Whether this host may send a request of a rank now. */
    hasOwnSlot(rank: number): boolean {
        return this.#findOwnSlot(rank) !== undefined;
    }

    /** @returns Whether this host may send a request of a rank now, or give the slot to another host; if so, it is counted. */
    takeOwnSlot(rank: number): boolean {
        const slot = this.#findOwnSlot(rank);
        if (slot === undefined) {
            return false;
        }
        this.#recordUse(slot.startMs, (this.#usedCounts.get(slot.startMs) ?? 0) + 1);
        return true;
    }

    /** Records that the owner of a slot does not give it away. */
    markUsed(slot: Slot): void {
        this.#recordUse(slot.startMs, slot.requestCount);
    }

    /** @returns Slots of other hosts that may be free for a request of a rank, newest first. */
    slotsOfOthers(rank: number): readonly Slot[] {
        return this.#freeSlots(rank).filter(({ ownerId }) => ownerId !== this.#ownHostId);
    }

    /** The oldest slot is used first, as it expires first. */
    #findOwnSlot(rank: number): Slot | undefined {
        return this.#freeSlots(rank).findLast(({ ownerId }) => ownerId === this.#ownHostId);
    }

    /** Slots from before this host knew the limit are not used: requests may have been sent in their time. */
    #freeSlots(rank: number): readonly Slot[] {
        const wallMs = this.#clock.wallMs();
        const maxAgeMs = this.#clock.monotonicMs() - this.#beginsAtMs;
        const minAgeMs = Math.min(rank * RankDelayMs, this.#schedule.usableMs * MaxRankDelayFraction);
        return this.#schedule.usableSlots(wallMs).filter(({ startMs, requestCount }) =>
            wallMs - startMs <= maxAgeMs && wallMs - startMs >= minAgeMs &&
            (this.#usedCounts.get(startMs) ?? 0) < requestCount
        );
    }

    #recordUse(startMs: number, count: number): void {
        setBounded(this.#usedCounts, startMs, count, MaxRememberedSlots, () => false);
    }
}
