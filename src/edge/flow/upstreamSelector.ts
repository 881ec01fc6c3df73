/** Chooses the upstreams to which one request is sent. */
import type { Upstream } from "../upstream/upstream.js";
import { chooseUpstream, isHealthy } from "../upstream/upstreamChoice.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";

/** Chooses among the upstreams to which a request has not been sent yet. */
export class UpstreamSelector {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #service: string;
    readonly #history: AttemptHistory;

    constructor(dependencies: FlowDependencies, request: EdgeRequest, service: string, history: AttemptHistory) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#service = service;
        this.#history = history;
    }

    /** @returns The upstream for the next send; `undefined` when none is left. */
    choose(): Upstream | undefined {
        const { route, metadata } = this.#request;
        return chooseUpstream({
            candidates: this.#usable,
            promptParts: metadata.promptParts,
            promptTokens: metadata.tokenCounts?.promptTokens ?? 0,
            excludedUpstreamIds: this.#history.triedUpstreamIds,
            zone: this.#dependencies.zone,
            isGeneration: route.isGeneration,
            nowMs: this.#dependencies.clock.monotonicMs(),
            peerLoad: upstream => this.#dependencies.peerLoad(upstream),
            hostCount: this.#dependencies.hostCount(),
        }, this.#dependencies.random);
    }

    /** @returns Whether an upstream for another send accepts requests now. */
    get hasUntried(): boolean {
        return this.#untried.length > 0;
    }

    /** @returns Whether a healthy upstream for another send accepts requests now. */
    get hasHealthyUntried(): boolean {
        const nowMs = this.#dependencies.clock.monotonicMs();
        return this.#untried.some(upstream => isHealthy(upstream, nowMs));
    }

    /** @returns Time until an upstream accepts requests again, in milliseconds; 0 when one does now, or when there is none. */
    get minBackoffMs(): number {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const backoffsMs = this.#usable.map(upstream => upstream.remainingBackoffMs(nowMs));
        return backoffsMs.length === 0 ? 0 : Math.min(...backoffsMs);
    }

    get #untried(): Upstream[] {
        const nowMs = this.#dependencies.clock.monotonicMs();
        return this.#usable.filter(upstream =>
            !this.#history.triedUpstreamIds.has(upstream.entry.id) && upstream.remainingBackoffMs(nowMs) === 0
        );
    }

    get #usable(): Upstream[] {
        return this.#dependencies.directory.findUsable(this.#service);
    }
}
