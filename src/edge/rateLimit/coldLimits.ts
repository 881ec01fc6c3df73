/** Limits of cold upstreams, as this host knows them from the store, from other hosts, or because it is cut off from both. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { type ColdPhase, ColdStarts, type UpstreamStart } from "../../scheduling/coldStart.js";
import type { Service, UpstreamEntry } from "../edgeTypes.js";
import { EdgeCounterNames } from "../metrics.js";

/** Time without the store and without any other host after which every upstream with a cold rate counts as cold, in milliseconds. */
const SilenceMs = 3_000;

/**
 * Time after the first message of another host until a host that was cut off relies on their messages again, in milliseconds:
 * within it the cold upstreams are sent again.
 */
const RegainMs = 1_500;

/**
 * Time with messages of other hosts after which a cold period from this host's first list has passed unless one of them confirms it,
 * in milliseconds: the entry may have been written long before.
 */
const ConfirmationMs = 2_500;

/** Maximum number of known entries; far more than there are upstreams at the same time. */
const MaxEntries = 2_000;

/** Remaining cold time of an upstream, as it is sent to other hosts. */
export interface ColdStatement {
    readonly upstream: UpstreamStart;
    readonly coldLeftMs: number;
    /** The store's number of the change of the entry that tells it. A host that knows this change or a later one ignores the statement. */
    readonly revision: number;
    /** Monotonic time at which this host read the entry, in milliseconds. */
    readonly knownSinceMs: number;
    /** Whether the entry was in this host's first list, so that its age is unknown. */
    readonly isFirstListed: boolean;
}

/** Where the cold state of an upstream comes from. */
interface ColdSource extends Pick<ColdStatement, "revision" | "knownSinceMs" | "isFirstListed"> {
    /** Whether this host has read the entry itself. */
    readonly isOwn: boolean;
    /** Whether another host has stated the same. */
    readonly isConfirmed: boolean;
}

/** Listed entry of an upstream, with the store's number of its last change. */
interface ListedEntry {
    readonly service: string;
    readonly startedAtMs: number;
    readonly revision: number;
}

/** Collaborators of {@link ColdLimits}. */
export interface ColdLimitsDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    /** @returns The services of the configuration in force, the same object until it changes. */
    services(): readonly Service[];
    /** @returns Monotonic time of the store's last response to the feed of upstreams, in milliseconds. */
    storeConfirmedAtMs(): number;
}

/** Keeps the limits of cold upstreams. Without a service with a cold rate there are none. */
export class ColdLimits {
    readonly #dependencies: ColdLimitsDependencies;
    readonly #starts = new ColdStarts();
    /** Latest entries by id, also of upstreams that are no longer listed: they may still get requests for a time. */
    readonly #entries = new Map<string, ListedEntry>();
    readonly #sources = new Map<string, ColdSource>();
    readonly #phases = new Map<string, ColdPhase>();
    #coldServices:
        | { readonly services: readonly Service[]; readonly byName: ReadonlyMap<string, Service>; }
        | undefined;
    #hasList = false;
    #lastMessageMs: number;
    /** Monotonic time of the first message after the start, or after a silence, in milliseconds. */
    #heardSinceMs: number | undefined;
    #isIsolated = false;

    constructor(dependencies: ColdLimitsDependencies) {
        this.#dependencies = dependencies;
        this.#lastMessageMs = dependencies.clock.monotonicMs();
    }

    /** @returns Whether an upstream may have a cold limit, so that requests have to be checked. */
    get isActive(): boolean {
        return this.#services.size > 0 && (this.#isIsolated || !this.#starts.isEmpty);
    }

    /** @returns Requests per second that the upstream takes from all hosts while it is cold or warming; `undefined` when it is warm. */
    limitOf(upstream: UpstreamStart): number | undefined {
        if (!this.isActive) {
            return undefined;
        }
        const requestsPerS = this.#coldRequestsPerS(upstream.id);
        return this.#isIsolated ?
            requestsPerS :
            this.#starts.limitOf(upstream, requestsPerS, this.#dependencies.clock.monotonicMs());
    }

