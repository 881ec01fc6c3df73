/**
 * Load that the other hosts of a large fleet put on the upstreams. The gatherers of each zone add up the reports of its hosts, exchange
 * the sums of the zones and pass the sum of the fleet on to the hosts of their zone. A host that gets no sums reports to other hosts
 * directly until it does.
 */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { EventTimeRotation, type EventTimeTracker } from "./eventTimes.js";
import { determineGatheringRole, type GatheringRole, type ReportingHost } from "./loadGatherers.js";
import { type EventTimes, loadKeyOf, LoadSum, ReceivedSum, type ZoneSum } from "./loadSums.js";
import type { PeerChannel } from "./peerChannel.js";
import type { LoadReport, PeerLoad, PeerLoadTracker } from "./peerLoadTracker.js";

/** Interval at which gatherers pass sums on, in milliseconds: shorter than the time that an engine needs to read a long prompt. */
const SumIntervalMs = 50;

/**
 * Number of intervals after which a gatherer also sends to the hosts that get their sums from the other gatherer, in case that one
 * fails.
 */
const BackupPeriod = 6;

/** Age from which a sum no longer counts, in milliseconds. */
const MaxSumAgeMs = 700;

/** Time without a message of the other gatherer of the zone after which a gatherer does its work too, in milliseconds. */
const GathererSilentMs = 400;

/** Time after the start, or after a pause of the process, in which a gatherer collects reports and sends none, in milliseconds. */
const CollectMs = 400;

/** Delay of the interval from which the process counts as paused, in milliseconds. */
const PauseMs = 300;

/** Collaborators of {@link FleetLoad}, and this host. */
export interface FleetLoadDependencies {
    readonly clock: Clock;
    readonly channel: PeerChannel;
    readonly ownHost: ReportingHost;
    /** Latest reports of other hosts. */
    readonly reports: PeerLoadTracker;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
    /** @returns This host's own load. */
    ownLoad(): LoadReport["l"];
    /** Event times that other hosts have measured. */
    readonly eventTimes: EventTimeTracker;
    /** @returns Event times that a gatherer passes on, by id of the upstream. */
    collectEventTimes(): readonly (readonly [upstreamId: string, eventTimeMs: number])[];
}

/** Gathers, passes on and provides the sums at one host. */
export class FleetLoad {
    readonly #dependencies: FleetLoadDependencies;
    readonly #zoneSums = new Map<string, ReceivedSum>();
    readonly #fleetSums = new Map<string, ReceivedSum>();
    #cachedRole: { readonly others: readonly ReportingHost[]; readonly role: GatheringRole | undefined; } | undefined;
    #ownReported = new LoadSum();
    #timer: NodeJS.Timeout | undefined;
    #lastTickMs = Number.NEGATIVE_INFINITY;
    #collectUntilMs = Number.POSITIVE_INFINITY;
    readonly #eventTimeRotation = new EventTimeRotation();
    #sumNumber = 0;
    #hadFleetSum = false;

    constructor(dependencies: FleetLoadDependencies) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage((message, sender) => {
            const nowMs = dependencies.clock.monotonicMs();
            if (message.k === "z") {
                receivedSumOf(this.#zoneSums, message.z).record(message.n, message.l, nowMs, sender);
                this.#forwardToSecond(message, sender);
            }
            else if (message.k === "t") {
                receivedSumOf(this.#fleetSums, sender).record(message.n, message.l, nowMs, sender);
                this.#recordEventTimes(message.s);
            }
        });
    }

    /** Starts to pass sums on where this host is a gatherer. */
    start(): void {
        this.#lastTickMs = this.#dependencies.clock.monotonicMs();
        this.#collectUntilMs = this.#lastTickMs + CollectMs;
        this.#timer = setInterval(() => this.#tick(), SumIntervalMs);
    }

    /** Stops passing sums on. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** @returns Addresses to which this host reports; `undefined` when it must report to hosts drawn at random, or to them too. */
    get reportReceivers(): readonly string[] | undefined {
        return this.#role?.zoneGatherers;
    }

    /** @returns Whether this host knows the sum of the fleet, so that it need not report to other hosts directly. */
    get hasFleetSum(): boolean {
        const role = this.#role;
        return role !== undefined && (role.rank !== undefined || this.#newestFleetSum !== undefined);
    }

    /** Records the report that this host has sent, which is part of the sums that it gets. */
    recordOwnReport(loads: LoadReport["l"]): void {
        this.#ownReported = new LoadSum();
        this.#ownReported.addReport(loads);
    }

    /** @returns Load of the other hosts at an upstream; `undefined` when no sum is known. */
    loadAt(upstreamId: string): PeerLoad | undefined {
        const role = this.#role;
        if (role === undefined) {
            return undefined;
        }
        const key = loadKeyOf(upstreamId);
        if (role.rank !== undefined) {
            return this.#gatheredLoadAt(upstreamId, key, role);
        }
        const newest = this.#newestFleetSum;
        if (newest === undefined) {
            return undefined;
        }
        const total = newest.sum.loadAt(key);
        const own = this.#ownReported.loadAt(key);
        return {
            openRequestCount: Math.max(0, total.openRequestCount - own.openRequestCount),
            waitingPrefillTokens: Math.max(0, total.waitingPrefillTokens - own.waitingPrefillTokens),
        };
    }

    /** A gatherer knows the reports of its zone before they are passed on. */
    #gatheredLoadAt(upstreamId: string, key: string, { zoneHostIds }: GatheringRole): PeerLoad {
        const nowMs = this.#nowMs;
        let { openRequestCount, waitingPrefillTokens } = this.#dependencies.reports.loadAt(
            upstreamId,
            nowMs,
            hostId => zoneHostIds.has(hostId),
        );
        for (const { sum } of this.#freshZoneSums(nowMs)) {
            const load = sum.loadAt(key);
            openRequestCount += load.openRequestCount;
            waitingPrefillTokens += load.waitingPrefillTokens;
        }
        return { openRequestCount, waitingPrefillTokens };
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    get #role(): GatheringRole | undefined {
        const others = this.#dependencies.otherHosts();
        if (others === undefined) {
            return undefined;
        }
        if (this.#cachedRole?.others !== others) {
            const { ownHost } = this.#dependencies;
            const role = determineGatheringRole([...others, ownHost], ownHost);
            this.#cachedRole = { others, role };
            log.info("load reports", {
                hosts: others.length + 1,
                gathererRank: role?.rank,
                isGathered: role !== undefined,
            });
        }
        return this.#cachedRole.role;
    }

