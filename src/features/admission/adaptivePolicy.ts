/** The router's production policy: fair queues by class and deadline, with limits that adapt to the upstreams. */
import type { WorkClass } from "../config/configTypes.js";
import { AdmissionPolicy, type PolicyContext } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import type { QueuedRequest } from "./fairQueue.js";
import type { ActiveDispatch } from "./inFlightTracker.js";
import { SlotQuotas } from "./slotQuotas.js";
import { type ClassQueue, type PoolCapacity, UpstreamPool } from "./upstreamPool.js";
import { UpstreamSelector } from "./upstreamSelector.js";

/** Maximum number of teams whose next requests are tried before a queue counts as blocked. */
const MaxHeadsTried = 4;
/** Interval of the checks that need no quick reaction, in milliseconds. */
const ReviewIntervalMs = 200;
/** Time after which a pool without requests is removed, in milliseconds. */
const PoolIdleMs = 60_000;
/** Cost of a prompt token relative to an output token; low because prompt tokens are processed in parallel. */
const PromptTokenCost = 0.05;

interface WaitingRequest {
    readonly pool: UpstreamPool;
    readonly classQueue: ClassQueue;
    readonly queued: QueuedRequest;
}

/** Sends urgent work at once; other work waits for this host's share of the slots. */
export class AdaptivePolicy extends AdmissionPolicy {
    readonly #quotas: SlotQuotas;
    readonly #selector: UpstreamSelector;
    readonly #pools = new Map<string, UpstreamPool>();
    /** Pool keys by candidate list; the route planner uses the same list object for all requests of a route. */
    readonly #poolKeys = new WeakMap<readonly string[], string>();
    readonly #waiting = new Map<string, WaitingRequest>();
    #reviewedAtMs = Number.NEGATIVE_INFINITY;

    constructor(context: PolicyContext) {
        super(context);
        this.#quotas = new SlotQuotas(context.settings);
        this.#selector = new UpstreamSelector(context, this.#quotas);
    }

    override submit(request: AdmissionRequest): void {
        const pool = this.#getOrCreatePool(request);
        if (this.usableUpstreams(request).length === 0) {
            this.#refuse(request, "NoUpstream", 0);
            return;
        }
        const classQueue = pool.classQueueFor(request.workClass, request.long);
        const nowMs = this.context.nowMs();
        const queued = { request, enqueuedAtMs: nowMs, deadlineAtMs: nowMs + request.maxQueueWaitMs };
        classQueue.fairQueue.push(queued, this.context.teamWeight(request.team));
        this.#waiting.set(request.requestId, { pool, classQueue, queued });
        this.#dispatchPool(pool);
        this.#enforceQueueLimit(request.workClass);
        if (this.#waiting.has(request.requestId)) {
            this.#refuseIfTooLate(pool, classQueue, queued);
        }
    }

    override findAvailableUpstream(request: AdmissionRequest): string | undefined {
        return this.#selector.findUpstream(request, this.usableUpstreams(request));
    }

    override cancel(requestId: string): AdmissionRequest | undefined {
        const waiting = this.#waiting.get(requestId);
        if (waiting === undefined) {
            return undefined;
        }
        waiting.classQueue.fairQueue.remove(waiting.queued);
        this.#waiting.delete(requestId);
        return waiting.queued.request;
    }

    override dispatchWaiting(): void {
        if (this.#waiting.size === 0) {
            return;
        }
        for (const pool of this.#pools.values()) {
            this.#dispatchPool(pool);
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

    /** Long normal work is sent with background priority, so that the engine pauses it for short work and resumes it later. */
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

    #getOrCreatePool(request: AdmissionRequest): UpstreamPool {
        let key = this.#poolKeys.get(request.candidates);
        if (key === undefined) {
            key = `${request.candidates.join(",")}|${request.fallbacks.join(",")}`;
            this.#poolKeys.set(request.candidates, key);
        }
        // Requests with limits of their own wait in separate pools, so that they do not block other requests of their team.
        const { maxInFlightPerUpstream, excludedUpstreams } = request;
        if (maxInFlightPerUpstream !== undefined || excludedUpstreams.length > 0) {
            key = `${key}|${maxInFlightPerUpstream}|${excludedUpstreams.join(",")}`;
        }
        let pool = this.#pools.get(key);
        if (pool === undefined) {
            pool = new UpstreamPool(key, [...request.candidates, ...request.fallbacks]);
            this.#pools.set(key, pool);
        }
        pool.lastUsedAtMs = this.context.nowMs();
        return pool;
    }

    #dispatchPool(pool: UpstreamPool): void {
        while (pool.countWaiting() > 0 && this.#dispatchNext(pool)) {
            // Each iteration dispatches one request; the next one is chosen under the limits that apply then.
        }
    }

