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

/** How a request competes for slots. */
export interface Demand {
    readonly workClass: WorkClass;
    readonly long: boolean;
    /** Whether the engine pauses it for others. */
    readonly yields: boolean;
}

/** Room of this host at a set of upstreams. */
export class PoolRoom {
    /** Requests that this host may have in flight. */
    readonly allowed: number;
    #total = 0;
    #urgent = 0;
    #background = 0;
    #long = 0;
    #yielding = 0;
    #yieldingBackground = 0;
    readonly #settings: AdmissionSettings;
    /** Whether all upstreams pause less urgent work for more urgent work. */
    readonly #preempts: boolean;

    constructor(allotments: readonly Allotment[], settings: AdmissionSettings) {
        this.#settings = settings;
        let allowed = 0;
        for (const { view: { load }, allowance } of allotments) {
            allowed += allowance;
            this.#total += load.total;
            this.#urgent += load.byClass.urgent;
            this.#background += load.byClass.background;
            this.#long += load.long;
            this.#yielding += load.yielding;
            this.#yieldingBackground += load.yieldingBackground;
        }
        this.allowed = Math.max(1, allowed);
        this.#preempts = settings.urgentPlacement === "preemption" && allotments.every(({ view }) => view.preempts);
    }

    /** @returns Slots that background work gets at least while it waits. */
    get backgroundMinimum(): number {
        return Math.max(1, Math.ceil(this.#settings.backgroundMinRatio * this.allowed));
    }

    /** @returns Slots that long work which gives way gets at least while it waits. */
    get longMinimum(): number {
        return Math.max(1, Math.ceil(this.#settings.longMinRatio * this.allowed));
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

    /** @returns Whether one more request fits. Work that gives way counts only up to its minimum. */
    fits(demand: Demand): boolean {
        if (demand.workClass === "urgent") {
            return true;
        }
        if (demand.yields || !this.#preempts) {
            return this.#total < this.ordinary;
        }
        return this.#firm + this.#reserved < this.ordinary;
    }

    /** @returns Whether one more request fits that goes beyond the share of this host. */
    fitsBurst(demand: Demand): boolean {
        return !demand.yields && !demand.long && this.#preempts &&
            this.#firm + this.#reserved < this.ordinary * (1 + this.#settings.burstRatio);
    }

    /** @returns Whether work that others would starve is below its minimum. */
    owes(demand: Demand): boolean {
        if (demand.workClass === "background") {
            return this.#background < this.backgroundMinimum;
        }
        return demand.workClass === "normal" && demand.yields &&
            this.#yielding - this.#yieldingBackground < this.longMinimum;
    }

    /** @returns Whether one more long request stays below the cap. */
    fitsLong(): boolean {
        return this.#long < this.longMaximum;
    }

    /** @returns Slots that serve a lane when all lanes are busy. */
    slotsFor({ workClass, long, yields }: Demand): number {
        if (workClass === "urgent") {
            return this.allowed;
        }
        const others = yields || !this.#preempts ? this.#total - this.#inFlight(workClass, long) : this.#reserved;
        const least = workClass === "background" ? this.backgroundMinimum : yields ? this.longMinimum : 1;
        const slots = Math.max(least, this.ordinary - others);
        return long ? Math.min(slots, this.longMaximum) : slots;
    }

    /** Work that does not give way. */
    get #firm(): number {
        return this.#total - this.#yielding;
    }

    /** Slots that work which gives way holds against other work. */
    get #reserved(): number {
        const long = this.#yielding - this.#yieldingBackground;
        return Math.min(this.#yieldingBackground, this.backgroundMinimum) + Math.min(long, this.longMinimum);
    }

    #inFlight(workClass: WorkClass, long: boolean): number {
        return workClass === "background" ? this.#background : long ? this.#long : this.#total - this.#urgent;
    }
}
