/** The upstreams that the platform lists, by service. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import { Upstream } from "./upstream.js";

/** An upstream whose entry is missing, perhaps only because the store could not renew it. */
interface LapsedUpstream {
    readonly upstream: Upstream;
    /** Monotonic time until which the upstream is still used, in milliseconds. */
    readonly untilMs: number;
}

/** Maximum number of ended incarnations that are remembered; more than end within the time for which evidence of crashes counts. */
const MaxEndedStarts = 512;

/** Keeps one {@link Upstream} for each incarnation of each listed upstream. */
export class UpstreamDirectory {
    readonly #clock: Clock;
    readonly #zoneFilter: () => ((zone: string) => boolean) | undefined;
    readonly #byId = new Map<string, Upstream>();
    readonly #lapsed = new Map<string, LapsedUpstream>();
    /** Upstreams that get no new requests but still have open ones. */
    readonly #retired = new Set<Upstream>();
    /** Incarnations that were listed and are no more, the latest ones last. */
    readonly #endedStarts = new Map<string, true>();

    /** @param zoneFilter Returns which availability zones may get requests now; `undefined` when all may. */
    constructor(clock: Clock, zoneFilter: () => ((zone: string) => boolean) | undefined = () => undefined) {
        this.#clock = clock;
        this.#zoneFilter = zoneFilter;
    }

    /** @returns Whether no upstream is listed. */
    get isEmpty(): boolean {
        return this.#byId.size === 0;
    }

    /** @returns Upstreams of a service that may get new requests. */
    findUsable(service: string): Upstream[] {
        const isZoneUsable = this.#zoneFilter();
        return [...this.#byId.values()].filter(({ entry, isLeaving }) =>
            entry.service === service && !isLeaving && (isZoneUsable === undefined || isZoneUsable(entry.zone))
        );
    }

    /** @returns Whether requests may be sent to the availability zone of an upstream now. */
    isZoneUsable(upstream: Upstream): boolean {
        return this.#zoneFilter()?.(upstream.entry.zone) ?? true;
    }

    /** @returns Availability zones of the listed upstreams; `undefined` while none is listed. */
    get zones(): ReadonlySet<string> | undefined {
        return this.isEmpty ? undefined : new Set([...this.#byId.values()].map(({ entry }) => entry.zone));
    }

    /** @returns All upstreams that are listed or still have open requests. */
    get all(): readonly Upstream[] {
        return [...this.#byId.values(), ...this.#retired];
    }

    /** @returns Whether this incarnation of an upstream is listed. */
    isListed(upstream: Upstream): boolean {
        return this.#byId.get(upstream.entry.id) === upstream;
    }

    /**
     * @param startedAtMs Start of the incarnation; see {@link UpstreamEntry.startedAtMs}.
     * @returns Whether this incarnation of an upstream was listed and is no more.
     */
    hasEnded(id: string, startedAtMs: number): boolean {
        return this.#endedStarts.has(incarnationKey(id, startedAtMs));
    }

    /** @returns Whether a later incarnation of an upstream is listed, so that the given one has ended. */
    isSucceeded(id: string, startedAtMs: number): boolean {
        const listed = this.#byId.get(id);
        return listed !== undefined && listed.entry.startedAtMs > startedAtMs;
    }

    /** @returns Whether another incarnation is listed under the id or at the address of this one. */
    isReplaced(upstream: Upstream): boolean {
        const { id, address } = upstream.entry;
        return [...this.#byId.values()].some(listed =>
            listed !== upstream && (listed.entry.id === id || listed.entry.address === address)
        );
    }

    /**
     * Replaces the whole list.
     * @param lapseGraceMs Time for which missing upstreams are still used, in milliseconds; 0 when a missing entry is
     * certain to mean that the upstream was removed.
     */
    replaceAll(entries: readonly UpstreamEntry[], lapseGraceMs: number): void {
        const listed = new Set(entries.map(entry => entry.id));
        for (const id of [...this.#byId.keys()]) {
            if (!listed.has(id)) {
                this.remove(id, lapseGraceMs);
            }
        }
        for (const entry of entries) {
            this.put(entry);
        }
    }

    /** Adds or updates an upstream; one that was restarted or moved to another address or service is replaced. */
    put(entry: UpstreamEntry): void {
        this.#lapsed.delete(entry.id);
        const known = this.#byId.get(entry.id);
        if (known !== undefined && isSameStart(known.entry, entry)) {
            if (entry.isLeaving && !known.isLeaving) {
                known.markLeaving();
                log.info("upstream leaves", { upstream: entry.id, service: entry.service });
            }
            return;
        }
        if (known !== undefined) {
            this.#retire(known);
        }
        this.#byId.set(entry.id, new Upstream(entry, this.#clock));
        log.info("upstream listed", { upstream: entry.id, service: entry.service, address: entry.address });
    }

    /**
     * Removes an upstream.
     * @param lapseGraceMs Time for which it is still used, in milliseconds; 0 removes it at once.
     */
    remove(id: string, lapseGraceMs: number): void {
        const upstream = this.#byId.get(id);
        if (upstream === undefined) {
            return;
        }
        if (lapseGraceMs > 0 && !upstream.isLeaving) {
            if (!this.#lapsed.has(id)) {
                this.#lapsed.set(id, { upstream, untilMs: this.#clock.monotonicMs() + lapseGraceMs });
                log.info("upstream entry is missing after an outage", { upstream: id, graceMs: lapseGraceMs });
            }
            return;
        }
        this.#byId.delete(id);
        this.#retire(upstream);
        log.info("upstream gone", { upstream: id, service: upstream.entry.service, open: upstream.openRequestCount });
    }

    /** Removes lapsed upstreams after their grace period and closes expired connections; called regularly. */
    tick(): void {
        const nowMs = this.#clock.monotonicMs();
        for (const [id, lapsed] of this.#lapsed) {
            if (nowMs >= lapsed.untilMs) {
                this.#lapsed.delete(id);
                this.remove(id, 0);
            }
        }
        for (const upstream of this.#retired) {
            if (upstream.openRequestCount === 0) {
                upstream.pool.closeIdle();
                this.#retired.delete(upstream);
            }
        }
        for (const upstream of this.#byId.values()) {
            upstream.pool.closeExpired();
        }
    }

    #retire(upstream: Upstream): void {
        const { id, startedAtMs } = upstream.entry;
        setBounded(this.#endedStarts, incarnationKey(id, startedAtMs), true, MaxEndedStarts, () => false);
        upstream.markLeaving();
        this.#retired.add(upstream);
    }
}

function isSameStart(known: UpstreamEntry, entry: UpstreamEntry): boolean {
    return known.address === entry.address && known.service === entry.service &&
        known.startedAtMs === entry.startedAtMs;
}

function incarnationKey(id: string, startedAtMs: number): string {
    return `${id} ${startedAtMs}`;
}
