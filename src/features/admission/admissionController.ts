/** Decides when and to which upstream admitted requests are sent. */
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

/** Decides every admission request, retry and hedge once, and writes the admission section of the blackboard. */
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
    readonly #inFlight = new InFlightTracker();
    readonly #retryBudget: RetryBudget;
    readonly #policy: AdmissionPolicy;
    #hostCount = 1;

    constructor(context: ControllerContext, settings: AdmissionSettings) {
        super(context);
        this.#settings = settings;
        this.#retryBudget = new RetryBudget(settings);
        this.#policy = createPolicy(settings.policy, this.#createPolicyContext());
    }

    override handle(event: RouterEvent): void {
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with({ type: "admissionRequested" }, ({ request }) => {
                this.#retryBudget.recordRequest(this.context.clock.monotonicMs());
                this.#policy.submit(request);
            })
            .with({ type: "retryRequested" }, ({ request, reason }) => this.#handleRetryRequest(request, reason))
            .with({ type: "admissionCancelled" }, ({ requestId }) => this.#cancel(requestId))
            .with(
                { type: "dispatchStarted" },
                ({ requestId, upstream, long }) => this.#handleDispatchStart(requestId, upstream, long),
            )
            .with(
                { type: "dispatchEnded" },
                ({ requestId, upstream, result, durationMs }) =>
                    this.#handleDispatchEnd(requestId, upstream, result, durationMs),
            )
            .otherwise(() => undefined);
    }

    override dumpState(): unknown {
        const { upstreams } = this.context.board.config.resources;
        return {
            policy: this.#settings.policy,
            hostCount: this.#hostCount,
            loads: Object.fromEntries([...upstreams.keys()].map(name => [name, this.#inFlight.loadOf(name)])),
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
            findUpstream: name => this.#createView(name),
            dispatch: (request, upstream, pool) => this.#dispatch(request, upstream, pool),
            refuse: (request, code, retryAfterMs) => this.#refuse(request, code, retryAfterMs),
            tryAcquireProbe: () => this.#tryAcquireProbe(),
        };
    }

    #createView(name: string): UpstreamView | undefined {
        const { config, upstream } = this.context.board;
        const resource = config.resources.upstreams.get(name);
        const status = upstream.statuses.get(name);
        if (resource === undefined || status === undefined) {
            return undefined;
        }
        const supportsPreemption = resource.type === "engine";
        return { name, slots: resource.slots, supportsPreemption, status, load: this.#inFlight.loadOf(name) };
    }

    #tick(): void {
        const nowMs = this.context.clock.monotonicMs();
        let hostCount = 1;
        for (const member of this.context.board.membership.members.values()) {
            hostCount += member.state === "live" ? 1 : 0;
        }
        this.#hostCount = hostCount;
        this.#inFlight.removeExpired(nowMs - this.#settings.dispatchStartTimeoutMs);
        this.#policy.tick();
        this.context.board.admission.queued = this.#policy.countQueued();
    }

    #handleRetryRequest(request: AdmissionRequest, reason: "retry" | "hedge"): void {
        const nowMs = this.context.clock.monotonicMs();
        const requests = this.#retryBudget.countRequests(nowMs);
        if (reason === "retry") {
            if (this.#retryBudget.retries.tryAcquire(requests, nowMs)) {
                this.#policy.submit(request);
            }
            else {
                this.context.counters.add("admission.retryBudgetSpent");
                this.#refuse(request, "Overloaded", this.#settings.minRetryAfterMs);
            }
            return;
        }
        this.#handleHedgeRequest(request);
    }

    #handleHedgeRequest(request: AdmissionRequest): void {
        const upstream = this.#mayHedge(request) ? this.#policy.findAvailableUpstream(request) : undefined;
        if (upstream === undefined) {
            this.context.counters.add("admission.hedgeWithoutUpstream");
            this.#refuse(request, "Overloaded", undefined);
        }
        else if (this.#retryBudget.hedges.tryAcquire()) {
            this.context.counters.add("admission.hedged");
            this.#dispatch(request, upstream, "");
        }
        else {
            this.context.counters.add("admission.hedgeBudgetSpent");
            this.#refuse(request, "Overloaded", undefined);
        }
    }

    /** Long work takes long anyway, so a hedge is worth its cost only when the first upstream is known to be slow. */
    #mayHedge(request: AdmissionRequest): boolean {
        const { statuses } = this.context.board.upstream;
        return request.repeatable &&
            (!request.long || request.excludedUpstreams.some(name => (statuses.get(name)?.slownessFactor ?? 1) > 1));
    }

    #cancel(requestId: string): void {
        const request = this.#policy.cancel(requestId);
        if (request === undefined) {
            this.#inFlight.removePending(requestId);
        }
        else {
            this.#refuse(request, "Overloaded", undefined);
        }
        this.#policy.dispatchWaiting();
    }

    #handleDispatchStart(requestId: string, upstream: string, long: boolean): void {
        if (!this.#inFlight.recordStart(requestId, upstream)) {
            const decidedAtMs = this.context.clock.monotonicMs();
            this.#inFlight.recordDecision(
                { requestId, upstream, workClass: "normal", long, isPreemptible: false, decidedAtMs, poolKey: "" },
                true,
            );
        }
    }

    #handleDispatchEnd(requestId: string, upstream: string, result: DispatchResult, durationMs: number): void {
        const dispatch = this.#inFlight.recordEnd(requestId, upstream);
        if (dispatch !== undefined && result === "complete") {
            this.#policy.recordCompletion(dispatch, durationMs);
        }
        this.#policy.dispatchWaiting();
    }

    #tryAcquireProbe(): boolean {
        const nowMs = this.context.clock.monotonicMs();
        // A probe is hedged, so it is only sent while a hedge is available.
        return this.#retryBudget.hedges.isAvailable &&
            this.#retryBudget.probes.tryAcquire(this.#retryBudget.countRequests(nowMs), nowMs);
    }

    #dispatch(request: AdmissionRequest, upstream: string, poolKey: string): void {
        const { requestId, workClass, long } = request;
        const decidedAtMs = this.context.clock.monotonicMs();
        const enginePriority = this.#policy.selectEnginePriority(request);
        const isPreemptible = enginePriority === "background";
        this.#inFlight.recordDecision({ requestId, upstream, workClass, long, isPreemptible, decidedAtMs, poolKey });
        this.context.counters.add(`admission.dispatched.${workClass}`);
        this.#decide(request, { status: "dispatch", upstream, enginePriority });
    }

    #refuse(request: AdmissionRequest, code: ResultCodeName, retryAfterMs: number | undefined): void {
        this.context.counters.add(`admission.refused.${code}`);
        this.#decide(request, { status: "refused", code, retryAfterMs });
    }

    #decide(request: AdmissionRequest, outcome: AdmissionOutcome): void {
        const { requestId } = request;
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
