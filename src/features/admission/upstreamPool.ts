/** Requests that compete for the same upstreams: lanes by class and length, and the room for each lane. */
import type { WorkClass } from "../config/configTypes.js";
import type { UpstreamView } from "./admissionPolicy.js";
import type { AdmissionSettings } from "./admissionSettings.js";
import { FairQueue } from "./fairQueue.js";
import { ServiceTimeEstimator } from "./serviceTimeEstimator.js";

/** A queue of requests of one class and length. */
export interface ClassQueue {
    readonly workClass: WorkClass;
    readonly long: boolean;
    readonly fairQueue: FairQueue;
}

/** Lanes in the order in which they are served. */
const LaneOrder: readonly (readonly [WorkClass, boolean])[] = [
    ["urgent", false],
    ["urgent", true],
    ["normal", false],
    ["normal", true],
    ["background", false],
    ["background", true],
];

/** Queues and service times of one set of upstreams. */
export class UpstreamPool {
    readonly key: string;
    readonly classQueues: readonly ClassQueue[];
    readonly serviceTimes = new ServiceTimeEstimator();
    /** Names of all upstreams that requests of this pool may use. */
    readonly upstreams: readonly string[];
    lastUsedAtMs = 0;

    constructor(key: string, upstreams: readonly string[]) {
        this.key = key;
        this.upstreams = upstreams;
        this.classQueues = LaneOrder.map(([workClass, long]) => ({ workClass, long, fairQueue: new FairQueue() }));
    }

    /** @returns The lane of a request. */
    classQueueFor(workClass: WorkClass, long: boolean): ClassQueue {
        return this.classQueues.find(lane => lane.workClass === workClass && lane.long === long)!;
    }

    /** @returns Waiting requests of a class, or of all classes. */
    countWaiting(workClass?: WorkClass): number {
        return this.classQueues.reduce(
            (sum, lane) => sum + (workClass === undefined || lane.workClass === workClass ? lane.fairQueue.size : 0),
            0,
        );
    }
}

/** An upstream with the number of requests that this host may send to it. */
export interface UpstreamQuota {
    readonly view: UpstreamView;
    readonly quota: number;
}

/** How a request competes for slots. */
export interface SchedulingClass {
    readonly workClass: WorkClass;
    readonly long: boolean;
    /** Whether the engine pauses it for others. */
    readonly isPreemptible: boolean;
}

/** Room of this host at a set of upstreams. */
export class PoolCapacity {
    /** Requests that this host may have in flight. */
    readonly totalQuota: number;
    #total = 0;
    #urgent = 0;
    #background = 0;
    #long = 0;
    #yielding = 0;
    #yieldingBackground = 0;
    readonly #settings: AdmissionSettings;
    /** Whether all upstreams pause less urgent work for more urgent work. */
    readonly #preempts: boolean;

    constructor(allotments: readonly UpstreamQuota[], settings: AdmissionSettings) {
        this.#settings = settings;
        let allowed = 0;
        for (const { view: { load }, quota } of allotments) {
            allowed += quota;
            this.#total += load.total;
            this.#urgent += load.byClass.urgent;
            this.#background += load.byClass.background;
            this.#long += load.long;
            this.#yielding += load.yielding;
            this.#yieldingBackground += load.yieldingBackground;
        }
        this.totalQuota = Math.max(1, allowed);
        this.#preempts = settings.urgentPlacement === "preemption" &&
            allotments.every(({ view }) => view.supportsPreemption);
    }

    /** @returns Slots that background work gets at least while it waits. */
    get minBackgroundSlots(): number {
        return Math.max(1, Math.ceil(this.#settings.backgroundMinRatio * this.totalQuota));
    }

    /** @returns Slots that long work which gives way gets at least while it waits. */
    get minPreemptibleLongSlots(): number {
        return Math.max(1, Math.ceil(this.#settings.longMinRatio * this.totalQuota));
    }

    /** @returns Slots that long work gets at most. */
    get maxLongSlots(): number {
        return Math.max(1, this.#settings.longMaxRatio * this.totalQuota);
    }

    /** @returns Slots for work that is not urgent. */
    get nonUrgentSlots(): number {
        const headroom = this.#preempts ? 0 : this.#settings.headroomRatio * this.totalQuota;
        return Math.max(1, this.totalQuota - headroom);
    }

    /** @returns Whether one more request fits. Work that gives way counts only up to its minimum. */
    hasCapacityFor(demand: SchedulingClass): boolean {
        if (demand.workClass === "urgent") {
            return true;
        }
        if (demand.isPreemptible || !this.#preempts) {
            return this.#total < this.nonUrgentSlots;
        }
        return this.#firm + this.#reserved < this.nonUrgentSlots;
    }

    /** @returns Whether one more request fits that goes beyond the share of this host. */
    hasBurstCapacityFor(demand: SchedulingClass): boolean {
        return !demand.isPreemptible && !demand.long && this.#preempts &&
            this.#firm + this.#reserved < this.nonUrgentSlots * (1 + this.#settings.burstRatio);
    }

    /** @returns Whether work that others would starve is below its minimum. */
    isBelowMinimum(demand: SchedulingClass): boolean {
        if (demand.workClass === "background") {
            return this.#background < this.minBackgroundSlots;
        }
        return demand.workClass === "normal" && demand.isPreemptible &&
            this.#yielding - this.#yieldingBackground < this.minPreemptibleLongSlots;
    }

    /** @returns Whether one more long request stays below the cap. */
    hasLongCapacity(): boolean {
        return this.#long < this.maxLongSlots;
    }

    /** @returns Slots that serve a lane when all lanes are busy. */
    slotsFor({ workClass, long, isPreemptible }: SchedulingClass): number {
        if (workClass === "urgent") {
            return this.totalQuota;
        }
        const others = isPreemptible || !this.#preempts ?
            this.#total - this.#inFlight(workClass, long) :
            this.#reserved;
        const least = workClass === "background" ?
            this.minBackgroundSlots :
            isPreemptible ?
            this.minPreemptibleLongSlots :
            1;
        const slots = Math.max(least, this.nonUrgentSlots - others);
        return long ? Math.min(slots, this.maxLongSlots) : slots;
    }

    /** Work that does not give way. */
    get #firm(): number {
        return this.#total - this.#yielding;
    }

    /** Slots that work which gives way holds against other work. */
    get #reserved(): number {
        const long = this.#yielding - this.#yieldingBackground;
        return Math.min(this.#yieldingBackground, this.minBackgroundSlots) +
            Math.min(long, this.minPreemptibleLongSlots);
    }

    #inFlight(workClass: WorkClass, long: boolean): number {
        return workClass === "background" ? this.#background : long ? this.#long : this.#total - this.#urgent;
    }
}
