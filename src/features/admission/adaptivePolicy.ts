/** The router's policy: a queue per class, fair and by deadline, with limits that follow the upstreams. */
import type { WorkClass } from "../config/configTypes.js";
import { AdmissionPolicy, type PolicyContext } from "./admissionPolicy.js";
import type { WorkItem } from "./admissionTypes.js";
import type { QueuedItem } from "./fairQueue.js";
import type { ActiveDispatch } from "./inFlightLedger.js";
import { Placement } from "./placement.js";
import { type Lane, Pool, type PoolRoom } from "./pool.js";
import { ShareLimits } from "./shareLimits.js";

/** Requests of different teams that are tried before a lane counts as blocked. */
const HeadsTried = 4;
/** Interval of the checks that need no quick reaction. */
const ReviewIntervalMs = 200;
/** Pools without requests are forgotten after this time. */
const PoolIdleMs = 60_000;
/** Work of a request relative to its output tokens; prompt tokens are processed in parallel and count little. */
const PromptTokenCost = 0.05;

interface Waiting {
    readonly pool: Pool;
    readonly lane: Lane;
    readonly queued: QueuedItem;
}

/** Sends urgent work at once and lets other work wait for this host's share of the slots. */
export class AdaptivePolicy extends AdmissionPolicy {
    readonly #limits: ShareLimits;
    readonly #placement: Placement;
    readonly #pools = new Map<string, Pool>();
    /** Pool keys by the candidate list, which the planner reuses for all requests of a route. */
    readonly #poolKeys = new WeakMap<readonly string[], string>();
    readonly #waiting = new Map<string, Waiting>();
    #reviewedAtMs = Number.NEGATIVE_INFINITY;

    constructor(context: PolicyContext) {
        super(context);
        this.#limits = new ShareLimits(context.settings);
        this.#placement = new Placement(context, this.#limits);
    }

    override submit(item: WorkItem): void {
        const pool = this.#poolOf(item);
        if (this.usableUpstreams(item).length === 0) {
            this.#refuse(item, "NoUpstream", 0);
            return;
        }
        const lane = pool.lane(item.workClass, item.long);
        const nowMs = this.context.nowMs();
        const queued = { item, enqueuedAtMs: nowMs, deadlineAtMs: nowMs + item.deadlineMs };
        lane.queue.push(queued, this.context.teamWeight(item.team));
        this.#waiting.set(item.requestId, { pool, lane, queued });
        this.#pumpPool(pool);
        this.#boundQueue(item.workClass);
        if (this.#waiting.has(item.requestId)) {
            this.#refuseIfTooLate(pool, lane, queued);
        }
    }

    override findFree(item: WorkItem): string | undefined {
        return this.#placement.find(item, this.usableUpstreams(item));
    }

    override cancel(requestId: string): WorkItem | undefined {
        const waiting = this.#waiting.get(requestId);
        if (waiting === undefined) {
            return undefined;
        }
        waiting.lane.queue.remove(waiting.queued);
        this.#waiting.delete(requestId);
        return waiting.queued.item;
    }

    override pump(): void {
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
        this.pump();
    }

    /** Long work gives way to short work at the engine, which resumes it afterwards. */
    override enginePriority({ workClass, long }: WorkItem): WorkClass {
        return long && workClass === "normal" && this.context.settings.longYields ? "background" : workClass;
    }

    override completed(dispatch: ActiveDispatch, durationMs: number): void {
        this.#pools.get(dispatch.pool)?.serviceTimes.add(dispatch.long, durationMs);
    }

    override queued(): Record<WorkClass, number> {
        const queued: Record<WorkClass, number> = { urgent: 0, normal: 0, background: 0 };
        for (const { queued: { item } } of this.#waiting.values()) {
            queued[item.workClass]++;
        }
        return queued;
    }

