/** Test harness that drives the upstream and admission controllers and records every decision. */
import { ManualClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { SeededRandom } from "../base/random.js";
import { AdmissionController } from "../features/admission/admissionController.js";
import { AdmissionSettingsSchema } from "../features/admission/admissionSettings.js";
import type { AdmissionOutcome, AdmissionRequest } from "../features/admission/admissionTypes.js";
import { UpstreamSchema } from "../features/config/configTypes.js";
import { UpstreamController } from "../features/upstream/upstreamController.js";
import { UpstreamSettingsSchema } from "../features/upstream/upstreamSettings.js";
import type { DispatchResult } from "../features/upstream/upstreamTypes.js";
import { type Blackboard, createBlackboard } from "../kernel/blackboard.js";
import type { Controller, ControllerContext } from "../kernel/controller.js";
import type { Effect } from "../kernel/effects.js";
import { type RouterEvent, TickIntervalMs } from "../kernel/events.js";

/** A request that runs at an upstream. */
export interface RunningDispatch {
    readonly item: AdmissionRequest;
    readonly upstream: string;
}

/** An upstream controller and an admission controller on a manual clock, with the requests that pass through them. */
export class AdmissionHarness {
    readonly clock = new ManualClock();
    readonly board: Blackboard = createBlackboard("h", "1");
    /** Outcomes by request id, in the order of the decisions. */
    readonly decisions = new Map<string, AdmissionOutcome[]>();
    /** Requests that run, in the order of their start. */
    readonly running: RunningDispatch[] = [];
    readonly #controllers: Controller[];
    readonly #requestsById = new Map<string, AdmissionRequest>();

    /**
     * @param settings Admission settings that differ from the defaults.
     * @param slots Number of slots of each upstream; their names are `u0`, `u1`, ...
     * @param type Type of all upstreams.
     */
    constructor(settings: object, slots: readonly number[], type: "engine" | "service" = "engine") {
        const upstreams = new Map(slots.map((count, index) => {
            const upstream = { url: "http://127.0.0.1:1", models: ["m"], slots: count, type };
            return [`u${index}`, UpstreamSchema.parse(upstream)];
        }));
        this.board.config.resources = { ...this.board.config.resources, upstreams };
        const context: ControllerContext = {
            board: this.board,
            clock: this.clock,
            random: new SeededRandom(7),
            counters: new Counters(),
            emit: effect => this.#handleEffect(effect),
        };
        this.#controllers = [
            new UpstreamController(context, UpstreamSettingsSchema.parse({})),
            new AdmissionController(context, AdmissionSettingsSchema.parse(settings)),
        ];
        this.post({ type: "tick" });
    }

    /** @returns Names of the upstreams. */
    get upstreamNames(): string[] {
        return [...this.board.config.resources.upstreams.keys()];
    }

    /** @returns Requests without a decision. */
    get undecidedItems(): AdmissionRequest[] {
        return [...this.#requestsById.values()].filter(item => !this.decisions.has(item.requestId));
    }

    /** @returns Ids of all requests, decided or not. */
    get requestIds(): string[] {
        return [...this.#requestsById.keys()];
    }

    /** Passes an event to both controllers, then reports the start of the requests that were dispatched. */
    post(event: RouterEvent): void {
        this.#controllers.forEach(controller => controller.handle(event));
        this.#startDispatches();
    }

    /** Requests an admission; missing fields take default values. */
    submit(requestId: string, fields: Partial<AdmissionRequest> = {}): void {
        this.post({ type: "admissionRequested", request: this.#createRequest(requestId, fields) });
    }

    /** Requests a retry or a hedge; missing fields take default values. */
    retry(requestId: string, fields: Partial<AdmissionRequest>, reason: "retry" | "hedge"): void {
        this.post({ type: "retryRequested", request: this.#createRequest(requestId, fields), reason });
    }

    /** Reports the end of a running request. */
    endDispatch(dispatch: RunningDispatch, durationMs = 100, result: DispatchResult = "complete"): void {
        this.running.splice(this.running.indexOf(dispatch), 1);
        const { item: { requestId }, upstream } = dispatch;
        this.post({ type: "dispatchEnded", requestId, upstream, result, durationMs, outputTokens: 8 });
    }

    /** Advances the clock in steps of one tick interval and posts a tick after each. */
    advance(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TickIntervalMs) {
            this.clock.advance(TickIntervalMs);
            this.post({ type: "tick" });
        }
    }

    /** @returns The first decision about a request, or `undefined` if there is none yet. */
    firstOutcomeOf(requestId: string): AdmissionOutcome | undefined {
        return this.decisions.get(requestId)?.[0];
    }

    /** @returns Number of running requests at an upstream that match. */
    countRunning(upstream: string, matches: (item: AdmissionRequest) => boolean = () => true): number {
        return this.running.filter(dispatch => dispatch.upstream === upstream && matches(dispatch.item)).length;
    }

    #createRequest(requestId: string, fields: Partial<AdmissionRequest>): AdmissionRequest {
        const request: AdmissionRequest = {
            requestId,
            team: "t",
            workClass: "normal",
            long: false,
            repeatable: true,
            candidates: this.upstreamNames,
            fallbacks: [],
            weights: {},
            maxInFlightPerUpstream: undefined,
            prefixKey: undefined,
            promptTokens: 100,
            maxOutputTokens: 16,
            maxQueueWaitMs: 30_000,
            excludedUpstreams: [],
            ...fields,
        };
        this.#requestsById.set(requestId, request);
        return request;
    }

    readonly #dispatchesToStart: RunningDispatch[] = [];

    #handleEffect(effect: Effect): void {
        if (effect.type !== "notify" || effect.notification.type !== "admissionDecided") {
            return;
        }
        const { requestId, outcome } = effect.notification;
        this.decisions.set(requestId, [...this.decisions.get(requestId) ?? [], outcome]);
        if (outcome.status === "dispatch") {
            this.#dispatchesToStart.push({ item: this.#requestsById.get(requestId)!, upstream: outcome.upstream });
        }
    }

    #startDispatches(): void {
        for (const dispatch of this.#dispatchesToStart.splice(0)) {
            this.running.push(dispatch);
            const { item: { requestId, long }, upstream } = dispatch;
            this.post({ type: "dispatchStarted", requestId, upstream, long });
        }
    }
}
