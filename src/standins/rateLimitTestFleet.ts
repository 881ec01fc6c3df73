/** Test fleet of hosts that keep the limits of upstreams, without a network. */
import { Clock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { SeededRandom } from "../base/random.js";
import type { UpstreamEntry } from "../edge/edgeTypes.js";
import type { ReportingHost } from "../edge/peers/loadGatherers.js";
import type { PeerMessage } from "../edge/peers/peerChannel.js";
import { ColdLimits } from "../edge/rateLimit/coldLimits.js";
import type { UpstreamIdentity } from "../edge/rateLimit/limitTracker.js";
import { RateLimits } from "../edge/rateLimit/rateLimits.js";
import { ForwardingPeerChannel } from "./forwardingPeerChannel.js";

/** Step of the simulation and delay of a message, in milliseconds. */
const StepMs = 5;

/** Interval of periodic work of a host, and time of an upstream for a request, in milliseconds. */
const TickMs = 20;
const ServiceMs = 30;

/** Time from the start of a host until it knows the others, in milliseconds. */
const ListingMs = 1_200;

/** Maximum time until a host learns of a change in the store, and interval of the hosts' load reports, in milliseconds. */
const FeedDelayMs = 200;
const ReportMs = 500;

const Service = "model";

/** Any message; only its arrival counts. */
const LoadReport: PeerMessage = { k: "sr", i: "", n: 0, g: false };

const StartWallMs = 1_790_000_000_000;

/** A fleet and the upstreams of one service. */
export interface RateLimitTestPlan {
    readonly hostCount: number;
    readonly zoneCount: number;
    readonly upstreamCount: number;
    /** Requests per second that all callers send together. */
    readonly requestsPerS: number;
    readonly seed: number;
    /** Maximum difference between the wall clock of a host and the time, in milliseconds. */
    readonly clockErrorMs?: number;
    /** Requests per second that a cold upstream tolerates, and time after its start for which it is cold, in milliseconds. */
    readonly coldRequestsPerS?: number;
    readonly coldStartMs?: number;
}

/** Clock of one host; its monotonic time stands still while the host is frozen. */
class HostClock extends Clock {
    #monotonicMs = 0;
    #wallMs: number;

    constructor(wallMs: number) {
        super();
        this.#wallMs = wallMs;
    }

    override monotonicMs(): number {
        return this.#monotonicMs;
    }

    override wallMs(): number {
        return this.#wallMs;
    }

    advance(durationMs: number, isFrozen: boolean): void {
        this.#wallMs += durationMs;
        this.#monotonicMs += isFrozen ? 0 : durationMs;
    }

    /** Changes the wall clock by a time in milliseconds. */
    step(durationMs: number): void {
        this.#wallMs += durationMs;
    }
}

/** One host. */
export interface RateLimitTestHost {
    readonly identity: ReportingHost;
    readonly clock: HostClock;
    limits: RateLimits;
    cold: ColdLimits;
    channel: ForwardingPeerChannel;
    /** Start time of each listed upstream by this host's list; `undefined` for one that is not listed. */
    readonly starts: (number | undefined)[];
    /** Time at which the host lost its connection to the store, in milliseconds; `undefined` while it is connected. */
    storeLostAtMs: number | undefined;
    /** Whether messages of and to the host are lost; it still reaches the upstreams. */
    isCutOff: boolean;
    isFrozen: boolean;
    isDown: boolean;
    /** Events that wait for the host to wake. */
    readonly delayed: (() => void)[];
}

/** Hosts before the upstreams of one service; requests arrive at random hosts. */
export class RateLimitTestFleet {
    readonly hosts: RateLimitTestHost[];
    /** Limit of each upstream, in requests per second; `undefined` for none. */
    readonly limitsPerS: (number | undefined)[];
    /** Requests per second that all callers send together; by the plan at first. */
    requestsPerS: number;
    /** Requests that found no upstream, and all requests. */
    refusedCount = 0;
    requestCount = 0;
    messageCount = 0;
    readonly #plan: RateLimitTestPlan;
    readonly #random: SeededRandom;
    readonly #identities: readonly ReportingHost[];
    readonly #arrivalsMs: number[][];
    readonly #openCounts: number[];
    /** Entries in the store with their revisions; `undefined` for upstreams that are down. */
    readonly #entries: (readonly [entry: UpstreamEntry, revision: number] | undefined)[];
    #revision = 0;
    readonly #hostsByAddress: ReadonlyMap<string, RateLimitTestHost>;
    readonly #events = new Map<number, (() => void)[]>();
    #nowMs = 0;
    #startCount = 0;

    constructor(plan: RateLimitTestPlan) {
        const { hostCount, zoneCount, upstreamCount, seed, clockErrorMs = 0 } = plan;
        this.#plan = plan;
        this.requestsPerS = plan.requestsPerS;
        this.#random = new SeededRandom(seed);
        this.limitsPerS = Array<number | undefined>(upstreamCount).fill(undefined);
        this.#arrivalsMs = Array.from({ length: upstreamCount }, () => []);
        this.#openCounts = Array<number>(upstreamCount).fill(0);
        this.#entries = this.limitsPerS.map((_, index) => [this.#createEntry(index, StartWallMs), ++this.#revision]);
        this.#identities = Array.from({ length: hostCount }, (_, index) => ({
            hostId: `front-${seed}-${index}`,
            zone: `z${index % zoneCount}`,
            peerAddress: `10.0.${Math.floor(index / 200)}.${index % 200}:7213`,
        }));
        this.hosts = this.#identities.map(identity => {
            const clock = new HostClock(StartWallMs + (2 * this.#random.next() - 1) * clockErrorMs);
            return {
                identity,
                clock,
                isCutOff: false,
                isFrozen: false,
                isDown: false,
                storeLostAtMs: undefined,
                delayed: [],
                ...this.#start(identity, clock),
            };
        });
        this.#hostsByAddress = new Map(this.hosts.map(host => [host.identity.peerAddress, host]));
    }

    /** @returns Time since the start, in milliseconds. */
    get nowMs(): number {
        return this.#nowMs;
    }

    /** Lets time pass. */
    play(durationMs: number): void {
        const untilMs = this.#nowMs + durationMs;
        while (this.#nowMs < untilMs) {
            this.#nowMs += StepMs;
            this.hosts.forEach(({ clock, isFrozen }) => clock.advance(StepMs, isFrozen));
            const due = this.#events.get(this.#nowMs) ?? [];
            this.#events.delete(this.#nowMs);
            due.forEach(run => run());
            if (this.#nowMs % ReportMs === 0) {
                this.#deliverReports();
            }
            if (this.#nowMs % TickMs === 0) {
                this.hosts.filter(({ isFrozen, isDown }) => !isFrozen && !isDown).forEach(({ limits }) =>
                    limits.tick()
                );
            }
            for (let due = this.requestsPerS * StepMs / 1_000; due > 0; due--) {
                if (this.#random.next() < due) {
                    this.#arrive();
                }
            }
        }
    }

    /** Ends the process of a host and starts a new one. */
    restart(host: RateLimitTestHost): void {
        Object.assign(host, this.#start(host.identity, host.clock));
    }

    /** Lets a frozen host go on. */
    wake(host: RateLimitTestHost): void {
        host.isFrozen = false;
        host.delayed.splice(0).forEach(run => run());
    }

    /** @returns Number of hosts that know that an upstream has a limit. */
    countLimiting(upstream: number): number {
        return this.hosts.filter(({ limits }) => limits.isLimited(identityOf(upstream))).length;
    }

    /** @returns Number of hosts by whose list an upstream has a limit. */
    countColdHosts(upstream: number): number {
        return this.hosts.filter(({ limits, starts: { [upstream]: startedAtMs } }) =>
            startedAtMs !== undefined && limits.isLimited({ id: idOf(upstream), startedAtMs })
        ).length;
    }

    /** Ends the process of an upstream; its entry is removed. */
    stopUpstream(index: number): void {
        this.#entries[index] = undefined;
        this.#publish(index);
    }

    /** Starts an upstream, whose entry states its remaining cold time, if any is given, in milliseconds. */
    startUpstream(index: number, coldLeftMs: number | undefined): void {
        this.#entries[index] = [this.#createEntry(index, StartWallMs + this.#nowMs, coldLeftMs), ++this.#revision];
        this.#publish(index);
    }

    /** States the remaining cold time of a running upstream, in milliseconds. */
    setColdLeft(index: number, coldLeftMs: number): void {
        this.#entries[index] = [{ ...this.#entries[index]![0], coldLeftMs }, ++this.#revision];
        this.#publish(index);
    }

    /** Cuts a host off from the store. */
    loseStore(host: RateLimitTestHost): void {
        host.storeLostAtMs = host.clock.monotonicMs();
    }

    /** Connects a host to the store again. */
    regainStore(host: RateLimitTestHost): void {
        host.storeLostAtMs = undefined;
        this.#entries.forEach((_, index) => this.#deliverEntry(host, index));
    }

    /** @returns Largest number of requests that an upstream got in any span of a length, from a time on. */
    worstCount(upstream: number, fromMs: number, spanMs: number): number {
        const times = this.#arrivalsMs[upstream]!.filter(time => time >= fromMs);
        return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + spanMs).length));
    }

    /** @returns Number of requests that an upstream got from a time on. */
    arrivalCount(upstream: number, fromMs: number): number {
        return this.#arrivalsMs[upstream]!.filter(time => time >= fromMs).length;
    }

    #createEntry(index: number, startedAtMs: number, coldLeftMs?: number): UpstreamEntry {
        const address = `10.1.0.${index}:80`;
        return {
            id: idOf(index),
            service: Service,
            address,
            zone: "z0",
            slots: 6,
            isLeaving: false,
            startedAtMs,
            coldLeftMs,
        };
    }

    #publish(index: number): void {
        for (const host of this.hosts) {
            const delayMs = StepMs * (1 + this.#random.integer(FeedDelayMs / StepMs));
            this.#schedule(delayMs, host, () => {
                if (host.storeLostAtMs === undefined) {
                    this.#deliverEntry(host, index);
                }
            });
        }
    }

    #deliverEntry(host: RateLimitTestHost, index: number): void {
        const listed = this.#entries[index];
        host.starts[index] = listed?.[0].startedAtMs;
        if (listed !== undefined) {
            host.cold.recordEntry(...listed);
        }
    }

    #deliverReports(): void {
        const connected = this.hosts.filter(({ isCutOff, isFrozen, isDown }) => !isCutOff && !isFrozen && !isDown);
        for (const { channel } of connected.length > 1 ? connected : []) {
            channel.deliver(LoadReport, "");
        }
    }

    #start(
        identity: ReportingHost,
        clock: HostClock,
    ): Pick<RateLimitTestHost, "limits" | "cold" | "channel" | "starts"> {
        const { coldRequestsPerS, coldStartMs } = this.#plan;
        const services = [{ name: Service, maxConnections: 100, coldRequestsPerS, coldStartMs }];
        const cold = new ColdLimits({
            clock,
            counters: new Counters(),
            services: () => services,
            storeConfirmedAtMs: () =>
                this.#hostsByAddress.get(identity.peerAddress)?.storeLostAtMs ?? clock.monotonicMs(),
        });
        this.#entries.forEach(listed => listed !== undefined && cold.recordEntry(...listed));
        cold.endFirstList();
        const channel = new ForwardingPeerChannel((address, message) => this.#send(identity, address, message));
        const startedMs = clock.monotonicMs();
        let others: ReportingHost[] | undefined;
        const limits = new RateLimits({
            clock,
            counters: new Counters(),
            cold,
            channel,
            ownHost: identity,
            incarnation: `mf3k2a9x${(this.#startCount++).toString(36)}`,
            otherHosts: () => {
                if (clock.monotonicMs() - startedMs < ListingMs) {
                    return undefined;
                }
                return others ??= this.#identities.filter(({ hostId }) => hostId !== identity.hostId);
            },
        });
        return { channel, limits, cold, starts: this.#entries.map(listed => listed?.[0].startedAtMs) };
    }

    /** Schedules an event of a host; it waits while the host is frozen, and is lost if its process has ended by then. */
    #schedule(delayMs: number, host: RateLimitTestHost, run: () => void): void {
        const { limits } = host;
        const atMs = this.#nowMs + delayMs;
        const runOnce = () => {
            if (host.isFrozen) {
                host.delayed.push(runOnce);
            }
            else if (host.limits === limits && !host.isDown) {
                run();
            }
        };
        this.#events.set(atMs, [...this.#events.get(atMs) ?? [], runOnce]);
    }

    #send(from: ReportingHost, address: string, message: PeerMessage): void {
        this.messageCount++;
        const sender = this.#hostsByAddress.get(from.peerAddress);
        const receiver = this.#hostsByAddress.get(address);
        if (receiver !== undefined && sender?.isCutOff === false && !receiver.isCutOff) {
            this.#schedule(StepMs, receiver, () => {
                receiver.channel.deliver(message, from.peerAddress);
            });
        }
    }

    #arrive(): void {
        const host = this.hosts[this.#random.integer(this.hosts.length)]!;
        if (host.isFrozen || host.isDown) {
            return;
        }
        this.requestCount++;
        const identities = host.starts.flatMap((startedAtMs, index) =>
            startedAtMs === undefined ? [] : [{ id: idOf(index), startedAtMs, index }]
        );
        const unconfirmed = host.limits.findUnconfirmed(identities, 0);
        const open = identities.filter(upstream => host.limits.maySend(upstream, 0))
            .map(upstream => ({ upstream, cost: this.#openCounts[upstream.index]! + this.#random.next() / 2 }))
            .sort((left, right) => left.cost - right.cost);
        const best = unconfirmed ?? open[0]?.upstream;
        if (best !== undefined) {
            host.limits.recordSend(best, 0);
            this.#dispatch(host, best);
            return;
        }
        host.limits.requestSlot(identities, 0, granted => {
            if (granted === undefined) {
                this.refusedCount++;
                return;
            }
            this.#dispatch(host, granted);
        });
    }

    #dispatch(host: RateLimitTestHost, identity: UpstreamIdentity & { readonly index: number; }): void {
        const { index: upstream } = identity;
        if (this.#entries[upstream] === undefined) {
            // The process has ended, which only a host without the store does not know.
            this.refusedCount++;
            return;
        }
        this.#arrivalsMs[upstream]!.push(this.#nowMs);
        this.#openCounts[upstream]!++;
        const requestsPerS = this.limitsPerS[upstream];
        const writtenAtMs = host.clock.monotonicMs();
        const atMs = this.#nowMs + ServiceMs;
        this.#events.set(atMs, [...this.#events.get(atMs) ?? [], () => this.#openCounts[upstream]!--]);
        this.#schedule(ServiceMs, host, () => {
            const stated = requestsPerS === undefined ?
                { kind: "none" as const } :
                { kind: "rate" as const, requestsPerS };
            host.limits.recordResponse(identity, stated, writtenAtMs);
        });
    }
}

/** @returns Identity of the first start of an upstream, the same at all hosts. */
function identityOf(index: number): UpstreamIdentity {
    return { id: idOf(index), startedAtMs: StartWallMs };
}

function idOf(index: number): string {
    return `i-${index}`;
}
