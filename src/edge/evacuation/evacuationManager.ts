/** Keeps requests away from the upstreams of evacuated availability zones on this host. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import { SuspensionDetector } from "../../scheduling/suspensionDetector.js";
import { ZoneEvacuations } from "../../scheduling/zoneEvacuations.js";
import { EdgeCounterNames } from "../metrics.js";
import type { FleetBroadcastDependencies } from "../peers/fleetBroadcast.js";
import type { ObjectCodec } from "../protocolCodec.js";
import { EvacuationCollector } from "./evacuationCollector.js";
import { EvacuationExchange, type ReceivedSet, type StatedEvacuations } from "./evacuationExchange.js";
import { EvacuationFeed, type StoredEvacuations } from "./evacuationFeed.js";
import type { EvacuationsMessage } from "./evacuationMessages.js";

/** Time for which the set is repeated after the end of an evacuation, in milliseconds. */
const RepeatAfterEndMs = 10_000;

/**
 * Maximum age of the store's confirmation with which another host's set counts as current, as a fraction of the time within which an
 * evacuation must be in force. The rest of that time remains for the message.
 */
const MaxAgeFraction = 0.5;

/**
 * Minimum time between two listings that confirm the set after a suspension, in milliseconds. The first one often fails, as its
 * connection was closed meanwhile.
 */
const ListingIntervalMs = 200;

/** Maximum size of the zones in a message, in bytes; the datagram has room for the fields around them. */
const MaxZonesBytes = 1_000;

/** Tells whether requests may be sent to the upstreams of a zone. */
export type ZonePredicate = (zone: string) => boolean;

const NoZone: ZonePredicate = () => false;

/** Collaborators of {@link EvacuationManager}, and the identity of this host. */
export interface EvacuationManagerDependencies
    extends Pick<FleetBroadcastDependencies<EvacuationsMessage>, "channel" | "ownHost" | "incarnation" | "otherHosts"> {
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    readonly store: PlatformStore;
    readonly codec: ObjectCodec;
    /** Time within which an evacuation must be in force on every host, in milliseconds. */
    readonly evacuateMs: number;
    /** Zones of the settings. */
    readonly zones: readonly string[];
    /** Zones of the listed upstreams; `undefined` while none is listed. */
    listedZones(): ReadonlySet<string> | undefined;
}

/** Follows the evacuations by the store and by other hosts, and decides to which zones this host sends. */
export class EvacuationManager {
    readonly #dependencies: EvacuationManagerDependencies;
    readonly #evacuations = new ZoneEvacuations();
    readonly #suspensions = new SuspensionDetector();
    readonly #feed: EvacuationFeed;
    readonly #exchange: EvacuationExchange;
    readonly #collector: EvacuationCollector;
    readonly #zonesInForce = new Set<string>();
    readonly #unknownZones = new Set<string>();
    /** Monotonic time of the latest confirmation of the set by the store, also by way of other hosts, in milliseconds. */
    #confirmedAtMs = Number.NEGATIVE_INFINITY;
    #suspensionCount = 0;
    #suspendedAtMs = 0;
    #isListing = false;
    #nextListingMs = Number.NEGATIVE_INFINITY;

