/** Exchange of load reports with other hosts. A lost report only reduces accuracy. */
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { PeerChannel } from "./peerChannel.js";
import { type LoadReport, type PeerLoad, PeerLoadTracker } from "./peerLoadTracker.js";

/** Interval between reports, in milliseconds: several fall within the time that an engine takes to read a long prompt. */
const ReportIntervalMs = 150;

/** Maximum number of hosts that get a report; in a larger fleet they are drawn at random for each report. */
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
    readonly hostId: string;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns `IP:port` of the other hosts. */
    peerAddresses(): readonly string[];
}

/** Periodically reports this host's load at upstreams to other hosts, and tracks the load that they report. */
export class LoadReporter {
    readonly #dependencies: LoadReporterDependencies;
    readonly #peerLoads = new PeerLoadTracker();
    #timer: NodeJS.Timeout | undefined;
    #reportNumber = 0;
    #wasIdle = false;

    constructor(dependencies: LoadReporterDependencies) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage(message => {
            if (message.k === "l") {
                this.#peerLoads.recordReport(message, dependencies.clock.monotonicMs());
            }
        });
    }

    /** @returns Total load of the other hosts at an upstream, by their recent reports. */
    peerLoadAt(upstream: string): PeerLoad {
        return this.#peerLoads.loadAt(upstream, this.#dependencies.clock.monotonicMs());
    }

    /** Starts to send reports. */
    start(): void {
        this.#timer = setInterval(() => this.#send(), ReportIntervalMs);
    }

    /** Stops sending reports. */
    stop(): void {
        clearInterval(this.#timer);
    }

    #send(): void {
        const load = this.#collectOwnLoad();
        const isIdle = Object.keys(load).length === 0;
        if (isIdle && this.#wasIdle) {
            return;
        }
        this.#wasIdle = isIdle;
        const { hostId, incarnation, channel } = this.#dependencies;
        const report: LoadReport = { k: "l", h: hostId, i: incarnation, n: ++this.#reportNumber, l: load };
        for (const address of this.#selectReceivers()) {
            channel.send(address, report);
        }
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
        const addresses = [...this.#dependencies.peerAddresses()];
        while (addresses.length > MaxReceivers) {
            addresses.splice(this.#dependencies.random.integer(addresses.length), 1);
        }
        return addresses;
    }
}