    #poolOf(item: WorkItem): Pool {
        let key = this.#poolKeys.get(item.candidates);
        if (key === undefined) {
            key = `${item.candidates.join(",")}|${item.fallbacks.join(",")}`;
            this.#poolKeys.set(item.candidates, key);
        }
        // Requests with limits of their own wait apart, so that they do not block the others of their team.
        const { maxInFlightPerUpstream, excluded } = item;
        if (maxInFlightPerUpstream !== undefined || excluded.length > 0) {
            key = `${key}|${maxInFlightPerUpstream}|${excluded.join(",")}`;
        }
        let pool = this.#pools.get(key);
        if (pool === undefined) {
            pool = new Pool(key, [...item.candidates, ...item.fallbacks]);
            this.#pools.set(key, pool);
        }
        pool.usedAtMs = this.context.nowMs();
        return pool;
    }

    #pumpPool(pool: Pool): void {
        while (pool.size() > 0 && this.#serveOne(pool)) {
            // Each round serves the request that is next under the limits that then apply.
        }
    }

    #serveOne(pool: Pool): boolean {
        for (const lane of this.#order(pool)) {
            for (const queued of lane.queue.heads(HeadsTried)) {
                const { item } = queued;
                const views = this.usableUpstreams(item);
                if (views.length === 0) {
                    this.cancel(item.requestId);
                    this.#refuse(item, "NoUpstream", 0);
                    return true;
                }
                const upstream = this.#placement.find(item, views);
                if (upstream !== undefined) {
                    lane.queue.serve(queued, costOf(item));
                    this.#waiting.delete(item.requestId);
                    this.context.dispatch(item, upstream, pool.key);
                    return true;
                }
            }
        }
        return false;
    }

    /** @returns Lanes with waiting requests, in the order in which they are tried. */
    #order(pool: Pool): Lane[] {
        const byClass = (workClass: WorkClass) =>
            pool.lanes
                .filter(lane => lane.workClass === workClass && lane.queue.size > 0)
                .sort((a, b) => a.queue.head()!.deadlineAtMs - b.queue.head()!.deadlineAtMs);
        const ordinary = [...byClass("normal"), ...byClass("background")];
        if (ordinary.length < 2) {
            return [...byClass("urgent"), ...ordinary];
        }
        const room = this.#room(pool);
        const owed = ordinary.filter(lane => room.owes(this.#placement.demandOf(lane)));
        return [...byClass("urgent"), ...owed, ...ordinary.filter(lane => !owed.includes(lane))];
    }

    #room(pool: Pool): PoolRoom {
        const views = pool.upstreams
            .map(name => this.context.upstream(name))
            .filter(view => view !== undefined && view.status.usable && !view.status.leaving);
        return this.#placement.room(views.filter(view => view !== undefined));
    }

    /** Refuses requests of the team that waits most, so that one team cannot fill the queue for all. */
    #boundQueue(workClass: WorkClass): void {
        while (this.queued()[workClass] > this.context.settings.queueLimit) {
            const lanes = [...this.#pools.values()].flatMap(pool => pool.lanes);
            const fullest = lanes.filter(lane => lane.workClass === workClass)
                .reduce((a, b) => b.queue.size > a.queue.size ? b : a);
            const { item } = fullest.queue.heaviestTail()!;
            this.cancel(item.requestId);
            this.#refuse(item, "QueueFull", 0);
        }
    }

    #refuseIfTooLate(pool: Pool, lane: Lane, queued: QueuedItem): void {
        const { item } = queued;
        const room = this.#room(pool);
        const slots = room.slotsFor(this.#placement.demandOf(lane));
        const standing = lane.queue.standing(item.team, this.context.teamWeight(item.team));
        const waitMs = Math.min(
            pool.serviceTimes.waitMs(lane.long, this.#workAhead(pool, lane), slots),
            pool.serviceTimes.waitMs(lane.long, standing.waiting - 1, slots * standing.share),
        );
        if (waitMs > item.deadlineMs) {
            this.cancel(item.requestId);
            this.#refuse(item, "Overloaded", waitMs - item.deadlineMs);
        }
    }

    /** @returns Requests served before the last one of a lane, counted in requests of that lane's length. */
    #workAhead(pool: Pool, lane: Lane): number {
        let ahead = lane.queue.size - 1;
        for (const other of pool.lanes) {
            if (other !== lane && other.workClass === lane.workClass && other.long && !lane.long) {
                // Long work holds no more slots than its cap and leaves the rest to short work.
                continue;
            }
            if (other === lane) {
                break;
            }
            ahead += other.queue.size * pool.serviceTimes.meanMs(other.long) / pool.serviceTimes.meanMs(lane.long);
        }
        return ahead;
    }

    #review(nowMs: number): void {
        const wanted = new Set<string>();
        for (const pool of this.#pools.values()) {
            if (pool.size() > 0) {
                this.#shedLate(pool, nowMs);
                pool.upstreams.forEach(name => wanted.add(name));
            }
            else if (nowMs - pool.usedAtMs > PoolIdleMs) {
                this.#pools.delete(pool.key);
            }
        }
        const hosts = this.context.hostCount();
        for (const name of new Set([...this.#pools.values()].flatMap(pool => pool.upstreams))) {
            const view = this.context.upstream(name);
            if (view !== undefined) {
                const { slots, status, load } = view;
                this.#limits.adjust({ name, slots, status, own: load.total, hosts }, wanted.has(name), nowMs);
            }
        }
        this.#limits.retain(name => this.context.upstream(name) !== undefined);
    }

    /** Refuses waiting requests that will not be served in time, instead of holding them until their deadline. */
    #shedLate(pool: Pool, nowMs: number): void {
        const room = this.#room(pool);
        for (const lane of pool.lanes) {
            const slots = room.slotsFor(this.#placement.demandOf(lane));
            for (const { items, share } of lane.queue.byTeam()) {
                let ahead = 0;
                for (const queued of items) {
                    const lateMs = nowMs + pool.serviceTimes.waitMs(lane.long, ahead, slots * share) -
                        queued.deadlineAtMs;
                    if (lateMs <= 0) {
                        ahead++;
                        continue;
                    }
                    this.cancel(queued.item.requestId);
                    this.#refuse(queued.item, "Overloaded", lateMs);
                }
            }
        }
    }

    #refuse(item: WorkItem, code: "NoUpstream" | "QueueFull" | "Overloaded", waitMs: number): void {
        this.context.refuse(item, code, Math.ceil(Math.max(this.context.settings.minRetryAfterMs, waitMs)));
    }
}

function costOf(item: WorkItem): number {
    return 1 + item.maxOutputTokens + PromptTokenCost * item.promptTokens;
}
