/** Finds the upstream for one request within this host's limits. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { PolicyContext, UpstreamView } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import { chooseUpstream, type UpstreamCandidate } from "./chooseUpstream.js";
import type { SlotQuotas } from "./slotQuotas.js";
import { PoolCapacity, type SchedulingClass, type UpstreamQuota } from "./upstreamPool.js";

/** Why a request may be sent: within the share, as part of the minimum of its class, or beyond the share. */
type Entitlement = "share" | "minimum" | "burst";

/** Applies the limits of classes, long work and upstreams. */
export class UpstreamSelector {
    readonly #context: PolicyContext;
    readonly #limits: SlotQuotas;

    constructor(context: PolicyContext, limits: SlotQuotas) {
        this.#context = context;
        this.#limits = limits;
    }

    /** @returns Room of this host at the upstreams. */
    computeCapacity(views: readonly UpstreamView[]): PoolCapacity {
        return new PoolCapacity(this.#allot(views), this.#context.settings);
    }

    /** @returns How the request competes for slots. */
    schedulingClassOf({ workClass, long }: Pick<AdmissionRequest, "workClass" | "long">): SchedulingClass {
        const isPreemptible = workClass === "background" ||
            (long && workClass === "normal" && this.#context.settings.longYields);
        return { workClass, long, isPreemptible };
    }

    /**
     * @param views Upstreams that may get the request.
     * @returns Name of the upstream, or `undefined` when the request has to wait.
     */
    findUpstream(item: AdmissionRequest, views: readonly UpstreamView[]): string | undefined {
        const allotments = this.#allot(views);
        const room = new PoolCapacity(allotments, this.#context.settings);
        const demand = this.schedulingClassOf(item);
        if (item.long && item.workClass !== "urgent" && !room.hasLongCapacity()) {
            return undefined;
        }
        const separated = this.#separate(item, allotments);
        const open = entitlementsOf(room, demand)
            .map(entitlement => separated.filter(one => this.#isOpen(item, demand, one, entitlement)))
            .find(allowed => allowed.length > 0);
        if (open === undefined) {
            return undefined;
        }
        const probe = this.#probe(item, open);
        if (probe !== undefined) {
            return probe;
        }
        const choices = open.map(({ view }): UpstreamCandidate => ({
            name: view.name,
            slots: view.slots,
            ownInFlight: view.load.total,
            otherLoad: this.#context.settings.othersWeight * view.status.otherLoad,
            slownessFactor: view.status.slownessFactor,
            weight: item.weights[view.name] ?? 1,
        }));
        const prefixKey = item.promptTokens < this.#context.settings.affinityMinPromptTokens ?
            undefined :
            item.prefixKey;
        return chooseUpstream(choices, prefixKey, this.#context.random, this.#context.settings).name;
    }

    #allot(views: readonly UpstreamView[]): UpstreamQuota[] {
        const hostCount = this.#context.hostCount();
        return views.map(view => {
            const { name, slots, status } = view;
            return {
                view,
                quota: this.#limits.computeQuota({ name, slots, status, ownInFlight: view.load.total, hostCount }),
            };
        });
    }

    /** Applies the limits of a single upstream. */
    #isOpen(
        item: AdmissionRequest,
        demand: SchedulingClass,
        { view, quota }: UpstreamQuota,
        entitlement: Entitlement,
    ): boolean {
        const { load, status, slots } = view;
        const hosts = this.#context.hostCount();
        // The operator's cap holds for the fleet; without coordination each host takes an equal part of it.
        if (
            item.maxInFlightPerUpstream !== undefined && load.total >= Math.ceil(item.maxInFlightPerUpstream / hosts)
        ) {
            return false;
        }
        if (item.workClass === "urgent") {
            return load.byClass.urgent < Math.min(slots, status.concurrencyLimit);
        }
        if (item.long && load.long >= Math.max(1, Math.ceil(this.#context.settings.longMaxRatio * quota))) {
            return false;
        }
        const burst = entitlement === "burst";
        // Work that gives way makes room for a burst; otherwise slots must seem free.
        const hasRoom = load.yielding > 0 || load.total + status.otherLoad < slots;
        if (burst && (!hasRoom || status.slownessFactor > 1)) {
            return false;
        }
        const most = Math.max(1, Math.ceil(burst ? quota * (1 + this.#context.settings.burstRatio) : quota));
        return this.#competing(demand, view, entitlement) < Math.min(most, status.concurrencyLimit);
    }

    /** @returns Requests at the upstream that a new one would have to wait for. */
    #competing(demand: SchedulingClass, { load, supportsPreemption }: UpstreamView, entitlement: Entitlement): number {
        if (entitlement === "minimum") {
            // Work that is owed its minimum goes ahead although other work holds all slots.
            return demand.workClass === "background" ?
                load.yieldingBackground :
                load.yielding - load.yieldingBackground;
        }
        return !demand.isPreemptible && supportsPreemption && this.#context.settings.urgentPlacement === "preemption" ?
            load.total - load.yielding :
            load.total;
    }

    /** With dedicated upstreams, long work stays on its own ones and other work avoids them while they are in use. */
    #separate(item: AdmissionRequest, allotments: readonly UpstreamQuota[]): readonly UpstreamQuota[] {
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
    #probe(item: AdmissionRequest, open: readonly UpstreamQuota[]): string | undefined {
        if (!item.repeatable || item.long || item.workClass === "urgent" || item.excludedUpstreams.length > 0) {
            return undefined;
        }
        const due = open.find(({ view }) => view.status.probeDue && view.load.total === 0);
        return due !== undefined && this.#context.tryAcquireProbe() ? due.view.name : undefined;
    }
}

function entitlementsOf(room: PoolCapacity, demand: SchedulingClass): Entitlement[] {
    const entitlements: Entitlement[] = room.hasCapacityFor(demand) ? ["share"] : [];
    if (room.isBelowMinimum(demand)) {
        entitlements.push("minimum");
    }
    if (room.hasBurstCapacityFor(demand)) {
        entitlements.push("burst");
    }
    return entitlements;
}
