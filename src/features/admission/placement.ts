/** Finds the upstream for one request within this host's limits. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { PolicyContext, UpstreamView } from "./admissionPolicy.js";
import type { WorkItem } from "./admissionTypes.js";
import { type Allotment, PoolRoom } from "./pool.js";
import { type Choice, chooseUpstream } from "./score.js";
import type { ShareLimits } from "./shareLimits.js";

/** Applies the limits of classes, long work and upstreams. */
export class Placement {
    readonly #context: PolicyContext;
    readonly #limits: ShareLimits;

    constructor(context: PolicyContext, limits: ShareLimits) {
        this.#context = context;
        this.#limits = limits;
    }

    /** @returns Room of this host at the upstreams. */
    room(views: readonly UpstreamView[]): PoolRoom {
        return new PoolRoom(this.#allot(views), this.#context.settings);
    }

    /**
     * @param views Upstreams that may get the request.
     * @returns Name of the upstream, or `undefined` when the request has to wait.
     */
    find(item: WorkItem, views: readonly UpstreamView[]): string | undefined {
        const allotments = this.#allot(views);
        const room = new PoolRoom(allotments, this.#context.settings);
        const limited = item.long && item.workClass !== "urgent";
        const owed = item.workClass === "background" && room.owesBackground();
        if ((!room.fits(item.workClass) && !owed) || (limited && !room.fitsLong())) {
            return undefined;
        }
        const open = this.#separate(item, allotments).filter(allotment => this.#isOpen(item, allotment));
        if (open.length === 0) {
            return undefined;
        }
        const probe = this.#probe(item, open);
        if (probe !== undefined) {
            return probe;
        }
        const choices = open.map(({ view }): Choice => ({
            name: view.name,
            slots: view.slots,
            own: view.load.total,
            others: view.status.otherLoad,
            slownessFactor: view.status.slownessFactor,
            weight: item.weights[view.name] ?? 1,
        }));
        return chooseUpstream(choices, item.prefixKey, this.#context.random, this.#context.settings).name;
    }

    #allot(views: readonly UpstreamView[]): Allotment[] {
        const hosts = this.#context.hostCount();
        return views.map(view => {
            const { name, slots, status } = view;
            return { view, allowance: this.#limits.allowance({ name, slots, status, own: view.load.total, hosts }) };
        });
    }

    /** Applies the limits of a single upstream. */
    #isOpen(item: WorkItem, { view, allowance }: Allotment): boolean {
        const { load, status } = view;
        const hosts = this.#context.hostCount();
        // The operator's cap holds for the fleet; without coordination each host takes an equal part of it.
        if (
            item.maxInFlightPerUpstream !== undefined && load.total >= Math.ceil(item.maxInFlightPerUpstream / hosts)
        ) {
            return false;
        }
        const mostAllowed = Math.max(1, Math.ceil(allowance));
        if (item.workClass === "urgent") {
            return load.byClass.urgent < Math.min(view.slots, status.concurrencyLimit);
        }
        if (item.long && load.long >= Math.max(1, Math.ceil(this.#context.settings.longMaxRatio * allowance))) {
            return false;
        }
        return this.#competing(item, view) < Math.min(mostAllowed, status.concurrencyLimit);
    }

    /** @returns Requests at the upstream that a new one would have to wait for. */
    #competing(item: WorkItem, { load, preempts }: UpstreamView): number {
        if (item.workClass === "background") {
            // Background work that is owed its minimum goes ahead although others hold all slots.
            return load.byClass.background;
        }
        return preempts && this.#context.settings.urgentPlacement === "preemption" ?
            load.total - load.byClass.background :
            load.total;
    }

    /** With dedicated upstreams, long work stays on its own ones and other work avoids them while they are in use. */
    #separate(item: WorkItem, allotments: readonly Allotment[]): readonly Allotment[] {
        const { longPlacement, longMaxRatio } = this.#context.settings;
        if (longPlacement === "cap" || allotments.length < 2 || item.workClass === "urgent") {
            return allotments;
        }
        const names = allotments.map(({ view }) => view.name);
        const count = Math.min(names.length - 1, Math.max(1, Math.round(longMaxRatio * names.length)));
        const dedicated = new Set(rendezvousOrder("long", names).slice(0, count));
        if (item.long) {
            return allotments.filter(({ view }) => dedicated.has(view.name));
        }
        return allotments.filter(({ view }) => !dedicated.has(view.name));
    }

    /** @returns A slow upstream that is due for a test, if this request may be the test. */
    #probe(item: WorkItem, open: readonly Allotment[]): string | undefined {
        if (!item.repeatable || item.long || item.workClass === "urgent" || item.excluded.length > 0) {
            return undefined;
        }
        const due = open.find(({ view }) => view.status.probeDue && view.load.total === 0);
        return due !== undefined && this.#context.takeProbe() ? due.view.name : undefined;
    }
}
