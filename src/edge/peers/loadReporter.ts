/** Exchanges load reports with other hosts. A lost report costs accuracy only. */
import type { Clock } from "../../base/clock.js";
import type { Random } from "../../base/random.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { PeerChannel } from "./peerChannel.js";
import { type LoadReport, type PeerLoad, PeerLoadTracker } from "./peerLoadTracker.js";

/** Interval of reports, in milliseconds: several in the time that an engine takes to read a long prompt. */
const ReportIntervalMs = 150;

/** Most hosts that get a report; in a larger fleet they are drawn anew for each one. */
const MostReceivers = 8;

/** Most upstreams in one report, so that it fits into a datagram: about 30 bytes each, with prompts of 100,000 tokens. */
const MostUpstreams = 40;

/** What the exchange is built from. */
export interface LoadReporterDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: UpstreamDirectory;
    readonly channel: PeerChannel;
    readonly hostId: string;
    readonly incarnation: string;
    /** @returns `IP:port` of the other hosts. */
    peerAddresses(): readonly string[];
}

/** Sends this host's load and keeps that of others. */
export class LoadReporter {
    readonly #dependencies: LoadReporterDependencies;
    readonly #loads = new PeerLoadTracker();
    #timer: NodeJS.Timeout | undefined;
    #number = 0;
    #wasIdle = false;

    constructor(dependencies: LoadReporterDependencies) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage(message => {
            if (message.k === "l") {
                this.#loads.recordReport(message, dependencies.clock.monotonicMs());
            }
        });
    }

    /** @returns Load of the other hosts at an upstream. */
    peerLoadAt(upstream: string): PeerLoad {
        return this.#loads.loadAt(upstream, this.#dependencies.clock.monotonicMs());
    }

    /** Starts to send reports. */
    start(): void {
        this.#timer = setInterval(() => this.#send(), ReportIntervalMs);
    }

    /** Stops. */
    stop(): void {
        clearInterval(this.#timer);
    }

    #send(): void {
        const load = this.#ownLoad();
        const isIdle = Object.keys(load).length === 0;
        if (isIdle && this.#wasIdle) {
            return;
        }
        this.#wasIdle = isIdle;
        const { hostId, incarnation, channel } = this.#dependencies;
        const report: LoadReport = { k: "l", h: hostId, i: incarnation, n: ++this.#number, l: load };
        for (const address of this.#receivers()) {
            channel.send(address, report);
        }
    }

    /** Load at the upstreams with most open requests; the others hardly change a choice. */
    #ownLoad(): LoadReport["l"] {
        const busy = this.#dependencies.directory.all.filter(upstream => upstream.openRequestCount > 0);
        const reported = busy.length <= MostUpstreams ?
            busy :
            busy.toSorted((left, right) => right.openRequestCount - left.openRequestCount).slice(0, MostUpstreams);
        return Object.fromEntries(
            reported.map(upstream => [upstream.entry.id, [upstream.openRequestCount, upstream.waitingPrefillTokens]]),
        );
    }

    #receivers(): readonly string[] {
        const addresses = [...this.#dependencies.peerAddresses()];
        while (addresses.length > MostReceivers) {
            addresses.splice(this.#dependencies.random.integer(addresses.length), 1);
        }
        return addresses;
    }
}
