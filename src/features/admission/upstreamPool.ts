/** Queues of the requests that compete for the same upstreams, by class and length, and the capacity for each queue. */
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

/** Class and length of the queues, in the order in which they are served. */
const ClassQueueOrder: readonly (readonly [WorkClass, boolean])[] = [
    ["urgent", false],
    ["urgent", true],
    ["normal", false],
    ["normal", true],
    ["background", false],
    ["background", true],
];

/** Queues and service times of one set of upstreams. */
export class UpstreamPool {
    /** Identifies the pool: made from the names of its upstreams and the limits of its requests. */
    readonly key: string;
    readonly classQueues: readonly ClassQueue[];
    readonly serviceTimes = new ServiceTimeEstimator();
    /** Names of all upstreams that the requests of this pool may use. */
    readonly upstreams: readonly string[];
    /** Monotonic time of the last request, in milliseconds. */
    lastUsedAtMs = 0;

    constructor(key: string, upstreams: readonly string[]) {
        this.key = key;
        this.upstreams = upstreams;
        this.classQueues = ClassQueueOrder.map(([workClass, long]) => ({
            workClass,
            long,
            fairQueue: new FairQueue(),
        }));
    }

    /** @returns The queue for requests of a class and length. */
    classQueueFor(workClass: WorkClass, long: boolean): ClassQueue {
        return this.classQueues.find(classQueue => classQueue.workClass === workClass && classQueue.long === long)!;
    }

    /** @returns Number of waiting requests of a class, or of all classes. */
    countWaiting(workClass?: WorkClass): number {
        return this.classQueues.reduce(
            (sum, classQueue) =>
                sum + (workClass === undefined || classQueue.workClass === workClass ? classQueue.fairQueue.size : 0),
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
    /** Whether the engine may pause the request for others. */
    readonly isPreemptible: boolean;
}

/** Capacity of this host at a set of upstreams, computed from the requests in flight. */
export class PoolCapacity {
    /** Number of requests that this host may have in flight; at least 1. */
    readonly totalQuota: number;
    #total = 0;
    #urgent = 0;
    #background = 0;
    #long = 0;
    #yielding = 0;
    #yieldingBackground = 0;
    readonly #settings: AdmissionSettings;
    /** Whether all upstreams pause less urgent work for more urgent work, and the settings rely on it. */
    readonly #allPreempt: boolean;

    constructor(upstreamQuotas: readonly UpstreamQuota[], settings: AdmissionSettings) {
        this.#settings = settings;
        let totalQuota = 0;
        for (const { view: { load }, quota } of upstreamQuotas) {
            totalQuota += quota;
            this.#total += load.total;
            this.#urgent += load.byClass.urgent;
            this.#background += load.byClass.background;
            this.#long += load.long;
            this.#yielding += load.yielding;
            this.#yieldingBackground += load.yieldingBackground;
        }
        this.totalQuota = Math.max(1, totalQuota);
        this.#allPreempt = settings.urgentPlacement === "preemption" &&
            upstreamQuotas.every(({ view }) => view.supportsPreemption);
    }

    /** @returns Minimum number of slots for background work while such work waits. */
    get minBackgroundSlots(): number {
        return Math.max(1, Math.ceil(this.#settings.backgroundMinRatio * this.totalQuota));
    }

    /** @returns Minimum number of slots for preemptible long work while such work waits. */
    get minPreemptibleLongSlots(): number {
        return Math.max(1, Math.ceil(this.#settings.longMinRatio * this.totalQuota));
    }

    /** @returns Maximum number of slots for long work; may be a fraction. */
    get maxLongSlots(): number {
        return Math.max(1, this.#settings.longMaxRatio * this.totalQuota);
    }

    /** @returns Number of slots for work that is not urgent. */
    get nonUrgentSlots(): number {
        const headroom = this.#allPreempt ? 0 : this.#settings.headroomRatio * this.totalQuota;
        return Math.max(1, this.totalQuota - headroom);
    }

    /** @returns Whether one more request fits. For other work, preemptible work counts only up to its minimum. */
    hasCapacityFor(schedulingClass: SchedulingClass): boolean {
        if (schedulingClass.workClass === "urgent") {
            return true;
        }
        if (schedulingClass.isPreemptible || !this.#allPreempt) {
            return this.#total < this.nonUrgentSlots;
        }
        return this.#nonPreemptibleCount + this.#reservedForPreemptible < this.nonUrgentSlots;
    }

    /** @returns Whether one more request fits beyond the share of this host. */
    hasBurstCapacityFor(schedulingClass: SchedulingClass): boolean {
        return !schedulingClass.isPreemptible && !schedulingClass.long && this.#allPreempt &&
            this.#nonPreemptibleCount + this.#reservedForPreemptible <
                this.nonUrgentSlots * (1 + this.#settings.burstRatio);
    }

    /** @returns Whether background or preemptible long work, which other work could starve, is below its minimum. */
    isBelowMinimum(schedulingClass: SchedulingClass): boolean {
        if (schedulingClass.workClass === "background") {
            return this.#background < this.minBackgroundSlots;
        }
        return schedulingClass.workClass === "normal" && schedulingClass.isPreemptible &&
            this.#yielding - this.#yieldingBackground < this.minPreemptibleLongSlots;
    }

    /** @returns Whether one more long request stays below the cap. */
    hasLongCapacity(): boolean {
        return this.#long < this.maxLongSlots;
    }

    /** @returns Number of slots that serve a queue when all queues have waiting requests. */
    slotsFor({ workClass, long, isPreemptible }: SchedulingClass): number {
        if (workClass === "urgent") {
            return this.totalQuota;
        }
        const otherSlots = isPreemptible || !this.#allPreempt ?
            this.#total - this.#inFlight(workClass, long) :
            this.#reservedForPreemptible;
        const minSlots = workClass === "background" ?
            this.minBackgroundSlots :
            isPreemptible ?
            this.minPreemptibleLongSlots :
            1;
        const slots = Math.max(minSlots, this.nonUrgentSlots - otherSlots);
        return long ? Math.min(slots, this.maxLongSlots) : slots;
    }

    /** Requests in flight that are not preemptible. */
    get #nonPreemptibleCount(): number {
        return this.#total - this.#yielding;
    }

    /** Slots of preemptible work that other work cannot take: those within the minimums. */
    get #reservedForPreemptible(): number {
        const long = this.#yielding - this.#yieldingBackground;
        return Math.min(this.#yieldingBackground, this.minBackgroundSlots) +
            Math.min(long, this.minPreemptibleLongSlots);
    }

    #inFlight(workClass: WorkClass, long: boolean): number {
        return workClass === "background" ? this.#background : long ? this.#long : this.#total - this.#urgent;
    }
}
