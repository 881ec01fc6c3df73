/** Keeps the status of every configured upstream. */
import { match, P } from "ts-pattern";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import type { Upstream } from "../config/configTypes.js";
import { quantile } from "./latencyWindow.js";
import { slownessRatios } from "./slownessRatios.js";
import { createUpstreamStatus, type UpstreamStatus } from "./upstreamBoard.js";
import type { UpstreamSettings } from "./upstreamSettings.js";
import { UpstreamTracker } from "./upstreamTracker.js";
import type { UpstreamEvent } from "./upstreamTypes.js";

/** Internal state of an upstream beyond its board entry. */
interface Entry {
    readonly tracker: UpstreamTracker;
    readonly status: UpstreamStatus;
    goodSamples: number;
    lastSampleMs: number;
    lastProbeMs: number;
    /** When a peer's sign of leaving first appeared. */
    peerSignMs: number | undefined;
}

/** Interval of comparisons and refreshes; with hundreds of upstreams they would cost too much on every tick. */
const CompareIntervalMs = 200;

/** Requests later than this share of the recent ones are worth a hedge; the budget of hedges is smaller than the rest. */
const HedgeQuantile = 0.95;

/** Writes the upstream section of the blackboard. */
export class UpstreamController extends Controller {
    override readonly name = "upstream" as const;
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "dispatchStarted",
        "firstTokenSeen",
        "dispatchEnded",
        "loadReported",
    ]);
    readonly #settings: UpstreamSettings;
    readonly #entries = new Map<string, Entry>();
    #configured: ReadonlyMap<string, Upstream> | undefined;
    #groups: string[][] = [];
    #comparedAtMs = Number.NEGATIVE_INFINITY;

    constructor(context: ControllerContext, settings: UpstreamSettings) {
        super(context);
        this.#settings = settings;
    }

    override handle(event: RouterEvent): void {
        this.#followConfiguration();
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with(
                { type: P.union("dispatchStarted", "firstTokenSeen", "dispatchEnded", "loadReported") },
                known => this.#observe(known),
            )
            .otherwise(() => undefined);
    }

    override dumpState(): unknown {
        const nowMs = this.context.clock.monotonicMs();
        return Object.fromEntries([...this.#entries].map(([name, { tracker }]) => [name, {
            estimates: tracker.computeEstimates(nowMs),
            ejection: tracker.ejection.getState(nowMs),
            report: tracker.report,
        }]));
    }

    #followConfiguration(): void {
        const { upstreams } = this.context.board.config.resources;
        if (upstreams === this.#configured) {
            return;
        }
        this.#configured = upstreams;
        const { statuses } = this.context.board.upstream;
        for (const [name, upstream] of upstreams) {
            const entry = this.#entries.get(name);
            if (entry === undefined) {
                const status = createUpstreamStatus(upstream.slots);
                const tracker = new UpstreamTracker(this.#settings, upstream.slots);
                const neverMs = Number.NEGATIVE_INFINITY;
                const times = { lastSampleMs: neverMs, lastProbeMs: neverMs, peerSignMs: undefined };
                this.#entries.set(name, { tracker, status, goodSamples: 0, ...times });
                statuses.set(name, status);
            }
            else {
                entry.tracker.limit.setSlots(upstream.slots);
            }
        }
        for (const name of [...this.#entries.keys()].filter(known => !upstreams.has(known))) {
            this.#entries.delete(name);
            statuses.delete(name);
        }
        this.#groups = groupByModels(upstreams);
    }

    #observe(event: UpstreamEvent): void {
        const entry = this.#entries.get(event.upstream);
        if (entry === undefined) {
            return;
        }
        const { tracker } = entry;
        const nowMs = this.context.clock.monotonicMs();
        match(event)
            .with({ type: "dispatchStarted" }, started => {
                tracker.recordDispatchStart(started.requestId, started.long, started.streaming ?? true, nowMs);
                if (entry.status.slownessFactor > 1) {
                    entry.lastProbeMs = nowMs;
                }
            })
            .with({ type: "firstTokenSeen" }, seen => tracker.recordFirstToken(seen.requestId, seen.latencyMs, nowMs))
            .with({ type: "dispatchEnded" }, ended => {
                tracker.recordDispatchEnd(ended.requestId, ended.result, ended.durationMs, ended.outputTokens, nowMs);
                this.context.counters.add(`upstream.${ended.result}`);
            })
            .with({ type: "loadReported" }, ({ report }) => tracker.recordLoadReport(report, nowMs))
            .exhaustive();
        this.#refresh(event.upstream, entry, nowMs);
    }

    #tick(): void {
        const nowMs = this.context.clock.monotonicMs();
        if (nowMs - this.#comparedAtMs < CompareIntervalMs) {
            return;
        }
        this.#comparedAtMs = nowMs;
        this.#compareAll(nowMs);
        for (const [name, entry] of this.#entries) {
            this.#refresh(name, entry, nowMs);
        }
    }

    #refresh(name: string, entry: Entry, nowMs: number): void {
        const { tracker, status } = entry;
        const ejection = tracker.ejection.getState(nowMs);
        status.inFlight = tracker.inFlight;
        status.longInFlight = tracker.longInFlight;
        status.peerInFlight = this.context.board.membership.peerInFlight.get(name) ?? 0;
        status.otherLoad = Math.max(status.peerInFlight, tracker.computeOtherLoad(nowMs));
        status.reportedLoad = tracker.report?.load ?? 0;
        status.reportedAtMs = tracker.report?.takenAtMs ?? Number.NEGATIVE_INFINITY;
        status.usable = ejection !== "ejected";
        // After an ejection a single request at a time tests the upstream.
        status.concurrencyLimit = ejection === "probing" ? 1 : tracker.limit.value;
        status.leavingSeenHere = tracker.isLeavingSeenHere(nowMs);
        status.leaving = status.leavingSeenHere || this.#peersSeeLeaving(name, entry, nowMs);
        // After a good sample the next one follows at once, so that a recovered upstream returns quickly.
        const probeIntervalMs = entry.goodSamples > 0 ? 0 : this.#settings.probeIntervalMs;
        status.probeDue = status.slownessFactor > 1 && nowMs - entry.lastProbeMs >= probeIntervalMs;
    }

    #peersSeeLeaving(name: string, entry: Entry, nowMs: number): boolean {
        if (!this.context.board.membership.leavingUpstreams.has(name)) {
            entry.peerSignMs = undefined;
            return false;
        }
        entry.peerSignMs ??= nowMs;
        // Hosts repeat each other's signs. Without this limit a group of hosts would keep an old sign alive for ever.
        return nowMs - entry.peerSignMs < this.#settings.leavingHoldMs &&
            !entry.tracker.isReportedStayingSince(entry.peerSignMs + this.#settings.peerSignMarginMs);
    }

    #compareAll(nowMs: number): void {
        for (const group of this.#groups) {
            const entries = group.map(name => this.#entries.get(name)!);
            const estimates = entries.map(entry => entry.tracker.computeEstimates(nowMs));
            const ratios = slownessRatios(estimates, this.#settings);
            const usual = entries.filter(entry => entry.status.slownessFactor === 1);
            const lateMs = quantile(usual.flatMap(entry => entry.tracker.getFirstTokenSamples()), HedgeQuantile);
            for (const [index, entry] of entries.entries()) {
                this.#applyRatio(entry, ratios[index]!);
                entry.status.hedgeAfterMs = this.#hedgeDelay(lateMs, entry.status.slownessFactor > 1);
            }
        }
    }

    #hedgeDelay(lateMs: number | undefined, slow: boolean): number | undefined {
        const { hedgeDelayRatio, hedgeMinDelayMs, slowHedgeDelayMs } = this.#settings;
        if (slow) {
            // A request that tests a slow upstream gets its answer from another one if the test fails.
            return slowHedgeDelayMs;
        }
        return lateMs === undefined ? undefined : Math.max(hedgeMinDelayMs, lateMs * hedgeDelayRatio);
    }

    #applyRatio(entry: Entry, ratio: number): void {
        const { status, tracker } = entry;
        const newestMs = tracker.newestSampleMs;
        if (ratio > 1) {
            entry.goodSamples = 0;
            status.slownessFactor = ratio;
        }
        else if (status.slownessFactor > 1 && newestMs > entry.lastSampleMs) {
            entry.goodSamples++;
            if (entry.goodSamples >= this.#settings.recoverySamples) {
                status.slownessFactor = 1;
                tracker.clearLatencies();
            }
        }
        entry.lastSampleMs = newestMs;
    }
}

/** @returns Names of upstreams, grouped by type and offer. */
function groupByModels(upstreams: ReadonlyMap<string, Upstream>): string[][] {
    const groups = new Map<string, string[]>();
    for (const [name, upstream] of upstreams) {
        const key = JSON.stringify([upstream.type, [...upstream.models].sort(), upstream.service]);
        groups.set(key, [...groups.get(key) ?? [], name]);
    }
    return [...groups.values()];
}
