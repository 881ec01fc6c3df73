/** The router's policy: a queue per class, fair and by deadline, with limits that follow the upstreams. */
import type { WorkClass } from "../config/configTypes.js";
import { AdmissionPolicy, type PolicyContext } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import type { QueuedRequest } from "./fairQueue.js";
import type { ActiveDispatch } from "./inFlightTracker.js";
import { SlotQuotas } from "./slotQuotas.js";
import { type ClassQueue, type PoolCapacity, UpstreamPool } from "./upstreamPool.js";
import { UpstreamSelector } from "./upstreamSelector.js";

/** Requests of different teams that are tried before a lane counts as blocked. */
const HeadsTried = 4;
/** Interval of the checks that need no quick reaction. */
const ReviewIntervalMs = 200;
/** Pools without requests are forgotten after this time. */
const PoolIdleMs = 60_000;
/** Work of a request relative to its output tokens; prompt tokens are processed in parallel and count little. */
const PromptTokenCost = 0.05;

interface Waiting {
    readonly pool: UpstreamPool;
    readonly lane: ClassQueue;
    readonly queued: QueuedRequest;
}

/** Sends urgent work at once and lets other work wait for this host's share of the slots. */
export class AdaptivePolicy extends AdmissionPolicy {
    readonly #limits: SlotQuotas;
    readonly #placement: UpstreamSelector;
    readonly #pools = new Map<string, UpstreamPool>();
    /** Pool keys by the candidate list, which the planner reuses for all requests of a route. */
    readonly #poolKeys = new WeakMap<readonly string[], string>();
    readonly #waiting = new Map<string, Waiting>();
    #reviewedAtMs = Number.NEGATIVE_INFINITY;

    constructor(context: PolicyContext) {
        super(context);
        this.#limits = new SlotQuotas(context.settings);
        this.#placement = new UpstreamSelector(context, this.#limits);
    }

    override submit(request: AdmissionRequest): void {
        const pool = this.#poolOf(request);
        if (this.usableUpstreams(request).length === 0) {
            this.#refuse(request, "NoUpstream", 0);
            return;
        }
        const lane = pool.classQueueFor(request.workClass, request.long);
        const nowMs = this.context.nowMs();
        const queued = { request, enqueuedAtMs: nowMs, deadlineAtMs: nowMs + request.maxQueueWaitMs };
        lane.fairQueue.push(queued, this.context.teamWeight(request.team));
        this.#waiting.set(request.requestId, { pool, lane, queued });
        this.#pumpPool(pool);
        this.#boundQueue(request.workClass);
        if (this.#waiting.has(request.requestId)) {
            this.#refuseIfTooLate(pool, lane, queued);
        }
    }

    override findAvailableUpstream(item: AdmissionRequest): string | undefined {
        return this.#placement.findUpstream(item, this.usableUpstreams(item));
    }

    override cancel(requestId: string): AdmissionRequest | undefined {
        const waiting = this.#waiting.get(requestId);
        if (waiting === undefined) {
            return undefined;
        }
        waiting.lane.fairQueue.remove(waiting.queued);
        this.#waiting.delete(requestId);
        return waiting.queued.request;
    }

    override dispatchWaiting(): void {
        if (this.#waiting.size === 0) {
            return;
        }
        for (const pool of this.#pools.values()) {
            this.#pumpPool(pool);
        }
    }

    override tick(): void {
        const nowMs = this.context.nowMs();
        if (nowMs - this.#reviewedAtMs >= ReviewIntervalMs) {
            this.#reviewedAtMs = nowMs;
            this.#review(nowMs);
        }
        this.dispatchWaiting();
    }

    /** Long work gives way to short work at the engine, which resumes it afterwards. */
    override selectEnginePriority({ workClass, long }: AdmissionRequest): WorkClass {
        return long && workClass === "normal" && this.context.settings.longYields ? "background" : workClass;
    }

