/**
 * Limits on the rate of requests to upstreams, as requests use them: which upstream may get one now, and when a refused request may
 * come back. Upstreams state limits in their responses, and cold upstreams have one; the lower one is in force.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { RendezvousSet } from "../../base/hashing.js";
import type { StatedLimit } from "../edgeTypes.js";
import { EdgeCounterNames } from "../metrics.js";
import type { ReportingHost } from "../peers/loadGatherers.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { ColdLimits } from "./coldLimits.js";
import { LimitExchange } from "./limitExchange.js";
import { identityKey, LimitTracker, type UpstreamIdentity } from "./limitTracker.js";
import { ReturnSchedule } from "./returnSchedule.js";
import { type ReceivedSlotRequest, SlotExchange } from "./slotExchange.js";
import { ColdSlotTiming, type Slot, StatedSlotTiming } from "./slotSchedule.js";
import { type SlotLimit, UpstreamSlots } from "./upstreamSlots.js";

/** Maximum number of hosts that are asked for a slot for one request, and time after which no further one is asked, in milliseconds. */
const MaxAskedHosts = 4;
const MaxAskingMs = 80;

/**
 * Age of a limit from which a request is sent to its upstream first, in milliseconds: only a response tells whether the limit is still
 * in force.
 */
const UnconfirmedMs = 2_000;

/** Collaborators of {@link RateLimits}, and the identity of this host. */
export interface RateLimitsDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly ownHost: ReportingHost;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** Limits of cold upstreams; without it only stated limits are kept. */
    readonly cold?: ColdLimits | undefined;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
}

/** The limit in force of an upstream. */
interface EffectiveLimit extends SlotLimit {
    /** Key by which the slots are divided, the same at all hosts. */
    readonly slotKey: string;
}

/** Slot of another host that may be free. */
interface BorrowableSlot {
    readonly upstream: UpstreamIdentity;
    readonly slots: UpstreamSlots;
    readonly slot: Slot;
    readonly address: string;
}

/** Keeps the limits of all upstreams. */
export class RateLimits {
    readonly #dependencies: RateLimitsDependencies;
    readonly #tracker: LimitTracker;
    readonly #limitExchange: LimitExchange;
    readonly #slotExchange: SlotExchange;
    readonly #returns: ReturnSchedule;
    readonly #slotsByUpstream = new Map<string, UpstreamSlots>();
    #fleet: { readonly others: readonly ReportingHost[]; readonly hosts: RendezvousSet; } | undefined;
    #addresses: ReadonlyMap<string, string> = new Map();

    constructor(dependencies: RateLimitsDependencies) {
        this.#dependencies = dependencies;
        const { clock, channel, cold } = dependencies;
        channel.onMessage(() => cold?.recordMessage());
        this.#tracker = new LimitTracker(clock);
        this.#limitExchange = new LimitExchange({ ...dependencies, tracker: this.#tracker });
        this.#slotExchange = new SlotExchange({ ...dependencies, giveSlot: request => this.#giveSlot(request) });
        this.#returns = new ReturnSchedule(clock);
    }

    /**
     * Records what a response to this host states.
     * @param writtenAtMs Monotonic time at which the request was written, in milliseconds.
     */
    recordResponse(upstream: UpstreamIdentity, stated: StatedLimit, writtenAtMs: number): void {
        if (this.#tracker.recordResponse(upstream, stated, writtenAtMs)) {
            this.#limitExchange.recordChange(upstream);
        }
    }

    /** @returns Whether no upstream has stated a limit yet and none is cold, so that requests need not be checked. */
    get isEmpty(): boolean {
        return this.#tracker.isEmpty && this.#dependencies.cold?.isActive !== true;
    }

    /** @returns Whether the upstream has a limit. */
    isLimited(upstream: UpstreamIdentity): boolean {
        return this.#limitOf(upstream) !== undefined;
    }

