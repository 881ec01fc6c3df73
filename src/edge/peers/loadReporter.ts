/** Exchange of load reports with other hosts. A lost report only reduces accuracy. */
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";
import { isSlotContended } from "../../scheduling/contention.js";
import type { Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { EventTimeRotation, EventTimeTracker } from "./eventTimes.js";
import { FleetLoad } from "./fleetLoad.js";
import type { ReportingHost } from "./loadGatherers.js";
import type { PeerChannel } from "./peerChannel.js";
import { type LoadReport, type PeerLoad, PeerLoadTracker } from "./peerLoadTracker.js";

/** Interval between reports, in milliseconds: several fall within the time that an engine takes to read a long prompt. */
const ReportIntervalMs = 150;

/** Minimum time between two reports, in milliseconds, however many requests are sent. */
const MinReportIntervalMs = 25;

/** Prompt tokens from which a request is reported at once: those of a long prompt, which keeps an engine busy for some time. */
const LongPromptTokens = 3_000;

/** Maximum number of hosts that get a report without gatherers; in a larger fleet they are drawn at random for each report. */
const MaxReceivers = 8;

/**
 * Maximum number of upstreams in a report, so that it fits into a datagram: about 30 bytes each with prompts of 100,000 tokens.
 */
const MaxReportedUpstreams = 40;

/** Collaborators of {@link LoadReporter}, and the identity of this host. */
export interface LoadReporterDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: UpstreamDirectory;
    readonly channel: PeerChannel;
    readonly ownHost: ReportingHost;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
}

/** Periodically reports this host's load at upstreams to other hosts, and tracks the load that they report. */
export class LoadReporter {
    readonly #dependencies: LoadReporterDependencies;
    readonly #peerLoads = new PeerLoadTracker();
    readonly #fleetLoad: FleetLoad;
    readonly #peerEventTimes = new EventTimeTracker();
    readonly #ownEventTimes = new EventTimeRotation();
    #timer: NodeJS.Timeout | undefined;
    #reportNumber = 0;
    #wasIdle = false;
    #lastSentMs = Number.NEGATIVE_INFINITY;

    constructor(dependencies: LoadReporterDependencies) {
        this.#dependencies = dependencies;
        this.#fleetLoad = new FleetLoad({
            ...dependencies,
            reports: this.#peerLoads,
            ownLoad: () => this.#collectOwnLoad(),
            eventTimes: this.#peerEventTimes,
            collectEventTimes: () => this.#collectEventTimes(),
        });
        dependencies.channel.onMessage(message => {
            if (message.k === "l") {
                this.#peerLoads.recordReport(message, dependencies.clock.monotonicMs());
                this.#peerEventTimes.record(message.s);
            }
        });
    }

    /** @returns Total load of the other hosts at an upstream, by the sum of the fleet or else by their recent reports. */
    peerLoadAt(upstream: string): PeerLoad {
        return this.#fleetLoad.loadAt(upstream) ??
            this.#peerLoads.loadAt(upstream, this.#dependencies.clock.monotonicMs());
    }

    /** @returns Time between output events of an upstream by the samples of other hosts, in milliseconds; `undefined` when unknown. */
    peerEventTimeMs(upstream: string): number | undefined {
        return this.#peerEventTimes.eventTimeMs(upstream);
    }

    /** @returns Whether this host knows the load of the whole fleet, and not only that of some hosts. */
    get isFleetLoadKnown(): boolean {
        return this.#fleetLoad.hasFleetSum;
    }

    /** Reports at once that a request was sent, if its prompt is long: others would send theirs to the same upstream. */
    recordSend(promptTokens: number): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        if (
            promptTokens >= LongPromptTokens && this.#fleetLoad.hasFleetSum &&
            nowMs - this.#lastSentMs >= MinReportIntervalMs
        ) {
            this.#send();
        }
    }

    /** Starts to send reports. */
    start(): void {
        this.#fleetLoad.start();
        this.#timer = setInterval(() => this.#send(), ReportIntervalMs);
    }

    /** Stops sending reports. */
    stop(): void {
        clearInterval(this.#timer);
        this.#fleetLoad.stop();
    }

    #send(): void {
        const load = this.#collectOwnLoad();
        const isIdle = Object.keys(load).length === 0;
        if (isIdle && this.#wasIdle) {
            return;
        }
        this.#wasIdle = isIdle;
        this.#lastSentMs = this.#dependencies.clock.monotonicMs();
        this.#fleetLoad.recordOwnReport(load);
        const { ownHost, incarnation, channel } = this.#dependencies;
        const report: LoadReport = {
            k: "l",
            h: ownHost.hostId,
            i: incarnation,
            n: ++this.#reportNumber,
            l: load,
            // Without gatherers, reports go to many hosts, also of other zones, to which each byte is charged.
            s: this.#fleetLoad.hasFleetSum ? this.#ownEventTimes.next(this.#collectOwnEventTimes()) : undefined,
        };
        for (const address of this.#selectReceivers()) {
            channel.send(address, report);
        }
    }

    /** Event times matter only where hosts compete for the slots of engines; elsewhere none are sent. */
    get #contendedUpstreams(): Upstream[] {
        const { directory, otherHosts } = this.#dependencies;
        const hostCount = (otherHosts()?.length ?? 0) + 1;
        return directory.all.filter(({ entry }) => isSlotContended(entry.slots, hostCount));
    }

    #collectOwnEventTimes(): (readonly [string, number])[] {
        return this.#contendedUpstreams.flatMap(({ entry, eventTime }) =>
            eventTime.medianMs === undefined ? [] : [[entry.id, eventTime.medianMs] as const]
        );
    }

    /** @returns Event times by this host's samples, or else by those of other hosts. */
    #collectEventTimes(): (readonly [string, number])[] {
        return this.#contendedUpstreams.flatMap(({ entry, eventTime }) => {
            const timeMs = eventTime.medianMs ?? this.#peerEventTimes.eventTimeMs(entry.id);
            return timeMs === undefined ? [] : [[entry.id, timeMs] as const];
        });
    }

    /** @returns Load at the upstreams with the most open requests; the others hardly affect the selection of an upstream. */
    #collectOwnLoad(): LoadReport["l"] {
        const busy = this.#dependencies.directory.all.filter(upstream => upstream.openRequestCount > 0);
        const reported = busy.length <= MaxReportedUpstreams ?
            busy :
            busy.toSorted((left, right) => right.openRequestCount - left.openRequestCount).slice(
                0,
                MaxReportedUpstreams,
            );
        return Object.fromEntries(
            reported.map(upstream => [upstream.entry.id, [upstream.openRequestCount, upstream.waitingPrefillTokens]]),
        );
    }

    #selectReceivers(): readonly string[] {
        const gatherers = this.#fleetLoad.reportReceivers;
        if (gatherers !== undefined && this.#fleetLoad.hasFleetSum) {
            return gatherers;
        }
        const others = this.#dependencies.otherHosts() ?? [];
        const addresses = others.map(({ peerAddress }) => peerAddress);
        while (addresses.length > MaxReceivers) {
            addresses.splice(this.#dependencies.random.integer(addresses.length), 1);
        }
        return [...new Set([...gatherers ?? [], ...addresses])];
    }
}
