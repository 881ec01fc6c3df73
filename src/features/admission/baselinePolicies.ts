/** Simple policies to measure the real one against. */
import type { WorkClass } from "../config/configTypes.js";
import { AdmissionPolicy, type UpstreamView } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";

const NothingQueued: Record<WorkClass, number> = { urgent: 0, normal: 0, background: 0 };

/** Sends every request at once; queues form at the upstreams. */
abstract class ImmediatePolicy extends AdmissionPolicy {
    override submit(item: AdmissionRequest): void {
        const upstream = this.findAvailableUpstream(item);
        if (upstream === undefined) {
            this.context.refuse(item, "NoUpstream", this.context.settings.minRetryAfterMs);
        }
        else {
            this.context.dispatch(item, upstream, "");
        }
    }

    override findAvailableUpstream(item: AdmissionRequest): string | undefined {
        const usable = this.usableUpstreams(item);
        return usable.length === 0 ? undefined : this.choose(usable).name;
    }

    protected abstract choose(upstreams: readonly UpstreamView[]): UpstreamView;

    override cancel(): undefined {
        return undefined;
    }

    override dispatchWaiting(): void {
        // Nothing waits here.
    }

    override tick(): void {
        // Nothing waits here.
    }

    /** Plain balancers do not know classes. */
    override selectEnginePriority(): WorkClass {
        return "normal";
    }

    override countQueued(): Record<WorkClass, number> {
        return NothingQueued;
    }
}

/** Takes the upstreams in turn. */
export class RoundRobinPolicy extends ImmediatePolicy {
    #next = 0;

    protected override choose(upstreams: readonly UpstreamView[]): UpstreamView {
        this.#next++;
        return upstreams[this.#next % upstreams.length]!;
    }
}

/** Takes the upstream with the fewest requests of this host. */
export class LeastRequestsPolicy extends ImmediatePolicy {
    protected override choose(upstreams: readonly UpstreamView[]): UpstreamView {
        return upstreams.reduce((a, b) => b.load.total < a.load.total ? b : a);
    }
}

interface Waiting {
    readonly item: AdmissionRequest;
    readonly deadlineAtMs: number;
}

/** One queue for all classes, first in, first out; each host uses its share of the slots. */
export class SingleQueuePolicy extends AdmissionPolicy {
    readonly #waiting: Waiting[] = [];

    override submit(item: AdmissionRequest): void {
        if (this.#waiting.length >= this.context.settings.queueLimit) {
            this.context.refuse(item, "QueueFull", this.context.settings.minRetryAfterMs);
            return;
        }
        this.#waiting.push({ item, deadlineAtMs: this.context.nowMs() + item.maxQueueWaitMs });
        this.dispatchWaiting();
    }

    override findAvailableUpstream(item: AdmissionRequest): string | undefined {
        const free = this.usableUpstreams(item).filter(view =>
            view.load.total < Math.max(1, Math.ceil(view.slots / this.context.hostCount()))
        );
        return free.length === 0 ? undefined : free.reduce((a, b) => b.load.total < a.load.total ? b : a).name;
    }

    override cancel(requestId: string): AdmissionRequest | undefined {
        const index = this.#waiting.findIndex(waiting => waiting.item.requestId === requestId);
        return index < 0 ? undefined : this.#waiting.splice(index, 1)[0]!.item;
    }

    override dispatchWaiting(): void {
        for (let first = this.#waiting[0]; first !== undefined; first = this.#waiting[0]) {
            const upstream = this.findAvailableUpstream(first.item);
            if (upstream !== undefined) {
                this.#waiting.shift();
                this.context.dispatch(first.item, upstream, "");
            }
            else if (this.usableUpstreams(first.item).length === 0) {
                this.#waiting.shift();
                this.context.refuse(first.item, "NoUpstream", this.context.settings.minRetryAfterMs);
            }
            else {
                return;
            }
        }
    }

    override tick(): void {
        const nowMs = this.context.nowMs();
        for (const waiting of this.#waiting.filter(entry => entry.deadlineAtMs <= nowMs)) {
            this.#waiting.splice(this.#waiting.indexOf(waiting), 1);
            this.context.refuse(waiting.item, "Overloaded", this.context.settings.minRetryAfterMs);
        }
        this.dispatchWaiting();
    }

    override selectEnginePriority(): WorkClass {
        return "normal";
    }

    override countQueued(): Record<WorkClass, number> {
        const queued = { ...NothingQueued };
        for (const { item } of this.#waiting) {
            queued[item.workClass]++;
        }
        return queued;
    }
}
