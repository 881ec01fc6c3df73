/** Collects the hosts' confirmations of evacuations, and writes the status that operators see. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { rendezvousOrder } from "../../base/hashing.js";
import { log } from "../../base/log.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import { EvacuationConfirmations, type EvacuationStatus } from "../../scheduling/evacuationConfirmations.js";
import type { ZoneEvacuations } from "../../scheduling/zoneEvacuations.js";
import { EdgeCounterNames } from "../metrics.js";
import type { ReportingHost } from "../peers/loadGatherers.js";
import type { PeerChannel, PeerMessage } from "../peers/peerChannel.js";
import type { ObjectCodec } from "../protocolCodec.js";
import type { StatedEvacuations } from "./evacuationExchange.js";
import type { StoredEvacuation } from "./evacuationFeed.js";

/** Number of hosts that collect the confirmations for a zone: when one fails, the other writes the status. */
const CollectorCount = 2;

/** Interval at which hosts that have not confirmed an evacuation are asked, in milliseconds. */
const PollIntervalMs = 250;

/** Time from the start of an evacuation until a status that does not hold is written, in milliseconds: mostly it holds by then. */
const FirstStatusMs = 500;

/** Minimum time between two writes of a status, in milliseconds; each write is charged for. */
const MinWriteIntervalMs = 1_000;

/** Time for which the second collector leaves the write to the first one, in milliseconds. */
const SecondCollectorWaitMs = 1_500;

/** What a collector knows about the evacuation of one zone. */
interface CollectedZone {
    readonly startVersion: number;
    readonly startedAtMs: number;
    readonly confirmations: EvacuationConfirmations;
    /** Content of the status when the evacuation was first seen: a store that came back from a copy may have an outdated one. */
    readonly initialStatus: string | undefined;
    nextWriteMs: number;
    hasLogged: boolean;
    /** Monotonic time since which the stored status lacks that the evacuation holds, in milliseconds. */
    lackingSinceMs: number | undefined;
    isWriting: boolean;
}

/** Collaborators of {@link EvacuationCollector}, and the identity of this host. */
export interface EvacuationCollectorDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly store: PlatformStore;
    readonly codec: ObjectCodec;
    readonly channel: PeerChannel;
    readonly ownHost: ReportingHost;
    readonly evacuations: ZoneEvacuations;
    /** Time within which an evacuation must be in force, in milliseconds; a host that is silent for so long counts as unable to act. */
    readonly evacuateMs: number;
    /** @returns The other hosts; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
    /** @returns The set to send; `undefined` while none is known. */
    ownSet(): StatedEvacuations | undefined;
    /** @returns The stored evacuation of a zone as the feed saw it last. */
    storedEvacuation(zone: string): StoredEvacuation | undefined;
    /** Called with the set of a collector. */
    onSet(set: StatedEvacuations): void;
}

/** Asks the hosts whether an evacuation is in force there if this host is a collector of the zone, and answers other collectors. */
export class EvacuationCollector {
    readonly #dependencies: EvacuationCollectorDependencies;
    readonly #zones = new Map<string, CollectedZone>();
    #nextPollMs = Number.NEGATIVE_INFINITY;

    constructor(dependencies: EvacuationCollectorDependencies) {
        this.#dependencies = dependencies;
        const { channel, clock } = dependencies;
        channel.onMessage((message, sender) => {
            if (message.k === "zs") {
                dependencies.onSet({ zones: message.z, version: message.v, ageMs: message.a });
                this.#confirmTo(sender);
            }
            else if (message.k === "zc") {
                const statement = { hostId: message.h, zones: message.z, version: message.v };
                this.#zones.forEach(({ confirmations }) => confirmations.record(statement, clock.monotonicMs()));
            }
        });
    }

    /**
     * Asks hosts and writes the status when that is due.
     * @param zonesInForce Zones that are evacuated and known.
     */
    tick(zonesInForce: ReadonlySet<string>): void {
        [...this.#zones.keys()].filter(zone => !zonesInForce.has(zone)).forEach(zone => this.#zones.delete(zone));
        const { otherHosts, ownHost, clock } = this.#dependencies;
        const others = zonesInForce.size === 0 ? undefined : otherHosts();
        if (others === undefined) {
            return;
        }
        const nowMs = clock.monotonicMs();
        const hostIds = [ownHost, ...others].map(({ hostId }) => hostId);
        const unconfirmed = new Set<string>();
        for (const zone of zonesInForce) {
            const rank = rendezvousOrder(zone, hostIds).slice(0, CollectorCount).indexOf(ownHost.hostId);
            if (rank < 0) {
                this.#zones.delete(zone);
                continue;
            }
            const collected = this.#collected(zone, nowMs);
            this.#recordOwn(collected, nowMs);
            this.#updateStatus(zone, collected, collected.confirmations.statusOf(hostIds, nowMs), rank, nowMs);
            collected.confirmations.unconfirmedOf(hostIds).forEach(hostId => unconfirmed.add(hostId));
        }
        this.#poll(others.filter(({ hostId }) => unconfirmed.has(hostId)), nowMs);
    }

    /** @returns What is known about a zone; anew when its evacuation has ended and begun again meanwhile. */
    #collected(zone: string, nowMs: number): CollectedZone {
        const { evacuations, evacuateMs, storedEvacuation } = this.#dependencies;
        const startVersion = evacuations.startVersionOf(zone) ?? 0;
        let collected = this.#zones.get(zone);
        if (collected?.startVersion !== startVersion) {
            const stored = storedEvacuation(zone)?.status;
            collected = {
                startVersion,
                startedAtMs: nowMs,
                confirmations: new EvacuationConfirmations(zone, startVersion, evacuateMs),
                initialStatus: contentOf(stored),
                nextWriteMs: Number.NEGATIVE_INFINITY,
                hasLogged: false,
                lackingSinceMs: undefined,
                isWriting: false,
            };
            this.#zones.set(zone, collected);
        }
        return collected;
    }

