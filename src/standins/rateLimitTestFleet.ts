/** Test fleet of hosts that keep the limits of upstreams, without a network. */
import { Clock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { SeededRandom } from "../base/random.js";
import type { ReportingHost } from "../edge/peers/loadGatherers.js";
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";
import { RateLimits } from "../edge/rateLimit/rateLimits.js";

/** Step of the simulation and delay of a message, in milliseconds. */
const StepMs = 5;

/** Interval of periodic work of a host, and time of an upstream for a request, in milliseconds. */
const TickMs = 20;
const ServiceMs = 30;

/** Time from the start of a host until it knows the others, in milliseconds. */
const ListingMs = 1_200;

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

/** Channel of one host over the messages of the fleet. */
class FleetChannel extends PeerChannel {
    readonly #onSend: (address: string, message: PeerMessage) => void;
    readonly listeners: PeerMessageListener[] = [];

    constructor(onSend: (address: string, message: PeerMessage) => void) {
        super();
        this.#onSend = onSend;
    }

    override send(address: string, message: PeerMessage): void {
        this.#onSend(address, message);
    }

    override onMessage(listener: PeerMessageListener): void {
        this.listeners.push(listener);
    }
}

/** One host. */
export interface RateLimitTestHost {
    readonly identity: ReportingHost;
    readonly clock: HostClock;
    limits: RateLimits;
    channel: FleetChannel;
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
    /** Requests that found no upstream, and all requests. */
    refusedCount = 0;
    requestCount = 0;
    messageCount = 0;
    readonly #plan: RateLimitTestPlan;
    readonly #random: SeededRandom;
    readonly #identities: readonly ReportingHost[];
    readonly #arrivalsMs: number[][];
    readonly #openCounts: number[];
    readonly #hostsByAddress: ReadonlyMap<string, RateLimitTestHost>;
    readonly #events = new Map<number, (() => void)[]>();
    #nowMs = 0;
    #startCount = 0;

    constructor(plan: RateLimitTestPlan) {
        const { hostCount, zoneCount, upstreamCount, seed, clockErrorMs = 0 } = plan;
        this.#plan = plan;
        this.#random = new SeededRandom(seed);
        this.limitsPerS = Array<number | undefined>(upstreamCount).fill(undefined);
        this.#arrivalsMs = Array.from({ length: upstreamCount }, () => []);
        this.#openCounts = Array<number>(upstreamCount).fill(0);
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
            if (this.#nowMs % TickMs === 0) {
                this.hosts.filter(({ isFrozen, isDown }) => !isFrozen && !isDown).forEach(({ limits }) =>
                    limits.tick()
                );
            }
            for (let due = this.#plan.requestsPerS * StepMs / 1_000; due > 0; due--) {
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

    /** @returns Largest number of requests that an upstream got in any span of a length, from a time on. */
    worstCount(upstream: number, fromMs: number, spanMs: number): number {
        const times = this.#arrivalsMs[upstream]!.filter(time => time >= fromMs);
        return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + spanMs).length));
    }

    /** @returns Number of requests that an upstream got from a time on. */
    arrivalCount(upstream: number, fromMs: number): number {
        return this.#arrivalsMs[upstream]!.filter(time => time >= fromMs).length;
    }

    #start(identity: ReportingHost, clock: HostClock): Pick<RateLimitTestHost, "limits" | "channel"> {
        const channel = new FleetChannel((address, message) => this.#send(identity, address, message));
        const startedMs = clock.monotonicMs();
        let others: ReportingHost[] | undefined;
        const limits = new RateLimits({
            clock,
            counters: new Counters(),
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
        return { channel, limits };
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
                receiver.channel.listeners.forEach(listener => listener(message, from.peerAddress));
            });
        }
    }

    #arrive(): void {
        const host = this.hosts[this.#random.integer(this.hosts.length)]!;
        if (host.isFrozen || host.isDown) {
            return;
        }
        this.requestCount++;
        const upstreams = this.limitsPerS.map((_, index) => index);
        const identities = upstreams.map(identityOf);
        const unconfirmed = host.limits.findUnconfirmed(identities, 0);
        const open = upstreams.filter(index => host.limits.maySend(identityOf(index), 0))
            .map(index => ({ index, cost: this.#openCounts[index]! + this.#random.next() / 2 }))
            .sort((left, right) => left.cost - right.cost);
        const best = unconfirmed === undefined ? open[0]?.index : identities.indexOf(unconfirmed);
        if (best !== undefined) {
            host.limits.recordSend(identityOf(best), 0);
            this.#dispatch(host, best);
            return;
        }
        host.limits.requestSlot(identities, 0, granted => {
            if (granted === undefined) {
                this.refusedCount++;
                return;
            }
            this.#dispatch(host, identities.indexOf(granted));
        });
    }

    #dispatch(host: RateLimitTestHost, upstream: number): void {
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
            host.limits.recordResponse(identityOf(upstream), stated, writtenAtMs);
        });
    }
}

/** @returns Identity of an upstream, the same at all hosts. */
function identityOf(index: number): { readonly id: string; readonly startedAtMs: number; } {
    return { id: `i-${index}`, startedAtMs: StartWallMs };
}
