/** Decides when and where admitted requests are sent. */
import { match } from "ts-pattern";
import type { ResultCodeName } from "../../base/resultCodes.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import type { DispatchResult } from "../upstream/upstreamTypes.js";
import { AdaptivePolicy } from "./adaptivePolicy.js";
import type { AdmissionPolicy, PolicyContext, UpstreamView } from "./admissionPolicy.js";
import type { AdmissionSettings, PolicyName } from "./admissionSettings.js";
import type { AdmissionOutcome, AdmissionRequest } from "./admissionTypes.js";
import { LeastRequestsPolicy, RoundRobinPolicy, SingleQueuePolicy } from "./baselinePolicies.js";
import { InFlightTracker } from "./inFlightTracker.js";
import { RetryBudget } from "./retryBudget.js";

/** Answers every admission request once and writes the admission section of the blackboard. */
export class AdmissionController extends Controller {
    override readonly name = "admission" as const;
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "admissionRequested",
        "retryRequested",
        "admissionCancelled",
        "dispatchStarted",
        "dispatchEnded",
    ]);
    readonly #settings: AdmissionSettings;
    readonly #ledger = new InFlightTracker();
    readonly #budget: RetryBudget;
    readonly #policy: AdmissionPolicy;
    #hostCount = 1;

    constructor(context: ControllerContext, settings: AdmissionSettings) {
        super(context);
        this.#settings = settings;
        this.#budget = new RetryBudget(settings);
        this.#policy = createPolicy(settings.policy, this.#createPolicyContext());
    }

    override handle(event: RouterEvent): void {
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with({ type: "admissionRequested" }, ({ request }) => {
                this.#budget.recordRequest(this.context.clock.monotonicMs());
                this.#policy.submit(request);
            })
            .with({ type: "retryRequested" }, ({ request, reason }) => this.#retry(request, reason))
            .with({ type: "admissionCancelled" }, ({ requestId }) => this.#cancel(requestId))
            .with(
                { type: "dispatchStarted" },
                ({ requestId, upstream, long }) => this.#started(requestId, upstream, long),
            )
            .with(
                { type: "dispatchEnded" },
                ({ requestId, upstream, result, durationMs }) => this.#ended(requestId, upstream, result, durationMs),
            )
            .otherwise(() => undefined);
    }

    override dumpState(): unknown {
        const { upstreams } = this.context.board.config.resources;
        return {
            policy: this.#settings.policy,
            hostCount: this.#hostCount,
            loads: Object.fromEntries([...upstreams.keys()].map(name => [name, this.#ledger.loadOf(name)])),
        };
    }

    #createPolicyContext(): PolicyContext {
        const { clock, random } = this.context;
        return {
            settings: this.#settings,
            random,
            nowMs: () => clock.monotonicMs(),
            hostCount: () => this.#hostCount,
            teamWeight: team => this.context.board.config.resources.teams.get(team)?.weight ?? 1,
            findUpstream: name => this.#view(name),
            dispatch: (item, upstream, pool) => this.#dispatch(item, upstream, pool),
            refuse: (item, code, retryAfterMs) => this.#refuse(item, code, retryAfterMs),
            tryAcquireProbe: () => this.#takeProbe(),
        };
    }

    #view(name: string): UpstreamView | undefined {
        const { config, upstream } = this.context.board;
        const resource = config.resources.upstreams.get(name);
        const status = upstream.statuses.get(name);
        if (resource === undefined || status === undefined) {
            return undefined;
        }
        const supportsPreemption = resource.type === "engine";
        return { name, slots: resource.slots, supportsPreemption, status, load: this.#ledger.loadOf(name) };
    }

    #tick(): void {
        const nowMs = this.context.clock.monotonicMs();
        let hosts = 1;
        for (const member of this.context.board.membership.members.values()) {
            hosts += member.state === "live" ? 1 : 0;
        }
        this.#hostCount = hosts;
        this.#ledger.removeExpired(nowMs - this.#settings.dispatchStartTimeoutMs);
        this.#policy.tick();
        this.context.board.admission.queued = this.#policy.countQueued();
    }

    #retry(item: AdmissionRequest, reason: "retry" | "hedge"): void {
        const nowMs = this.context.clock.monotonicMs();
        const requests = this.#budget.countRequests(nowMs);
        if (reason === "retry") {
            if (this.#budget.retries.tryAcquire(requests, nowMs)) {
                this.#policy.submit(item);
            }
            else {
                this.context.counters.add("admission.retryBudgetSpent");
                this.#refuse(item, "Overloaded", this.#settings.minRetryAfterMs);
            }
            return;
        }
        this.#hedge(item);
    }

    #hedge(item: AdmissionRequest): void {
        const upstream = this.#mayHedge(item) ? this.#policy.findAvailableUpstream(item) : undefined;
        if (upstream === undefined) {
            this.context.counters.add("admission.hedgeWithoutUpstream");
            this.#refuse(item, "Overloaded", undefined);
        }
        else if (this.#budget.hedges.tryAcquire()) {
            this.context.counters.add("admission.hedged");
            this.#dispatch(item, upstream, "");
        }
        else {
            this.context.counters.add("admission.hedgeBudgetSpent");
            this.#refuse(item, "Overloaded", undefined);
        }
    }

    /** Long work is late by nature; a second run pays only when its upstream is known to be slow. */
    #mayHedge(item: AdmissionRequest): boolean {
        const { statuses } = this.context.board.upstream;
        return item.repeatable &&
            (!item.long || item.excludedUpstreams.some(name => (statuses.get(name)?.slownessFactor ?? 1) > 1));
    }

    #cancel(requestId: string): void {
        const item = this.#policy.cancel(requestId);
        if (item === undefined) {
            this.#ledger.removePending(requestId);
        }
        else {
            this.#refuse(item, "Overloaded", undefined);
        }
        this.#policy.dispatchWaiting();
    }

    #started(requestId: string, upstream: string, long: boolean): void {
        if (!this.#ledger.recordStart(requestId, upstream)) {
            const decidedAtMs = this.context.clock.monotonicMs();
            this.#ledger.recordDecision(
                { requestId, upstream, workClass: "normal", long, isPreemptible: false, decidedAtMs, poolKey: "" },
                true,
            );
        }
    }

    #ended(requestId: string, upstream: string, result: DispatchResult, durationMs: number): void {
        const dispatch = this.#ledger.recordEnd(requestId, upstream);
        if (dispatch !== undefined && result === "complete") {
            this.#policy.recordCompletion(dispatch, durationMs);
        }
        this.#policy.dispatchWaiting();
    }

    #takeProbe(): boolean {
        const nowMs = this.context.clock.monotonicMs();
        // A probe is hedged, so that it needs a hedge to spare.
        return this.#budget.hedges.isAvailable &&
            this.#budget.probes.tryAcquire(this.#budget.countRequests(nowMs), nowMs);
    }

    #dispatch(item: AdmissionRequest, upstream: string, poolKey: string): void {
        const { requestId, workClass, long } = item;
        const decidedAtMs = this.context.clock.monotonicMs();
        const enginePriority = this.#policy.selectEnginePriority(item);
        const isPreemptible = enginePriority === "background";
        this.#ledger.recordDecision({ requestId, upstream, workClass, long, isPreemptible, decidedAtMs, poolKey });
        this.context.counters.add(`admission.dispatched.${workClass}`);
        this.#decide(item, { status: "dispatch", upstream, enginePriority });
    }

    #refuse(item: AdmissionRequest, code: ResultCodeName, retryAfterMs: number | undefined): void {
        this.context.counters.add(`admission.refused.${code}`);
        this.#decide(item, { status: "refused", code, retryAfterMs });
    }

    #decide(item: AdmissionRequest, outcome: AdmissionOutcome): void {
        const { requestId } = item;
        this.context.emit({ type: "notify", notification: { type: "admissionDecided", requestId, outcome } });
    }
}

function createPolicy(name: PolicyName, context: PolicyContext): AdmissionPolicy {
    return match(name)
        .with("adaptive", () => new AdaptivePolicy(context))
        .with("roundRobin", () => new RoundRobinPolicy(context))
        .with("leastRequests", () => new LeastRequestsPolicy(context))
        .with("singleQueue", () => new SingleQueuePolicy(context))
        .exhaustive();
}