    /** @returns The upstreams with a cold limit. */
    get limited(): readonly UpstreamStart[] {
        const upstreams = this.#isIsolated ?
            [...this.#entries].map(([id, { startedAtMs }]) => ({ id, startedAtMs })) :
            this.#starts.states.map(({ upstream }) => upstream);
        return upstreams.filter(upstream => this.limitOf(upstream) !== undefined);
    }

    /** @returns What this host knows itself about cold upstreams, for the other hosts. */
    get statements(): readonly ColdStatement[] {
        const nowMs = this.#dependencies.clock.monotonicMs();
        return this.#starts.states
            .filter(({ upstream: { id }, coldUntilMs }) =>
                coldUntilMs > nowMs && this.#coldRequestsPerS(id) !== undefined
            )
            .flatMap(({ upstream, coldUntilMs }) => {
                const source = this.#sources.get(upstream.id);
                return source?.isOwn === true ? [{ ...source, upstream, coldLeftMs: coldUntilMs - nowMs }] : [];
            });
    }

    /** Records that all entries in the store have been read once: an upstream that is new from now on is seen starting. */
    endFirstList(): void {
        this.#hasList = true;
    }

    /**
     * Records an entry in the store. One that is listed again unchanged has no effect, as its remaining cold time has passed.
     * @param revision The store's number of the entry's last change.
     */
    recordEntry(entry: UpstreamEntry, revision: number): void {
        const { id, service, startedAtMs, coldLeftMs } = entry;
        const known = this.#entries.get(id);
        if (known?.revision === revision && known.startedAtMs === startedAtMs) {
            return;
        }
        setBounded(this.#entries, id, { service, startedAtMs, revision }, MaxEntries, () => false);
        const isSeenStarting = this.#hasList && known?.startedAtMs !== startedAtMs;
        const leftMs = coldLeftMs ?? (isSeenStarting ? this.#timeLeftAfterStart(service, startedAtMs) : undefined);
        if (leftMs === undefined) {
            return;
        }
        const nowMs = this.#dependencies.clock.monotonicMs();
        const source = this.#sources.get(id);
        // A host that regains the store may read a change long after it was told of it.
        const isHeard = source !== undefined && source.revision >= revision;
        if (!isHeard) {
            this.#starts.record(entry, leftMs, nowMs);
        }
        this.#setSource(id, {
            revision: isHeard ? source.revision : revision,
            knownSinceMs: nowMs,
            isFirstListed: !this.#hasList,
            isOwn: true,
            isConfirmed: isHeard && source.isConfirmed,
        });
    }

    /** Records what another host knows about a cold upstream, unless this host has read the same change of the entry or a later one. */
    recordStatement(
        { upstream, coldLeftMs, revision }: Pick<ColdStatement, "upstream" | "coldLeftMs" | "revision">,
    ): void {
        const { id } = upstream;
        const nowMs = this.#dependencies.clock.monotonicMs();
        const source = this.#sources.get(id);
        if (source?.revision === revision) {
            this.#setSource(id, { ...source, isConfirmed: true });
        }
        const knownRevision = Math.max(
            this.#entries.get(id)?.revision ?? Number.NEGATIVE_INFINITY,
            source?.revision ?? Number.NEGATIVE_INFINITY,
        );
        if (revision > knownRevision) {
            this.#starts.record(upstream, coldLeftMs, nowMs);
            const isFirstListed = false;
            this.#setSource(id, { revision, knownSinceMs: nowMs, isFirstListed, isOwn: false, isConfirmed: true });
        }
    }

    /** Records that a message of another host has arrived. */
    recordMessage(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const isAfterSilence = this.#heardSinceMs === undefined || nowMs - this.#lastMessageMs >= SilenceMs;
        this.#heardSinceMs = isAfterSilence ? nowMs : this.#heardSinceMs;
        this.#lastMessageMs = nowMs;
    }

    /** Logs changes and forgets warm upstreams; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        this.#updateIsolation(nowMs);
        this.#forgetUnconfirmed(nowMs);
        const ids = new Set([...this.#phases.keys(), ...this.#starts.states.map(({ upstream }) => upstream.id)]);
        ids.forEach(id => this.#updatePhase(id, nowMs));
        this.#starts.forgetWarm(nowMs);
    }

    /** @returns The cold and warming upstreams, for the state dump. */
    dumpState(): readonly object[] {
        const nowMs = this.#dependencies.clock.monotonicMs();
        return this.limited.map(upstream => {
            const { id } = upstream;
            return {
                upstream: id,
                requestsPerS: this.limitOf(upstream),
                phase: this.#isIsolated ? "isolated" : this.#starts.phaseOf(id, nowMs),
                coldLeftMs: Math.max(0, Math.round((this.#starts.stateOf(id)?.coldUntilMs ?? nowMs) - nowMs)),
            };
        });
    }

    #updateIsolation(nowMs: number): void {
        const isStoreSilent = nowMs - this.#dependencies.storeConfirmedAtMs() >= SilenceMs;
        const areHostsSilent = nowMs - this.#lastMessageMs >= SilenceMs;
        const isRegaining = this.#isIsolated && nowMs - (this.#heardSinceMs ?? nowMs) < RegainMs;
        const isIsolated = this.#hasList && this.#services.size > 0 && isStoreSilent &&
            (areHostsSilent || isRegaining);
        if (isIsolated !== this.#isIsolated) {
            this.#isIsolated = isIsolated;
            this.#dependencies.counters.add(EdgeCounterNames.coldIsolations, isIsolated ? 1 : 0);
            const upstreams = this.#entries.size;
            if (isIsolated) {
                log.warn("upstreams count as cold: store and hosts are silent", { upstreams });
            }
            else {
                log.info("upstreams no longer count as cold", { upstreams });
            }
        }
    }

    #forgetUnconfirmed(nowMs: number): void {
        for (const { upstream: { id } } of this.#starts.states) {
            const source = this.#sources.get(id);
            if (
                source?.isFirstListed === true && !source.isConfirmed && nowMs - this.#lastMessageMs < ConfirmationMs &&
                nowMs - Math.max(source.knownSinceMs, this.#heardSinceMs ?? nowMs) >= ConfirmationMs
            ) {
                this.#starts.forget(id);
            }
        }
    }

    #setSource(id: string, source: ColdSource): void {
        setBounded(this.#sources, id, source, MaxEntries, () => false);
    }

    #updatePhase(id: string, nowMs: number): void {
        const requestsPerS = this.#coldRequestsPerS(id);
        const phase = requestsPerS === undefined ? "warm" : this.#starts.phaseOf(id, nowMs);
        const previous = this.#phases.get(id) ?? "warm";
        if (phase === "warm") {
            this.#phases.delete(id);
        }
        else {
            this.#phases.set(id, phase);
        }
        if (phase !== previous) {
            this.#dependencies.counters.add(EdgeCounterNames.coldUpstreams, phase === "cold" ? 1 : 0);
            const coldLeftMs = Math.max(0, Math.round((this.#starts.stateOf(id)?.coldUntilMs ?? nowMs) - nowMs));
            log.info(`upstream ${phase}`, { upstream: id, requestsPerS, coldLeftMs });
        }
    }

    /** The clocks of hosts differ, so that a start may seem to be in the future. */
    #timeLeftAfterStart(service: string, startedAtMs: number): number | undefined {
        const coldStartMs = this.#services.get(service)?.coldStartMs ?? 0;
        const ageMs = Math.max(0, this.#dependencies.clock.wallMs() - startedAtMs);
        return ageMs < coldStartMs ? coldStartMs - ageMs : undefined;
    }

    #coldRequestsPerS(id: string): number | undefined {
        const service = this.#entries.get(id)?.service;
        return service === undefined ? undefined : this.#services.get(service)?.coldRequestsPerS;
    }

    /** Services with a cold rate, by name. */
    get #services(): ReadonlyMap<string, Service> {
        const services = this.#dependencies.services();
        if (this.#coldServices?.services !== services) {
            const cold = services.filter(({ coldRequestsPerS = 0 }) => coldRequestsPerS > 0);
            this.#coldServices = { services, byName: new Map(cold.map(service => [service.name, service])) };
        }
        return this.#coldServices.byName;
    }
}
