/** Selects the upstream for a request within the limits of this host. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { PolicyContext, UpstreamView } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import { chooseUpstream, type UpstreamCandidate } from "./chooseUpstream.js";
import type { SlotQuotas } from "./slotQuotas.js";
import { PoolCapacity, type SchedulingClass, type UpstreamQuota } from "./upstreamPool.js";

/** Reason why a request may be sent: within the host's share, within the minimum of its class, or beyond the share. */
type Entitlement = "share" | "minimum" | "burst";

/** Selects an upstream by applying the limits of classes, long work and upstreams. */
export class UpstreamSelector {
    readonly #context: PolicyContext;
    readonly #quotas: SlotQuotas;

    constructor(context: PolicyContext, quotas: SlotQuotas) {
        this.#context = context;
        this.#quotas = quotas;
    }

    /** @returns Capacity of this host at the upstreams. */
    computeCapacity(views: readonly UpstreamView[]): PoolCapacity {
        return new PoolCapacity(this.#computeQuotas(views), this.#context.settings);
    }

    /** @returns How a request competes for slots. */
    schedulingClassOf({ workClass, long }: Pick<AdmissionRequest, "workClass" | "long">): SchedulingClass {
        const isPreemptible = workClass === "background" ||
            (long && workClass === "normal" && this.#context.settings.longYields);
        return { workClass, long, isPreemptible };
    }

    /**
     * Selects the upstream for a request.
     * @param views Upstreams that may get the request.
     * @returns Name of the upstream, or `undefined` when the request has to wait.
     */
    findUpstream(request: AdmissionRequest, views: readonly UpstreamView[]): string | undefined {
        const upstreamQuotas = this.#computeQuotas(views);
        const capacity = new PoolCapacity(upstreamQuotas, this.#context.settings);
        const schedulingClass = this.schedulingClassOf(request);
        if (request.long && request.workClass !== "urgent" && !capacity.hasLongCapacity()) {
            return undefined;
        }
        const eligible = this.#filterDedicated(request, upstreamQuotas);
        const available = entitlementsOf(capacity, schedulingClass)
            .map(entitlement =>
                eligible.filter(candidate => this.#isWithinLimits(request, schedulingClass, candidate, entitlement))
            )
            .find(allowed => allowed.length > 0);
        if (available === undefined) {
            return undefined;
        }
        const probe = this.#findProbe(request, available);
        if (probe !== undefined) {
            return probe;
        }
        const choices = available.map(({ view }): UpstreamCandidate => ({
            name: view.name,
            slots: view.slots,
            ownInFlight: view.load.total,
            otherLoad: this.#context.settings.othersWeight * view.status.otherLoad,
            slownessFactor: view.status.slownessFactor,
            weight: request.weights[view.name] ?? 1,
        }));
        const prefixKey = request.promptTokens < this.#context.settings.affinityMinPromptTokens ?
            undefined :
            request.prefixKey;
        return chooseUpstream(choices, prefixKey, this.#context.random, this.#context.settings).name;
    }

    #computeQuotas(views: readonly UpstreamView[]): UpstreamQuota[] {
        const hostCount = this.#context.hostCount();
        return views.map(view => {
            const { name, slots, status } = view;
            return {
                view,
                quota: this.#quotas.computeQuota({ name, slots, status, ownInFlight: view.load.total, hostCount }),
            };
        });
    }

    /** @returns Whether the limits of a single upstream allow the request. */
    #isWithinLimits(
        request: AdmissionRequest,
        schedulingClass: SchedulingClass,
        { view, quota }: UpstreamQuota,
        entitlement: Entitlement,
    ): boolean {
        const { load, status, slots } = view;
        const hostCount = this.#context.hostCount();
        // The operator's cap applies to the whole fleet; hosts do not coordinate, so each one gets an equal fraction.
        if (
            request.maxInFlightPerUpstream !== undefined &&
            load.total >= Math.ceil(request.maxInFlightPerUpstream / hostCount)
        ) {
            return false;
        }
        if (request.workClass === "urgent") {
            return load.byClass.urgent < Math.min(slots, status.concurrencyLimit);
        }
        if (request.long && load.long >= Math.max(1, Math.ceil(this.#context.settings.longMaxRatio * quota))) {
            return false;
        }
        const isBurst = entitlement === "burst";
        // Preemptible work can be paused for a burst; without such work, slots must seem free.
        const hasFreeCapacity = load.yielding > 0 || load.total + status.otherLoad < slots;
        if (isBurst && (!hasFreeCapacity || status.slownessFactor > 1)) {
            return false;
        }
        const maxInFlight = Math.max(1, Math.ceil(isBurst ? quota * (1 + this.#context.settings.burstRatio) : quota));
        return this.#countCompeting(schedulingClass, view, entitlement) <
            Math.min(maxInFlight, status.concurrencyLimit);
    }

    /** @returns Requests at the upstream that a new one would have to wait for. */
    #countCompeting(
        schedulingClass: SchedulingClass,
        { load, supportsPreemption }: UpstreamView,
        entitlement: Entitlement,
    ): number {
        if (entitlement === "minimum") {
            // Work below its minimum is sent although other work holds all slots.
            return schedulingClass.workClass === "background" ?
                load.yieldingBackground :
                load.yielding - load.yieldingBackground;
        }
        return !schedulingClass.isPreemptible && supportsPreemption &&
                this.#context.settings.urgentPlacement === "preemption" ?
            load.total - load.yielding :
            load.total;
    }

    /**
     * Applies dedicated upstreams: long work may use only the dedicated ones, other work only the remaining ones. Urgent
     * work may use all.
     */
    #filterDedicated(request: AdmissionRequest, upstreamQuotas: readonly UpstreamQuota[]): readonly UpstreamQuota[] {
        const { longPlacement, longMaxRatio } = this.#context.settings;
        if (longPlacement === "cap" || upstreamQuotas.length < 2 || request.workClass === "urgent") {
            return upstreamQuotas;
        }
        const names = upstreamQuotas.map(({ view }) => view.name);
        const dedicatedCount = Math.min(names.length - 1, Math.max(1, Math.round(longMaxRatio * names.length)));
        const dedicated = new Set(rendezvousOrder("long", names).slice(0, dedicatedCount));
        if (request.long) {
            return upstreamQuotas.filter(({ view }) => dedicated.has(view.name));
        }
        return upstreamQuotas.filter(({ view }) => !dedicated.has(view.name));
    }

    /** @returns Name of a slow upstream that is due for a probe, if this request may be the probe. */
    #findProbe(request: AdmissionRequest, available: readonly UpstreamQuota[]): string | undefined {
        if (
            !request.repeatable || request.long || request.workClass === "urgent" ||
            request.excludedUpstreams.length > 0
        ) {
            return undefined;
        }
        const dueForProbe = available.find(({ view }) => view.status.probeDue && view.load.total === 0);
        return dueForProbe !== undefined && this.#context.tryAcquireProbe() ? dueForProbe.view.name : undefined;
    }
}

function entitlementsOf(capacity: PoolCapacity, schedulingClass: SchedulingClass): Entitlement[] {
    const entitlements: Entitlement[] = capacity.hasCapacityFor(schedulingClass) ? ["share"] : [];
    if (capacity.isBelowMinimum(schedulingClass)) {
        entitlements.push("minimum");
    }
    if (capacity.hasBurstCapacityFor(schedulingClass)) {
        entitlements.push("burst");
    }
    return entitlements;
}
