/** Keeps the load and health of every configured upstream up to date. */
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

/** Status of an upstream on the board, and the state from which it is derived. */
interface UpstreamEntry {
    readonly tracker: UpstreamTracker;
    readonly status: UpstreamStatus;
    /** Number of successive comparisons with a new sample in which an upstream marked as slow was no longer slow. */
    goodSampleCount: number;
    /** Monotonic time of the newest sample at the last comparison. */
    lastSampleMs: number;
    /** Monotonic time of the newest dispatch to the upstream while it was slow. */
    lastProbeMs: number;
    /** Monotonic time since which peers report the upstream as leaving; `undefined` while none does. */
    leavingByPeersSinceMs: number | undefined;
}

/** Interval of comparing and updating all upstreams; with hundreds of them it would cost too much on every tick. */
const CompareIntervalMs = 200;

/** A request slower than this fraction of the recent ones should be hedged; the hedge budget allows even fewer hedges. */
const HedgeQuantile = 0.95;

/** Writes the upstream section of the board from dispatches, load reports and the reports of peers. */
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
    readonly #entries = new Map<string, UpstreamEntry>();
    #configuredUpstreams: ReadonlyMap<string, Upstream> | undefined;
    #groups: string[][] = [];
    #comparedAtMs = Number.NEGATIVE_INFINITY;

    constructor(context: ControllerContext, settings: UpstreamSettings) {
        super(context);
        this.#settings = settings;
    }

    override handle(event: RouterEvent): void {
        this.#applyConfiguration();
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with(
                { type: P.union("dispatchStarted", "firstTokenSeen", "dispatchEnded", "loadReported") },
                observation => this.#observe(observation),
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

    #applyConfiguration(): void {
        const { upstreams } = this.context.board.config.resources;
        if (upstreams === this.#configuredUpstreams) {
            return;
        }
        this.#configuredUpstreams = upstreams;
        const { statuses } = this.context.board.upstream;
        for (const [name, upstream] of upstreams) {
            const entry = this.#entries.get(name);
            if (entry === undefined) {
                const status = createUpstreamStatus(upstream.slots);
                const tracker = new UpstreamTracker(this.#settings, upstream.slots);
                const neverMs = Number.NEGATIVE_INFINITY;
                const times = { lastSampleMs: neverMs, lastProbeMs: neverMs, leavingByPeersSinceMs: undefined };
                this.#entries.set(name, { tracker, status, goodSampleCount: 0, ...times });
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
        this.#refreshStatus(event.upstream, entry, nowMs);
    }

    #tick(): void {
        const nowMs = this.context.clock.monotonicMs();
        if (nowMs - this.#comparedAtMs < CompareIntervalMs) {
            return;
        }
        this.#comparedAtMs = nowMs;
        this.#compareGroups(nowMs);
        for (const [name, entry] of this.#entries) {
            this.#refreshStatus(name, entry, nowMs);
        }
    }

    #refreshStatus(name: string, entry: UpstreamEntry, nowMs: number): void {
        const { tracker, status } = entry;
        const ejection = tracker.ejection.getState(nowMs);
        status.inFlight = tracker.inFlight;
        status.longInFlight = tracker.longInFlight;
        status.peerInFlight = this.context.board.membership.peerInFlight.get(name) ?? 0;
        status.otherLoad = Math.max(status.peerInFlight, tracker.computeOtherLoad(nowMs));
        status.reportedLoad = tracker.report?.load ?? 0;
        status.reportedAtMs = tracker.report?.takenAtMs ?? Number.NEGATIVE_INFINITY;
        status.usable = ejection !== "ejected";
        // After an ejection the upstream is tested with one request at a time.
        status.concurrencyLimit = ejection === "probing" ? 1 : tracker.limit.value;
        status.leavingSeenHere = tracker.isLeavingSeenHere(nowMs);
        status.leaving = status.leavingSeenHere || this.#isLeavingByPeers(name, entry, nowMs);
        // After a good sample the next probe is due at once, so that a recovered upstream soon gets its full load again.
        const probeIntervalMs = entry.goodSampleCount > 0 ? 0 : this.#settings.probeIntervalMs;
        status.probeDue = status.slownessFactor > 1 && nowMs - entry.lastProbeMs >= probeIntervalMs;
    }

    #isLeavingByPeers(name: string, entry: UpstreamEntry, nowMs: number): boolean {
        if (!this.context.board.membership.leavingUpstreams.has(name)) {
            entry.leavingByPeersSinceMs = undefined;
            return false;
        }
        entry.leavingByPeersSinceMs ??= nowMs;
        // Hosts could repeat each other's reports. Without this limit a group of hosts would keep an old report alive forever.
        return nowMs - entry.leavingByPeersSinceMs < this.#settings.leavingHoldMs &&
            !entry.tracker.isReportedStayingSince(entry.leavingByPeersSinceMs + this.#settings.peerSignMarginMs);
    }

    #compareGroups(nowMs: number): void {
        for (const group of this.#groups) {
            const entries = group.map(name => this.#entries.get(name)!);
            const estimates = entries.map(entry => entry.tracker.computeEstimates(nowMs));
            const ratios = slownessRatios(estimates, this.#settings);
            const normalEntries = entries.filter(entry => entry.status.slownessFactor === 1);
            const lateFirstTokenMs = quantile(
                normalEntries.flatMap(entry => entry.tracker.getFirstTokenSamples()),
                HedgeQuantile,
            );
            for (const [index, entry] of entries.entries()) {
                this.#applySlownessRatio(entry, ratios[index]!);
                entry.status.hedgeAfterMs = this.#calculateHedgeDelay(
                    lateFirstTokenMs,
                    entry.status.slownessFactor > 1,
                );
            }
        }
    }

    #calculateHedgeDelay(lateFirstTokenMs: number | undefined, isSlow: boolean): number | undefined {
        const { hedgeDelayRatio, hedgeMinDelayMs, slowHedgeDelayMs } = this.#settings;
        if (isSlow) {
            // A request that tests a slow upstream is hedged early, so that another upstream serves it if the test fails.
            return slowHedgeDelayMs;
        }
        return lateFirstTokenMs === undefined ?
            undefined :
            Math.max(hedgeMinDelayMs, lateFirstTokenMs * hedgeDelayRatio);
    }

    #applySlownessRatio(entry: UpstreamEntry, ratio: number): void {
        const { status, tracker } = entry;
        const newestMs = tracker.newestSampleMs;
        if (ratio > 1) {
            entry.goodSampleCount = 0;
            status.slownessFactor = ratio;
        }
        else if (status.slownessFactor > 1 && newestMs > entry.lastSampleMs) {
            entry.goodSampleCount++;
            if (entry.goodSampleCount >= this.#settings.recoverySamples) {
                status.slownessFactor = 1;
                tracker.clearLatencies();
            }
        }
        entry.lastSampleMs = newestMs;
    }
}

/** @returns Names of the upstreams, grouped by type, models and service. */
function groupByModels(upstreams: ReadonlyMap<string, Upstream>): string[][] {
    const groups = new Map<string, string[]>();
    for (const [name, upstream] of upstreams) {
        const key = JSON.stringify([upstream.type, [...upstream.models].sort(), upstream.service]);
        groups.set(key, [...groups.get(key) ?? [], name]);
    }
    return [...groups.values()];
}
