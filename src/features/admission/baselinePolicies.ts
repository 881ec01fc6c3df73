/** Simple policies, used as baselines to measure the adaptive policy against. */
import type { WorkClass } from "../config/configTypes.js";
import { AdmissionPolicy, type UpstreamView } from "./admissionPolicy.js";
import type { AdmissionRequest } from "./admissionTypes.js";

const NothingQueued: Record<WorkClass, number> = { urgent: 0, normal: 0, background: 0 };

/** Base class of policies that send every request at once; queues form at the upstreams. */
abstract class ImmediatePolicy extends AdmissionPolicy {
    override submit(request: AdmissionRequest): void {
        const upstream = this.findAvailableUpstream(request);
        if (upstream === undefined) {
            this.context.refuse(request, "NoUpstream", this.context.settings.minRetryAfterMs);
        }
        else {
            this.context.dispatch(request, upstream, "");
        }
    }

    override findAvailableUpstream(request: AdmissionRequest): string | undefined {
        const usable = this.usableUpstreams(request);
        return usable.length === 0 ? undefined : this.choose(usable).name;
    }

    /** @returns The upstream for the next request; `upstreams` is not empty. */
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

    /** Simple load balancers do not distinguish classes. */
    override selectEnginePriority(): WorkClass {
        return "normal";
    }

    override countQueued(): Record<WorkClass, number> {
        return NothingQueued;
    }
}

/** Sends requests to the usable upstreams in turn. */
export class RoundRobinPolicy extends ImmediatePolicy {
    #next = 0;

    protected override choose(upstreams: readonly UpstreamView[]): UpstreamView {
        this.#next++;
        return upstreams[this.#next % upstreams.length]!;
    }
}

/** Sends each request to the usable upstream with the fewest requests of this host in flight. */
export class LeastRequestsPolicy extends ImmediatePolicy {
    protected override choose(upstreams: readonly UpstreamView[]): UpstreamView {
        return upstreams.reduce((a, b) => b.load.total < a.load.total ? b : a);
    }
}

interface WaitingRequest {
    readonly request: AdmissionRequest;
    readonly deadlineAtMs: number;
}

/** One first-in, first-out queue for all classes; each host uses an equal share of the slots. */
export class SingleQueuePolicy extends AdmissionPolicy {
    readonly #waiting: WaitingRequest[] = [];

    override submit(request: AdmissionRequest): void {
        if (this.#waiting.length >= this.context.settings.queueLimit) {
            this.context.refuse(request, "QueueFull", this.context.settings.minRetryAfterMs);
            return;
        }
        this.#waiting.push({ request, deadlineAtMs: this.context.nowMs() + request.maxQueueWaitMs });
        this.dispatchWaiting();
    }

    override findAvailableUpstream(request: AdmissionRequest): string | undefined {
        const available = this.usableUpstreams(request).filter(view =>
            view.load.total < Math.max(1, Math.ceil(view.slots / this.context.hostCount()))
        );
        return available.length === 0 ?
            undefined :
            available.reduce((a, b) => b.load.total < a.load.total ? b : a).name;
    }

    override cancel(requestId: string): AdmissionRequest | undefined {
        const index = this.#waiting.findIndex(waiting => waiting.request.requestId === requestId);
        return index < 0 ? undefined : this.#waiting.splice(index, 1)[0]!.request;
    }

    override dispatchWaiting(): void {
        for (let first = this.#waiting[0]; first !== undefined; first = this.#waiting[0]) {
            const upstream = this.findAvailableUpstream(first.request);
            if (upstream !== undefined) {
                this.#waiting.shift();
                this.context.dispatch(first.request, upstream, "");
            }
            else if (this.usableUpstreams(first.request).length === 0) {
                this.#waiting.shift();
                this.context.refuse(first.request, "NoUpstream", this.context.settings.minRetryAfterMs);
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
            this.context.refuse(waiting.request, "Overloaded", this.context.settings.minRetryAfterMs);
        }
        this.dispatchWaiting();
    }

    override selectEnginePriority(): WorkClass {
        return "normal";
    }

    override countQueued(): Record<WorkClass, number> {
        const queued = { ...NothingQueued };
        for (const { request } of this.#waiting) {
            queued[request.workClass]++;
        }
        return queued;
    }
}