    override recordCompletion(dispatch: ActiveDispatch, durationMs: number): void {
        this.#pools.get(dispatch.poolKey)?.serviceTimes.recordDuration(dispatch.long, durationMs);
    }

    override countQueued(): Record<WorkClass, number> {
        const queued: Record<WorkClass, number> = { urgent: 0, normal: 0, background: 0 };
        for (const { queued: { request } } of this.#waiting.values()) {
            queued[request.workClass]++;
        }
        return queued;
    }

    #poolOf(item: AdmissionRequest): UpstreamPool {
        let key = this.#poolKeys.get(item.candidates);
        if (key === undefined) {
            key = `${item.candidates.join(",")}|${item.fallbacks.join(",")}`;
            this.#poolKeys.set(item.candidates, key);
        }
        // Requests with limits of their own wait apart, so that they do not block the others of their team.
        const { maxInFlightPerUpstream, excludedUpstreams } = item;
        if (maxInFlightPerUpstream !== undefined || excludedUpstreams.length > 0) {
            key = `${key}|${maxInFlightPerUpstream}|${excludedUpstreams.join(",")}`;
        }
        let pool = this.#pools.get(key);
        if (pool === undefined) {
            pool = new UpstreamPool(key, [...item.candidates, ...item.fallbacks]);
            this.#pools.set(key, pool);
        }
        pool.lastUsedAtMs = this.context.nowMs();
        return pool;
    }

    #pumpPool(pool: UpstreamPool): void {
        while (pool.countWaiting() > 0 && this.#serveOne(pool)) {
            // Each round serves the request that is next under the limits that then apply.
        }
    }

    #serveOne(pool: UpstreamPool): boolean {
        for (const lane of this.#order(pool)) {
            for (const queued of lane.fairQueue.heads(HeadsTried)) {
                const { request } = queued;
                const views = this.usableUpstreams(request);
                if (views.length === 0) {
                    this.cancel(request.requestId);
                    this.#refuse(request, "NoUpstream", 0);
                    return true;
                }
                const upstream = this.#placement.findUpstream(request, views);
                if (upstream !== undefined) {
                    lane.fairQueue.serve(queued, costOf(request));
                    this.#waiting.delete(request.requestId);
                    this.context.dispatch(request, upstream, pool.key);
                    return true;
                }
            }
        }
        return false;
    }

    /** @returns Lanes with waiting requests, in the order in which they are tried. */
    #order(pool: UpstreamPool): ClassQueue[] {
        const byClass = (workClass: WorkClass) =>
            pool.classQueues
                .filter(lane => lane.workClass === workClass && lane.fairQueue.size > 0)
                .sort((a, b) => a.fairQueue.head()!.deadlineAtMs - b.fairQueue.head()!.deadlineAtMs);
        const ordinary = [...byClass("normal"), ...byClass("background")];
        if (ordinary.length < 2) {
            return [...byClass("urgent"), ...ordinary];
        }
        const room = this.#room(pool);
        const owed = ordinary.filter(lane => room.isBelowMinimum(this.#placement.schedulingClassOf(lane)));
        return [...byClass("urgent"), ...owed, ...ordinary.filter(lane => !owed.includes(lane))];
    }

    #room(pool: UpstreamPool): PoolCapacity {
        const views = pool.upstreams
            .map(name => this.context.findUpstream(name))
            .filter(view => view !== undefined && view.status.usable && !view.status.leaving);
        return this.#placement.computeCapacity(views.filter(view => view !== undefined));
    }

    /** Refuses requests of the team that waits most, so that one team cannot fill the queue for all. */
    #boundQueue(workClass: WorkClass): void {
        while (this.countQueued()[workClass] > this.context.settings.queueLimit) {
            const lanes = [...this.#pools.values()].flatMap(pool => pool.classQueues);
            const fullest = lanes.filter(lane => lane.workClass === workClass)
                .reduce((a, b) => b.fairQueue.size > a.fairQueue.size ? b : a);
            const { request } = fullest.fairQueue.lastOfLargestBacklog()!;
            this.cancel(request.requestId);
            this.#refuse(request, "QueueFull", 0);
        }
    }

    #refuseIfTooLate(pool: UpstreamPool, lane: ClassQueue, queued: QueuedRequest): void {
        const { request } = queued;
        const room = this.#room(pool);
        const slots = room.slotsFor(this.#placement.schedulingClassOf(lane));
        const standing = lane.fairQueue.teamBacklog(request.team, this.context.teamWeight(request.team));
        const waitMs = Math.min(
            pool.serviceTimes.estimateWaitMs(lane.long, this.#workAhead(pool, lane), slots),
            pool.serviceTimes.estimateWaitMs(lane.long, standing.waiting - 1, slots * standing.share),
        );
        if (waitMs > request.maxQueueWaitMs) {
            this.cancel(request.requestId);
            this.#refuse(request, "Overloaded", waitMs - request.maxQueueWaitMs);
        }
    }

    /** @returns Requests served before the last one of a lane, counted in requests of that lane's length. */
    #workAhead(pool: UpstreamPool, lane: ClassQueue): number {
        let ahead = lane.fairQueue.size - 1;
        for (const other of pool.classQueues) {
            if (other !== lane && other.workClass === lane.workClass && other.long && !lane.long) {
                // Long work holds no more slots than its cap and leaves the rest to short work.
                continue;
            }
            if (other === lane) {
                break;
            }
            ahead += other.fairQueue.size * pool.serviceTimes.meanMs(other.long) / pool.serviceTimes.meanMs(lane.long);
        }
        return ahead;
    }

    #review(nowMs: number): void {
        const wanted = new Set<string>();
        for (const pool of this.#pools.values()) {
            if (pool.countWaiting() > 0) {
                this.#shedLate(pool, nowMs);
                pool.upstreams.forEach(name => wanted.add(name));
            }
            else if (nowMs - pool.lastUsedAtMs > PoolIdleMs) {
                this.#pools.delete(pool.key);
            }
        }
        const hostCount = this.context.hostCount();
        for (const name of new Set([...this.#pools.values()].flatMap(pool => pool.upstreams))) {
            const view = this.context.findUpstream(name);
            if (view !== undefined) {
                const { slots, status, load } = view;
                this.#limits.adjustBorrowing(
                    { name, slots, status, ownInFlight: load.total, hostCount },
                    wanted.has(name),
                    nowMs,
                );
            }
        }
        this.#limits.retain(name => this.context.findUpstream(name) !== undefined);
    }

    /** Refuses waiting requests that will not be served in time, instead of holding them until their deadline. */
    #shedLate(pool: UpstreamPool, nowMs: number): void {
        const room = this.#room(pool);
        for (const lane of pool.classQueues) {
            const slots = room.slotsFor(this.#placement.schedulingClassOf(lane));
            for (const { items, share } of lane.fairQueue.requestsByTeam()) {
                let ahead = 0;
                for (const queued of items) {
                    const lateMs = nowMs + pool.serviceTimes.estimateWaitMs(lane.long, ahead, slots * share) -
                        queued.deadlineAtMs;
                    if (lateMs <= 0) {
                        ahead++;
                        continue;
                    }
                    this.cancel(queued.request.requestId);
                    this.#refuse(queued.request, "Overloaded", lateMs);
                }
            }
        }
    }

    #refuse(item: AdmissionRequest, code: "NoUpstream" | "QueueFull" | "Overloaded", waitMs: number): void {
        this.context.refuse(item, code, Math.ceil(Math.max(this.context.settings.minRetryAfterMs, waitMs)));
    }
}

function costOf(item: AdmissionRequest): number {
    return 1 + item.maxOutputTokens + PromptTokenCost * item.promptTokens;
}
