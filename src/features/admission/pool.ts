/** Requests that compete for the same upstreams: lanes by class and length, and the room for each lane. */
import type { WorkClass } from "../config/configTypes.js";
import type { UpstreamView } from "./admissionPolicy.js";
import type { AdmissionSettings } from "./admissionSettings.js";
import { FairQueue } from "./fairQueue.js";
import { ServiceTimes } from "./serviceTimes.js";

/** A queue of requests of one class and length. */
export interface Lane {
    readonly workClass: WorkClass;
    readonly long: boolean;
    readonly queue: FairQueue;
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
export class Pool {
    readonly key: string;
    readonly lanes: readonly Lane[];
    readonly serviceTimes = new ServiceTimes();
    /** Names of all upstreams that requests of this pool may use. */
    readonly upstreams: readonly string[];
    usedAtMs = 0;

    constructor(key: string, upstreams: readonly string[]) {
        this.key = key;
        this.upstreams = upstreams;
        this.lanes = LaneOrder.map(([workClass, long]) => ({ workClass, long, queue: new FairQueue() }));
    }

    /** @returns The lane of a request. */
    lane(workClass: WorkClass, long: boolean): Lane {
        return this.lanes.find(lane => lane.workClass === workClass && lane.long === long)!;
    }

    /** @returns Waiting requests of a class, or of all classes. */
    size(workClass?: WorkClass): number {
        return this.lanes.reduce(
            (sum, lane) => sum + (workClass === undefined || lane.workClass === workClass ? lane.queue.size : 0),
            0,
        );
    }
}

/** An upstream with the number of requests that this host may send to it. */
export interface Allotment {
    readonly view: UpstreamView;
    readonly allowance: number;
}

/** Room of this host at a set of upstreams. */
export class PoolRoom {
    /** Requests that this host may have in flight. */
    readonly allowed: number;
    readonly urgent: number = 0;
    readonly normal: number = 0;
    readonly background: number = 0;
    readonly long: number = 0;
    readonly #settings: AdmissionSettings;
    readonly #preempts: boolean;

    constructor(allotments: readonly Allotment[], settings: AdmissionSettings) {
        this.#settings = settings;
        let allowed = 0;
        for (const { view, allowance } of allotments) {
            allowed += allowance;
            this.urgent += view.load.byClass.urgent;
            this.normal += view.load.byClass.normal;
            this.background += view.load.byClass.background;
            this.long += view.load.long;
        }
        this.allowed = Math.max(1, allowed);
        this.#preempts = settings.urgentPlacement === "preemption" && allotments.every(({ view }) => view.preempts);
    }

    /** @returns Slots that background work gets at least while it waits. */
    get backgroundMinimum(): number {
        return Math.max(1, Math.ceil(this.#settings.backgroundMinRatio * this.allowed));
    }

    /** @returns Slots that long work gets at most. */
    get longMaximum(): number {
        return Math.max(1, this.#settings.longMaxRatio * this.allowed);
    }

    /** @returns Slots for work that is not urgent. */
    get ordinary(): number {
        const headroom = this.#preempts ? 0 : this.#settings.headroomRatio * this.allowed;
        return Math.max(1, this.allowed - headroom);
    }

    /** @returns Whether one more request of the class fits. Work that gives way at the engine does not count. */
    fits(workClass: WorkClass): boolean {
        if (workClass === "urgent") {
            return true;
        }
        const total = this.urgent + this.normal + this.background;
        if (workClass === "background") {
            return total < this.ordinary;
        }
        const used = this.#preempts ?
            this.urgent + this.normal + Math.min(this.background, this.backgroundMinimum) :
            total;
        return used < this.ordinary;
    }

    /** @returns Whether background work is below its minimum and fits within it. */
    owesBackground(): boolean {
        return this.background < this.backgroundMinimum;
    }

    /** @returns Whether one more long request stays below the cap. */
    fitsLong(): boolean {
        return this.long < this.longMaximum;
    }

    /** @returns Slots that serve a lane when all lanes are busy. */
    slotsFor(workClass: WorkClass, long: boolean): number {
        const shares: Record<WorkClass, number> = {
            urgent: this.allowed,
            normal: Math.max(1, this.ordinary - (this.background > 0 ? this.backgroundMinimum : 0)),
            background: Math.max(this.backgroundMinimum, this.ordinary - this.urgent - this.normal),
        };
        return long && workClass !== "urgent" ? Math.min(shares[workClass], this.longMaximum) : shares[workClass];
    }
}