    constructor(dependencies: EvacuationManagerDependencies) {
        this.#dependencies = dependencies;
        const { store, codec, clock } = dependencies;
        this.#feed = new EvacuationFeed(store, codec, clock, (stored, ageMs) => this.#applyStored(stored, ageMs));
        this.#exchange = new EvacuationExchange({
            ...dependencies,
            otherHosts: () => dependencies.otherHosts(),
            observeClocks: () => this.#observeClocks(),
            ownSet: () => this.#ownSet,
            confirmedSet: () => this.#isCurrent && this.isReliable ? this.#ownSet : undefined,
            onSet: set => this.#receiveSet(set),
            onReply: set => this.#receiveReply(set),
        });
        this.#collector = new EvacuationCollector({
            ...dependencies,
            evacuations: this.#evacuations,
            otherHosts: () => dependencies.otherHosts(),
            ownSet: () => this.#ownSet,
            storedEvacuation: zone => this.#feed.find(zone),
            onSet: set => {
                this.#receiveSet(set);
            },
        });
    }

    /** Starts to follow the store. */
    start(): void {
        this.#feed.start();
    }

    /** Stops following the store. */
    stop(): void {
        this.#feed.stop();
    }

    /** @returns Whether a set is known, so that the host may become ready. */
    get isInformed(): boolean {
        return this.#evacuations.isInformed;
    }

    /** @returns Whether requests may rely on the set; not before the first one, nor after a suspension until it is confirmed. */
    get isReliable(): boolean {
        this.#observeClocks();
        return this.#evacuations.isReliable(this.#nowMs);
    }

    /** @returns Which zones may get requests now; `undefined` when all may. While the set is in doubt, none may. */
    get zoneFilter(): ZonePredicate | undefined {
        if (!this.isReliable) {
            return NoZone;
        }
        return this.#evacuations.zones.size === 0 ? undefined : zone => !this.#evacuations.isEvacuated(zone);
    }

    /** Sends what is due, logs evacuations that have begun or ended, and goes on asking for a confirmation. */
    tick(): void {
        this.#observeClocks();
        const nowMs = this.#nowMs;
        if (this.#evacuations.isUnconfirmed(nowMs)) {
            this.#exchange.continueQuery();
            void this.#confirmByStore();
        }
        this.#exchange.tick(this.#evacuations.isActive(nowMs, RepeatAfterEndMs));
        this.#logDecisions();
        this.#collector.tick(this.#zonesInForce);
    }

    /** @returns The evacuations as this host knows them, for the state dump. */
    dumpState(): unknown {
        const confirmedAgeMs = Math.round(this.#nowMs - this.#confirmedAtMs);
        return {
            inForce: [...this.#zonesInForce],
            unknownZones: [...this.#unknownZones],
            status: Object.fromEntries([...this.#zonesInForce].map(zone => [zone, this.#feed.find(zone)?.status])),
            version: this.#evacuations.version,
            confirmedAgeMs: Number.isFinite(confirmedAgeMs) ? confirmedAgeMs : undefined,
            reliable: this.isReliable,
        };
    }

    #observeClocks(): void {
        const { clock, counters } = this.#dependencies;
        const nowMs = clock.monotonicMs();
        const gapMs = this.#suspensions.observe(nowMs, clock.wallMs());
        if (gapMs === undefined) {
            return;
        }
        this.#evacuations.onSuspended(nowMs);
        this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
        this.#suspendedAtMs = nowMs;
        counters.add(EdgeCounterNames.evacuationSuspensions);
        log.info("evacuations unconfirmed: the host was suspended", { gapMs: Math.round(gapMs) });
        this.#exchange.startQuery();
        this.#suspensionCount++;
        this.#nextListingMs = nowMs;
        void this.#confirmByStore();
    }

    /** Lists the store; a response to an earlier call may have waited in the socket during the suspension. */
    async #confirmByStore(): Promise<void> {
        if (this.#isListing || this.#nowMs < this.#nextListingMs) {
            return;
        }
        const suspensionNumber = this.#suspensionCount;
        this.#isListing = true;
        this.#nextListingMs = this.#nowMs + ListingIntervalMs;
        try {
            const stored = await this.#feed.list();
            if (stored !== undefined) {
                this.#applyStored(stored, 0);
            }
            // A response that was read after another suspension may be from before it.
            this.#observeClocks();
            if (stored !== undefined && suspensionNumber === this.#suspensionCount) {
                this.#confirm("store", 0);
            }
        }
        catch (error) {
            log.error("evacuations not listed", { error: String(error) });
        }
        finally {
            this.#isListing = false;
        }
    }

    #applyStored({ zones, version }: StoredEvacuations, ageMs: number): void {
        this.#observeClocks();
        const change = this.#evacuations.replaceAll(zones, version, this.#nowMs);
        if (change === undefined) {
            return;
        }
        this.#recordConfirmation(ageMs);
        if (change.started.length > 0 || change.ended.length > 0) {
            this.#logDecisions();
            this.#exchange.sendChange();
        }
    }

    #receiveSet(set: StatedEvacuations): ReceivedSet {
        const { zones, version, ageMs } = set;
        this.#observeClocks();
        if (!this.#evacuations.isInformed && ageMs > this.#maxAgeMs) {
            return "agrees";
        }
        const change = this.#evacuations.replaceAll(zones, version, this.#nowMs);
        if (change !== undefined) {
            this.#recordConfirmation(ageMs);
            this.#logDecisions();
            return "agrees";
        }
        const own = this.#evacuations.zones;
        return zones.length === own.size && zones.every(zone => own.has(zone)) ? "agrees" : "outdated";
    }

    /** The clocks were observed before, so that a reply that waited during a suspension does not belong to the latest query. */
    #receiveReply(set: StatedEvacuations): void {
        if (set.ageMs <= this.#maxAgeMs) {
            this.#receiveSet(set);
            this.#confirm("host", set.ageMs);
        }
    }

    /** What arrives while the set is in doubt may have waited in a socket during the suspension, so that its age is unknown. */
    #recordConfirmation(ageMs: number): void {
        if (!this.#evacuations.isUnconfirmed(this.#nowMs)) {
            this.#confirmedAtMs = Math.max(this.#confirmedAtMs, this.#nowMs - ageMs);
        }
    }

    #confirm(source: "store" | "host", ageMs: number): void {
        const nowMs = this.#nowMs;
        if (this.#evacuations.isUnconfirmed(nowMs)) {
            this.#evacuations.confirm();
            this.#recordConfirmation(ageMs);
            const zones = [...this.#evacuations.zones];
            log.info("evacuations confirmed", { source, zones, afterMs: Math.round(nowMs - this.#suspendedAtMs) });
        }
    }

    /** Logs each decision once: an evacuation in force, one that has ended, and one of an unknown zone. */
    #logDecisions(): void {
        const { zones, version } = this.#evacuations;
        if (zones.size === 0 && this.#zonesInForce.size === 0 && this.#unknownZones.size === 0) {
            return;
        }
        const { counters, zones: settingsZones } = this.#dependencies;
        const listed = this.#dependencies.listedZones();
        for (const zone of zones) {
            if (settingsZones.includes(zone) || listed?.has(zone) === true) {
                this.#unknownZones.delete(zone);
                if (!this.#zonesInForce.has(zone)) {
                    this.#zonesInForce.add(zone);
                    counters.add(EdgeCounterNames.evacuationsStarted);
                    log.info("evacuation in force", { zone, version });
                }
            }
            else if (listed !== undefined && !this.#unknownZones.has(zone) && !this.#zonesInForce.has(zone)) {
                this.#unknownZones.add(zone);
                counters.add(EdgeCounterNames.evacuationsIgnored);
                log.warn("evacuation ignored: the zone is unknown", { zone, version });
            }
        }
        for (const zone of [...this.#zonesInForce].filter(inForce => !zones.has(inForce))) {
            this.#zonesInForce.delete(zone);
            counters.add(EdgeCounterNames.evacuationsEnded);
            log.info("evacuation ended", { zone, version });
        }
        [...this.#unknownZones].filter(zone => !zones.has(zone)).forEach(zone => this.#unknownZones.delete(zone));
    }

    /** The set for messages. Unknown zones come last and are left out where the datagram has no room: they have no upstream. */
    get #ownSet(): StatedEvacuations | undefined {
        const { zones, version } = this.#evacuations;
        if (version === undefined) {
            return undefined;
        }
        const ordered = [...zones].sort((left, right) =>
            Number(this.#unknownZones.has(left)) - Number(this.#unknownZones.has(right))
        );
        let bytes = 0;
        const sent = ordered.filter(zone => (bytes += Buffer.byteLength(JSON.stringify(zone)) + 1) <= MaxZonesBytes);
        return { zones: sent, version, ageMs: Math.max(0, this.#nowMs - this.#confirmedAtMs) };
    }

    /** Whether the store confirmed the set recently enough for another host to rely on it. */
    get #isCurrent(): boolean {
        return this.#nowMs - this.#confirmedAtMs <= this.#maxAgeMs;
    }

    get #maxAgeMs(): number {
        return this.#dependencies.evacuateMs * MaxAgeFraction;
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }
}