    /**
     * @param rank Rank of the request among those that compete for the upstream; 0 is the most urgent.
     * @returns Whether the upstream may get a request of this host now.
     */
    maySend(upstream: UpstreamIdentity, rank: number): boolean {
        return !this.isLimited(upstream) || this.#slotsOf(upstream)?.hasOwnSlot(rank) === true;
    }

    /** @returns An upstream that may get a request now and whose stated limit was not confirmed lately, if any; not a cold one. */
    findUnconfirmed<T extends UpstreamIdentity>(upstreams: readonly T[], rank: number): T | undefined {
        const nowMs = this.#dependencies.clock.monotonicMs();
        return upstreams.find(upstream => {
            const atMs = this.#tracker.statementAbout(upstream)?.atMs ?? nowMs;
            return nowMs - atMs >= UnconfirmedMs && this.isLimited(upstream) && !this.#isCold(upstream) &&
                this.maySend(upstream, rank);
        });
    }

    /** Counts a request that is sent to an upstream that {@link maySend} has allowed. */
    recordSend(upstream: UpstreamIdentity, rank: number): void {
        if (this.isLimited(upstream)) {
            this.#slotsOf(upstream)?.takeOwnSlot(rank);
        }
    }

    /**
     * Asks other hosts for a slot of one of several upstreams.
     * @param onEnd Called once, perhaps at once, with the upstream that may get one request; with `undefined` when there is none.
     */
    requestSlot<T extends UpstreamIdentity>(
        upstreams: readonly T[],
        rank: number,
        onEnd: (upstream: T | undefined) => void,
    ): void {
        const wallMs = this.#dependencies.clock.wallMs();
        const borrowable = upstreams.flatMap(upstream => this.#borrowableSlots(upstream, rank))
            .sort((left, right) => right.slot.startMs - left.slot.startMs)
            .slice(0, MaxAskedHosts);
        const askNext = (): void => {
            const next = borrowable.shift();
            if (next === undefined || this.#dependencies.clock.wallMs() - wallMs > MaxAskingMs) {
                onEnd(undefined);
                return;
            }
            const { id: upstreamId, startedAtMs } = next.upstream;
            this.#dependencies.counters.add(EdgeCounterNames.slotRequests);
            this.#slotExchange.request(next.address, { upstreamId, startedAtMs, rank }, reply => {
                if (reply === "granted") {
                    this.#dependencies.counters.add(EdgeCounterNames.slotsBorrowed);
                    onEnd(upstreams.find(upstream => identityKey(upstream) === identityKey(next.upstream)));
                    return;
                }
                next.slots.markUsed(next.slot);
                askNext();
            });
        };
        askNext();
    }

    /**
     * @param service Service of the request, all of whose upstreams have limits.
     * @param upstreams Upstreams of the service.
     * @param maxMs Maximum result.
     * @returns Time after which a refused request may be served, in milliseconds. Requests that are refused one after the other get
     * later times, as the limits allow.
     */
    retryAfterMs(service: string, upstreams: readonly UpstreamIdentity[], rank: number, maxMs: number): number {
        const requestsPerS = upstreams.reduce((sum, upstream) => sum + (this.#limitOf(upstream)?.requestsPerS ?? 0), 0);
        const hostCount = (this.#dependencies.otherHosts()?.length ?? 0) + 1;
        return this.#returns.add(`${service}/${rank}`, requestsPerS / hostCount, maxMs);
    }

    /** Sends what is due and ends requests for slots that are overdue; called every few tens of milliseconds. */
    tick(): void {
        this.#dependencies.cold?.tick();
        this.#createColdSlots();
        this.#limitExchange.tick();
        this.#slotExchange.tick();
    }

    /** @returns The limits in force, for the state dump. */
    dumpState(): unknown {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const stated = this.#tracker.activeStatements.map(({ upstream, requestsPerS, atMs }) => ({
            upstream: upstream.id,
            requestsPerS,
            ageMs: Math.round(nowMs - atMs),
        }));
        return [...stated, ...this.#dependencies.cold?.dumpState() ?? []];
    }

    /** @returns The lower one of the stated and the cold limit of an upstream. */
    #limitOf(upstream: UpstreamIdentity): EffectiveLimit | undefined {
        const statedPerS = this.#tracker.limitOf(upstream);
        const coldPerS = this.#dependencies.cold?.limitOf(upstream);
        if (coldPerS !== undefined) {
            const requestsPerS = Math.min(coldPerS, statedPerS ?? coldPerS);
            // Hosts that have not learned of a restart send to the same process, so that the slots do not depend on the start.
            return { requestsPerS, timing: ColdSlotTiming, slotKey: `cold/${upstream.id}` };
        }
        return statedPerS === undefined ?
            undefined :
            { requestsPerS: statedPerS, timing: StatedSlotTiming, slotKey: identityKey(upstream) };
    }

    #isCold(upstream: UpstreamIdentity): boolean {
        return this.#dependencies.cold?.limitOf(upstream) !== undefined;
    }

    /**
     * Slots count from their creation. Those of cold upstreams are created before the first request, as the cold period of an upstream is
     * short compared with the time between two requests of a host.
     */
    #createColdSlots(): void {
        if (this.#dependencies.cold?.isActive === true) {
            this.#dependencies.cold.limited.forEach(upstream => this.#slotsOf(upstream));
        }
    }

    #giveSlot({ upstreamId, startedAtMs, rank }: ReceivedSlotRequest): boolean {
        const isGiven = this.#slotsOf({ id: upstreamId, startedAtMs })?.takeOwnSlot(rank) === true;
        this.#dependencies.counters.add(EdgeCounterNames.slotsLent, isGiven ? 1 : 0);
        return isGiven;
    }

    #borrowableSlots(upstream: UpstreamIdentity, rank: number): BorrowableSlot[] {
        const slots = this.#slotsOf(upstream);
        return slots?.slotsOfOthers(rank).flatMap(slot => {
            const address = this.#addresses.get(slot.ownerId);
            return address === undefined ? [] : [{ upstream, slots, slot, address }];
        }) ?? [];
    }

    /** @returns The slots of an upstream with a limit; `undefined` while the other hosts are not known. */
    #slotsOf(upstream: UpstreamIdentity): UpstreamSlots | undefined {
        const limit = this.#limitOf(upstream);
        const hosts = this.#hosts;
        if (limit === undefined || hosts === undefined) {
            return undefined;
        }
        const { slotKey } = limit;
        let slots = this.#slotsByUpstream.get(slotKey);
        if (slots?.requestsPerS !== limit.requestsPerS) {
            const { ownHost, clock } = this.#dependencies;
            this.#forgetUnlimited();
            slots = new UpstreamSlots(slotKey, limit, hosts, ownHost.hostId, clock);
            this.#slotsByUpstream.set(slotKey, slots);
        }
        slots.updateHosts(hosts);
        return slots;
    }

    #forgetUnlimited(): void {
        const upstreams = [
            ...this.#tracker.activeStatements.map(({ upstream }) => upstream),
            ...this.#dependencies.cold?.limited ?? [],
        ];
        const limited = new Set(upstreams.map(upstream => this.#limitOf(upstream)?.slotKey));
        for (const key of this.#slotsByUpstream.keys()) {
            if (!limited.has(key)) {
                this.#slotsByUpstream.delete(key);
            }
        }
    }

    /** The hosts in the same order at all of them, as far as they know the same ones. */
    get #hosts(): RendezvousSet | undefined {
        const others = this.#dependencies.otherHosts();
        if (others === undefined) {
            return undefined;
        }
        if (this.#fleet?.others !== others) {
            const hostIds = [this.#dependencies.ownHost, ...others].map(({ hostId }) => hostId).sort();
            this.#fleet = { others, hosts: new RendezvousSet(hostIds) };
            this.#addresses = new Map(others.map(({ hostId, peerAddress }) => [hostId, peerAddress]));
        }
        return this.#fleet.hosts;
    }
}
