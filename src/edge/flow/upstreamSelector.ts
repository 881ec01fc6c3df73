/** Chooses the upstreams to which one request is sent. */
import type { ExecutionState } from "../../base/resultCodes.js";
import type { Placement } from "../../scheduling/promptPlacement.js";
import { EdgeCounterNames } from "../metrics.js";
import type { Upstream } from "../upstream/upstream.js";
import { chooseUpstream, isHealthy } from "../upstream/upstreamChoice.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";

const PlacementCounterNames = {
    affinity: EdgeCounterNames.placementsAffinity,
    leastCost: EdgeCounterNames.placementsLeastCost,
    otherZone: EdgeCounterNames.placementsOtherZone,
} as const;

/** Chooses among the upstreams to which a request has not been sent yet. */
export class UpstreamSelector {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #service: string;
    readonly #history: AttemptHistory;

    #latestChoice: { readonly upstream: Upstream | undefined; readonly prefillTokens: number | undefined; } | undefined;

    constructor(dependencies: FlowDependencies, request: EdgeRequest, service: string, history: AttemptHistory) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#service = service;
        this.#history = history;
    }

    /**
     * Chooses the upstream for the next send, which is counted towards the limit that it states.
     * @returns `undefined` when none is left.
     */
    choose(): Upstream | undefined {
        const { route, metadata } = this.#request;
        const { limits, metrics } = this.#dependencies;
        const rank = this.#rank;
        let placement: Placement | undefined;
        const upstream = this.#unconfirmed ?? chooseUpstream({
            candidates: this.#usable,
            promptParts: metadata.promptParts,
            promptTokens: metadata.tokenCounts?.promptTokens ?? 0,
            excludedUpstreamIds: this.#history.triedUpstreamIds,
            zone: this.#dependencies.zone,
            isGeneration: route.isGeneration,
            nowMs: this.#nowMs,
            peerLoad: candidate => this.#dependencies.peerLoad(candidate),
            hostCount: this.#dependencies.hostCount(),
            isWithinLimit: ({ entry }) => limits.maySend(entry, rank),
            engineSlots: this.#request.table.findService(this.#service)?.engine?.slots,
            objectiveMs: route.objectiveMs,
            pauseObjectiveMs: route.pauseObjectiveMs,
            peerEventTimeMs: candidate => this.#dependencies.peerEventTimeMs?.(candidate),
            onPlaced: chosen => {
                placement = chosen;
            },
        }, this.#dependencies.random);
        if (placement !== undefined) {
            metrics.counters.add(PlacementCounterNames[placement.reason]);
        }
        this.#latestChoice = { upstream, prefillTokens: placement?.prefillTokens };
        if (upstream !== undefined) {
            limits.recordSend(upstream.entry, rank);
        }
        return upstream;
    }

    /** @returns Prompt tokens that an upstream probably has to read for the request; without those known to be cached. */
    prefillTokensAt(upstream: Upstream): number {
        const expected = this.#latestChoice?.upstream === upstream ? this.#latestChoice.prefillTokens : undefined;
        return expected ?? this.#request.metadata.tokenCounts?.promptTokens ?? 0;
    }

    /**
     * Asks other hosts for a share of the limits that upstreams state, when {@link choose} has found none.
     * @param onEnd Called once, perhaps at once, with an upstream that may get the request; with `undefined` when there is none.
     */
    requestLimited(onEnd: (upstream: Upstream | undefined) => void): void {
        const limited = this.#limited;
        const healthy = limited.filter(upstream => isHealthy(upstream, this.#nowMs));
        const entries = (healthy.length > 0 ? healthy : limited).map(({ entry }) => entry);
        this.#dependencies.limits.requestSlot(entries, this.#rank, granted => {
            const found = limited.find(({ entry, isLeaving }) => entry === granted && !isLeaving);
            // The zone may have been evacuated while the other hosts were asked.
            onEnd(found !== undefined && this.#dependencies.directory.isZoneUsable(found) ? found : undefined);
        });
    }

    /**
     * @param ran Whether the request has run.
     * @param maxRetryAfterMs Time for which the caller waits at most, in milliseconds.
     * @returns Failure of the request, as no upstream is left for it.
     */
    failure(ran: ExecutionState, maxRetryAfterMs: number): EdgeFailure {
        const limited = this.#limited;
        if (limited.length === 0) {
            return { code: "NoUpstream", ran, retryAfterMs: Math.max(maxRetryAfterMs, this.#minBackoffMs) };
        }
        const { limits, metrics } = this.#dependencies;
        metrics.counters.add(EdgeCounterNames.limitRefusals);
        const entries = limited.map(({ entry }) => entry);
        const retryAfterMs = limits.retryAfterMs(this.#service, entries, this.#rank, maxRetryAfterMs);
        return { code: "UpstreamLimited", ran, retryAfterMs };
    }

    /** @returns Whether an upstream for another send accepts requests now. */
    get hasUntried(): boolean {
        return this.#acceptingNow.length > 0;
    }

    /** @returns Whether a healthy upstream for another send accepts requests now. */
    get hasHealthyUntried(): boolean {
        return this.#acceptingNow.some(upstream => isHealthy(upstream, this.#nowMs));
    }

    /** @returns Time until an upstream accepts requests again, in milliseconds; 0 when one does now, or when there is none. */
    get #minBackoffMs(): number {
        const backoffsMs = this.#usable.map(upstream => upstream.remainingBackoffMs(this.#nowMs));
        return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
    }

    /** @returns A healthy upstream to which a request must be sent to learn whether its limit is still in force. */
    get #unconfirmed(): Upstream | undefined {
        const healthy = this.#limited.filter(upstream => isHealthy(upstream, this.#nowMs));
        const entries = healthy.map(({ entry }) => entry);
        const unconfirmed = this.#dependencies.limits.findUnconfirmed(entries, this.#rank);
        return healthy.find(({ entry }) => entry === unconfirmed);
    }

    get #acceptingNow(): Upstream[] {
        const rank = this.#rank;
        return this.#untried.filter(({ entry }) => this.#dependencies.limits.maySend(entry, rank));
    }

    /** @returns Untried upstreams that state limits. */
    get #limited(): Upstream[] {
        return this.#dependencies.limits.isEmpty ?
            [] :
            this.#untried.filter(({ entry }) => this.#dependencies.limits.isLimited(entry));
    }

    get #untried(): Upstream[] {
        return this.#usable.filter(upstream =>
            !this.#history.triedUpstreamIds.has(upstream.entry.id) && upstream.remainingBackoffMs(this.#nowMs) === 0
        );
    }

    get #usable(): Upstream[] {
        return this.#dependencies.directory.findUsable(this.#service);
    }

    /**
     * @returns Number of priorities of the service's routes that go before that of the request. While an upstream without a limit is
     * there, no request waits for more urgent ones.
     */
    get #rank(): number {
        const { limits } = this.#dependencies;
        if (limits.isEmpty || !this.#untried.every(({ entry }) => limits.isLimited(entry))) {
            return 0;
        }
        const { route, team, table } = this.#request;
        const priority = team?.priority ?? route.priority;
        const priorities = table.configuration.routes
            .filter(({ targets }) => targets.some(({ service }) => service === this.#service))
            .map(other => other.priority);
        return new Set(priorities.filter(other => other < priority)).size;
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }
}