    #dispatchNext(pool: UpstreamPool): boolean {
        for (const classQueue of this.#queuesInOrder(pool)) {
            for (const queued of classQueue.fairQueue.heads(MaxHeadsTried)) {
                const { request } = queued;
                const views = this.usableUpstreams(request);
                if (views.length === 0) {
                    this.cancel(request.requestId);
                    this.#refuse(request, "NoUpstream", 0);
                    return true;
                }
                const upstream = this.#selector.findUpstream(request, views);
                if (upstream !== undefined) {
                    classQueue.fairQueue.serve(queued, costOf(request));
                    this.#waiting.delete(request.requestId);
                    this.context.dispatch(request, upstream, pool.key);
                    return true;
                }
            }
        }
        return false;
    }

    /** @returns Queues with waiting requests, in the order in which they are tried. */
    #queuesInOrder(pool: UpstreamPool): ClassQueue[] {
        const queuesOf = (workClass: WorkClass) =>
            pool.classQueues
                .filter(classQueue => classQueue.workClass === workClass && classQueue.fairQueue.size > 0)
                .sort((a, b) => a.fairQueue.head()!.deadlineAtMs - b.fairQueue.head()!.deadlineAtMs);
        const nonUrgent = [...queuesOf("normal"), ...queuesOf("background")];
        if (nonUrgent.length < 2) {
            return [...queuesOf("urgent"), ...nonUrgent];
        }
        const capacity = this.#computeCapacity(pool);
        const belowMinimum = nonUrgent.filter(classQueue =>
            capacity.isBelowMinimum(this.#selector.schedulingClassOf(classQueue))
        );
        return [
            ...queuesOf("urgent"),
            ...belowMinimum,
            ...nonUrgent.filter(classQueue => !belowMinimum.includes(classQueue)),
        ];
    }

    #computeCapacity(pool: UpstreamPool): PoolCapacity {
        const views = pool.upstreams
            .map(name => this.context.findUpstream(name))
            .filter(view => view !== undefined && view.status.usable && !view.status.leaving);
        return this.#selector.computeCapacity(views.filter(view => view !== undefined));
    }

    /** Enforces the queue limit by refusing requests of the team with the largest backlog, so that no team fills the queue. */
    #enforceQueueLimit(workClass: WorkClass): void {
        while (this.countQueued()[workClass] > this.context.settings.queueLimit) {
            const classQueues = [...this.#pools.values()].flatMap(pool => pool.classQueues);
            const fullest = classQueues.filter(classQueue => classQueue.workClass === workClass)
                .reduce((a, b) => b.fairQueue.size > a.fairQueue.size ? b : a);
            const { request } = fullest.fairQueue.lastOfLargestBacklog()!;
            this.cancel(request.requestId);
            this.#refuse(request, "QueueFull", 0);
        }
    }

    #refuseIfTooLate(pool: UpstreamPool, classQueue: ClassQueue, queued: QueuedRequest): void {
        const { request } = queued;
        const capacity = this.#computeCapacity(pool);
        const slots = capacity.slotsFor(this.#selector.schedulingClassOf(classQueue));
        const backlog = classQueue.fairQueue.teamBacklog(request.team, this.context.teamWeight(request.team));
        const waitMs = Math.min(
            pool.serviceTimes.estimateWaitMs(classQueue.long, this.#estimateWorkAhead(pool, classQueue), slots),
            pool.serviceTimes.estimateWaitMs(
                classQueue.long,
                backlog.waitingCount - 1,
                slots * backlog.serviceFraction,
            ),
        );
        if (waitMs > request.maxQueueWaitMs) {
            this.cancel(request.requestId);
            this.#refuse(request, "Overloaded", waitMs - request.maxQueueWaitMs);
        }
    }

    /** @returns Work served before the last request of a queue, in units of that queue's mean service time. */
    #estimateWorkAhead(pool: UpstreamPool, classQueue: ClassQueue): number {
        let requestsAhead = classQueue.fairQueue.size - 1;
        for (const other of pool.classQueues) {
            if (other !== classQueue && other.workClass === classQueue.workClass && other.long && !classQueue.long) {
                // Long work is capped, so the remaining slots serve short work of the same class.
                continue;
            }
            if (other === classQueue) {
                break;
            }
            requestsAhead += other.fairQueue.size * pool.serviceTimes.meanMs(other.long) /
                pool.serviceTimes.meanMs(classQueue.long);
        }
        return requestsAhead;
    }

    #review(nowMs: number): void {
        const upstreamsInDemand = new Set<string>();
        for (const pool of this.#pools.values()) {
            if (pool.countWaiting() > 0) {
                this.#refuseLate(pool, nowMs);
                pool.upstreams.forEach(name => upstreamsInDemand.add(name));
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
                this.#quotas.adjustBorrowing(
                    { name, slots, status, ownInFlight: load.total, hostCount },
                    upstreamsInDemand.has(name),
                    nowMs,
                );
            }
        }
        this.#quotas.retain(name => this.context.findUpstream(name) !== undefined);
    }

    /** Refuses waiting requests that will miss their deadline, instead of holding them until then. */
    #refuseLate(pool: UpstreamPool, nowMs: number): void {
        const capacity = this.#computeCapacity(pool);
        for (const classQueue of pool.classQueues) {
            const slots = capacity.slotsFor(this.#selector.schedulingClassOf(classQueue));
            for (const { requests, serviceFraction } of classQueue.fairQueue.requestsByTeam()) {
                let requestsAhead = 0;
                for (const queued of requests) {
                    const lateMs = nowMs +
                        pool.serviceTimes.estimateWaitMs(classQueue.long, requestsAhead, slots * serviceFraction) -
                        queued.deadlineAtMs;
                    if (lateMs <= 0) {
                        requestsAhead++;
                        continue;
                    }
                    this.cancel(queued.request.requestId);
                    this.#refuse(queued.request, "Overloaded", lateMs);
                }
            }
        }
    }

    #refuse(request: AdmissionRequest, code: "NoUpstream" | "QueueFull" | "Overloaded", waitMs: number): void {
        this.context.refuse(request, code, Math.ceil(Math.max(this.context.settings.minRetryAfterMs, waitMs)));
    }
}

function costOf(request: AdmissionRequest): number {
    return 1 + request.maxOutputTokens + PromptTokenCost * request.promptTokens;
}