    #recordOwn({ confirmations }: CollectedZone, nowMs: number): void {
        const { ownHost, evacuations } = this.#dependencies;
        const { zones, version } = evacuations;
        confirmations.record({ hostId: ownHost.hostId, zones: [...zones], version: version ?? 0 }, nowMs);
    }

    #updateStatus(
        zone: string,
        collected: CollectedZone,
        status: EvacuationStatus,
        rank: number,
        nowMs: number,
    ): void {
        if (status.holds && !collected.hasLogged) {
            collected.hasLogged = true;
            this.#dependencies.counters.add(EdgeCounterNames.evacuationsConfirmed);
            const afterMs = Math.round(nowMs - collected.startedAtMs);
            log.info("evacuation confirmed", { zone, afterMs, hosts: status.hosts, unconfirmed: status.unconfirmed });
        }
        const stored = this.#dependencies.storedEvacuation(zone);
        if (stored === undefined || collected.isWriting || contentOf(stored.status) === contentOf(status)) {
            collected.lackingSinceMs = undefined;
            return;
        }
        const isWritten = contentOf(stored.status) !== collected.initialStatus && isHolding(stored.status);
        if (nowMs >= collected.nextWriteMs && this.#isWriter(collected, status, isWritten, rank, nowMs)) {
            collected.nextWriteMs = nowMs + MinWriteIntervalMs;
            void this.#write(zone, collected, status, stored.version);
        }
    }

    /**
     * The first collector writes each change, the second one only that the evacuation holds, when the first one has not done so. Neither
     * replaces the other's statement that it holds by one that it does not, as one of them may be unable to reach a host.
     */
    #isWriter(
        collected: CollectedZone,
        { holds }: EvacuationStatus,
        isWritten: boolean,
        rank: number,
        nowMs: number,
    ): boolean {
        if (rank === 0) {
            return holds || (!isWritten && nowMs - collected.startedAtMs >= FirstStatusMs);
        }
        if (isWritten || !holds) {
            collected.lackingSinceMs = undefined;
            return false;
        }
        collected.lackingSinceMs ??= nowMs;
        return nowMs - collected.lackingSinceMs >= SecondCollectorWaitMs;
    }

    async #write(zone: string, collected: CollectedZone, status: EvacuationStatus, version: number): Promise<void> {
        const { store, codec } = this.#dependencies;
        collected.isWriting = true;
        try {
            const outcome = await store.putStatus(`${codec.evacuationPrefix}${zone}`, status, version);
            if (outcome.status !== "applied") {
                log.info("status of the evacuation not written", { zone, outcome: outcome.status });
            }
        }
        catch (error) {
            log.error("status of the evacuation not written", { zone, error: String(error) });
        }
        finally {
            collected.isWriting = false;
        }
    }

    /** Sends the set to hosts that have not confirmed it; they take it over and confirm it. */
    #poll(hosts: readonly ReportingHost[], nowMs: number): void {
        const set = this.#dependencies.ownSet();
        if (set === undefined || nowMs < this.#nextPollMs) {
            return;
        }
        this.#nextPollMs = nowMs + PollIntervalMs;
        const message: PeerMessage = { k: "zs", v: set.version, z: [...set.zones], a: Math.round(set.ageMs) };
        hosts.forEach(({ peerAddress }) => this.#dependencies.channel.send(peerAddress, message));
    }

    #confirmTo(address: string): void {
        const { channel, ownHost, evacuations, ownSet } = this.#dependencies;
        if (evacuations.version !== undefined) {
            channel.send(address, {
                k: "zc",
                h: ownHost.hostId,
                v: evacuations.version,
                z: [...ownSet()?.zones ?? []],
            });
        }
    }
}

/** @returns Text by which the content of two statuses is compared, as a store may change the order of fields. */
function contentOf(status: unknown): string | undefined {
    const { holds, hosts, unconfirmed } = (status ?? {}) as Partial<EvacuationStatus>;
    return status === undefined ? undefined : JSON.stringify([holds, hosts, unconfirmed]);
}

function isHolding(status: unknown): boolean {
    return (status as Partial<EvacuationStatus> | undefined)?.holds === true;
}