    get #newestFleetSum(): ReceivedSum | undefined {
        let newest: ReceivedSum | undefined;
        for (const received of this.#fleetSums.values()) {
            newest = newest === undefined || received.receivedMs > newest.receivedMs ? received : newest;
        }
        return newest !== undefined && this.#nowMs - newest.receivedMs <= MaxSumAgeMs ? newest : undefined;
    }

    #freshZoneSums(nowMs: number): ReceivedSum[] {
        return [...this.#zoneSums].filter(([zone, { receivedMs }]) =>
            zone !== this.#dependencies.ownHost.zone && nowMs - receivedMs <= MaxSumAgeMs
        ).map(([, received]) => received);
    }

    #tick(): void {
        const nowMs = this.#nowMs;
        if (nowMs - this.#lastTickMs > PauseMs) {
            // Reports of before the pause are old, and new ones have not all arrived.
            this.#collectUntilMs = nowMs + CollectMs;
        }
        this.#lastTickMs = nowMs;
        this.#logFleetSum();
        const role = this.#role;
        if (role?.rank !== undefined && nowMs >= this.#collectUntilMs) {
            this.#passOnSums(role, nowMs);
        }
    }

    #logFleetSum(): void {
        if (this.#role !== undefined && this.#hadFleetSum !== this.hasFleetSum) {
            this.#hadFleetSum = this.hasFleetSum;
            log.info(this.#hadFleetSum ? "load of the fleet known" : "load of the fleet unknown", {
                gatherers: this.#role.zoneGatherers.join(","),
            });
        }
    }

    #passOnSums(role: GatheringRole, nowMs: number): void {
        const { channel, reports, ownHost } = this.#dependencies;
        const zoneSum = new LoadSum();
        zoneSum.addReport(this.#dependencies.ownLoad());
        for (const loads of reports.recentReports(nowMs, hostId => role.zoneHostIds.has(hostId))) {
            zoneSum.addReport(loads);
        }
        const n = ++this.#sumNumber;
        const isOtherSilent = this.#isOtherGathererSilent(role, nowMs);
        const isBackupDue = n % BackupPeriod === 0;
        if (role.rank === 0 || isOtherSilent) {
            const receivers = [...role.gatherersElsewhere].flatMap(([zone, gatherers]) =>
                isBackupDue ? gatherers : this.#activeGatherers(zone, gatherers, nowMs)
            );
            for (const l of zoneSum.toMessages()) {
                receivers.forEach(address => channel.send(address, { k: "z", z: ownHost.zone, n, l }));
            }
        }
        for (const { sum } of this.#freshZoneSums(nowMs)) {
            zoneSum.addSum(sum);
        }
        const includesUnassigned = isBackupDue || isOtherSilent;
        const receivers = [...role.assignedAddresses, ...includesUnassigned ? role.unassignedAddresses : []];
        const eventTimes = this.#dependencies.collectEventTimes();
        for (const l of zoneSum.toMessages()) {
            const s = this.#eventTimeRotation.next(eventTimes);
            receivers.forEach(address => channel.send(address, { k: "t", n, l, s }));
        }
    }

    /** Gatherers know the times from the reports themselves; those of the other gatherer may be their own ones. */
    #recordEventTimes(times: EventTimes | undefined): void {
        if (this.#role?.rank === undefined) {
            this.#dependencies.eventTimes.record(times);
        }
    }

    /** @returns The gatherer of another zone that has sent its sum last, or else the first one. */
    #activeGatherers(zone: string, gatherers: readonly string[], nowMs: number): readonly string[] {
        const received = this.#zoneSums.get(zone);
        const isFresh = received !== undefined && nowMs - received.receivedMs <= MaxSumAgeMs;
        const active = gatherers.filter(address => isFresh && address === received.sender);
        return active.length > 0 ? active : gatherers.slice(0, 1);
    }

    /** @returns Whether nothing was heard lately from the other gatherer of the zone, so that this one does the work of both. */
    #isOtherGathererSilent({ zoneGatherers }: GatheringRole, nowMs: number): boolean {
        const [other] = zoneGatherers;
        const heardMs = other === undefined ? undefined : this.#fleetSums.get(other)?.receivedMs;
        return nowMs - (heardMs ?? Number.NEGATIVE_INFINITY) > GathererSilentMs;
    }

    /** The second gatherer of a zone gets the sums of other zones from the first one, as bytes between zones are charged for. */
    #forwardToSecond(message: ZoneSum, sender: string): void {
        const role = this.#role;
        const [second] = role?.zoneGatherers ?? [];
        if (role?.rank === 0 && second !== undefined && second !== sender) {
            this.#dependencies.channel.send(second, message);
        }
    }
}

function receivedSumOf(sums: Map<string, ReceivedSum>, key: string): ReceivedSum {
    const received = sums.get(key) ?? new ReceivedSum();
    sums.set(key, received);
    return received;
}
