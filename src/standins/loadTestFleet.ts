/** Test fleet of hosts that choose engines for long prompts by the load that they report to each other. */
import { vi } from "vitest";
import { ManualClock } from "../base/clock.js";
import { SeededRandom } from "../base/random.js";
import type { ReportingHost } from "../edge/peers/loadGatherers.js";
import { LoadReporter } from "../edge/peers/loadReporter.js";
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";
import { chooseUpstream } from "../edge/upstream/upstreamChoice.js";
import { UpstreamDirectory } from "../edge/upstream/upstreamDirectory.js";

/** Step of the simulation and delay of a message, in milliseconds. */
const StepMs = 5;

/** Prompt tokens that an engine reads in a millisecond, and size of a long prompt. */
const TokensPerMs = 42.8;
const PromptTokens = 9_190;

/** Time for which a request produces output after its prompt is read, in milliseconds. */
const OutputMs = 150;

/** Channel of one host; a host that is cut off or frozen neither sends nor receives. */
class TestChannel extends PeerChannel {
    readonly #fleet: LoadTestFleet;
    readonly #address: string;
    readonly listeners: PeerMessageListener[] = [];
    sentCount = 0;
    isCutOff = false;

    constructor(fleet: LoadTestFleet, address: string) {
        super();
        this.#fleet = fleet;
        this.#address = address;
    }

    override send(address: string, message: PeerMessage): void {
        this.sentCount++;
        if (!this.isCutOff) {
            this.#fleet.deliverLater(this.#address, address, message);
        }
    }

    override onMessage(listener: PeerMessageListener): void {
        this.listeners.push(listener);
    }
}

/** One host with its own view of the engines. */
class LoadTestHost {
    readonly identity: ReportingHost;
    readonly channel: TestChannel;
    readonly directory: UpstreamDirectory;
    readonly reporter: LoadReporter;

    constructor(fleet: LoadTestFleet, identity: ReportingHost, engineCount: number, seed: number) {
        this.identity = identity;
        this.channel = new TestChannel(fleet, identity.peerAddress);
        this.directory = new UpstreamDirectory(fleet.clock);
        for (let index = 0; index < engineCount; index++) {
            this.directory.put({
                id: `engine-${index}`,
                service: "s",
                address: `10.9.0.${index}:80`,
                zone: `z${index % fleet.zoneCount}`,
                slots: 24,
                isLeaving: false,
                startedAtMs: 1,
            });
        }
        let others: ReportingHost[] | undefined;
        this.reporter = new LoadReporter({
            clock: fleet.clock,
            random: new SeededRandom(seed),
            directory: this.directory,
            channel: this.channel,
            ownHost: identity,
            incarnation: `${identity.hostId}-1`,
            otherHosts: () => others ??= fleet.identities.filter(({ hostId }) => hostId !== identity.hostId),
        });
    }
}

/** Hosts and engines; requests arrive at random hosts. Fake timers of vitest must be in use. */
export class LoadTestFleet {
    readonly clock = new ManualClock();
    readonly hosts: LoadTestHost[];
    readonly identities: readonly ReportingHost[];
    readonly zoneCount: number;
    /** Whether requests of hosts that are cut off count, although these cannot know the load. */
    countsHostsCutOff = false;
    readonly #engineFreeAtMs: number[];
    readonly #random = new SeededRandom(11);
    readonly #inTransit: { readonly atMs: number; readonly to: string; readonly run: () => void; }[] = [];
    readonly #events: { readonly atMs: number; readonly run: () => void; }[] = [];
    #requestCount = 0;
    #delayedCount = 0;

    constructor(hostCount: number, engineCount: number, zoneCount = 6) {
        this.zoneCount = zoneCount;
        this.identities = Array.from({ length: hostCount }, (_, index) => ({
            hostId: `h${index}`,
            zone: `z${index % zoneCount}`,
            peerAddress: `10.0.0.${index}:1`,
        }));
        this.#engineFreeAtMs = Array<number>(engineCount).fill(0);
        this.hosts = this.identities.map((identity, index) => new LoadTestHost(this, identity, engineCount, index + 1));
        this.hosts.forEach(({ reporter }) => reporter.start());
    }

    /** @returns Fraction of the requests whose prompt had to wait until the engine had read another one. */
    get delayedFraction(): number {
        return this.#delayedCount / Math.max(1, this.#requestCount);
    }

    /** @returns Largest number of messages that one host has sent. */
    get maxSentCount(): number {
        return Math.max(...this.hosts.map(({ channel }) => channel.sentCount));
    }

    /** @returns Mean number of messages that a host has sent. */
    get meanSentCount(): number {
        return this.hosts.reduce((sum, { channel }) => sum + channel.sentCount, 0) / this.hosts.length;
    }

    /** Delivers a message after one step. */
    deliverLater(from: string, to: string, message: PeerMessage): void {
        this.#inTransit.push({
            atMs: this.clock.monotonicMs() + StepMs,
            to,
            run: () => {
                const channel = this.#findHost(to)?.channel;
                if (channel !== undefined && !channel.isCutOff) {
                    channel.listeners.forEach(listener => listener(message, from));
                }
            },
        });
    }

    /** Forgets the counts so far. */
    resetCounts(): void {
        this.#requestCount = 0;
        this.#delayedCount = 0;
        this.hosts.forEach(({ channel }) => channel.sentCount = 0);
    }

    /** Plays requests for a time, at a rate that uses a given fraction of what the engines can read. */
    play(durationMs: number, usedFraction: number): void {
        const requestsPerMs = usedFraction * this.#engineFreeAtMs.length * TokensPerMs / PromptTokens;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += StepMs) {
            this.clock.advance(StepMs);
            this.#runDue(this.#inTransit);
            this.#runDue(this.#events);
            vi.advanceTimersByTime(StepMs);
            for (let due = requestsPerMs * StepMs; due > 0; due--) {
                if (due >= 1 || this.#random.next() < due) {
                    this.#sendRequest(this.hosts[this.#random.integer(this.hosts.length)]!);
                }
            }
        }
    }

    /** Stops all reporters. */
    stop(): void {
        this.hosts.forEach(({ reporter }) => reporter.stop());
    }

    #findHost(address: string): LoadTestHost | undefined {
        return this.hosts[Number(address.slice("10.0.0.".length, -":1".length))];
    }

    #sendRequest(host: LoadTestHost): void {
        const nowMs = this.clock.monotonicMs();
        const upstream = chooseUpstream({
            candidates: host.directory.findUsable("s"),
            promptParts: [],
            promptTokens: PromptTokens,
            excludedUpstreamIds: new Set(),
            zone: host.identity.zone,
            isGeneration: true,
            nowMs,
            hostCount: this.hosts.length,
            isWithinLimit: () => true,
            peerLoad: candidate => host.reporter.peerLoadAt(candidate.entry.id),
        }, this.#random)!;
        const dispatch = upstream.beginDispatch(PromptTokens, 10_000);
        host.reporter.recordSend(PromptTokens);
        const index = Number(upstream.entry.id.slice("engine-".length));
        const startMs = Math.max(nowMs, this.#engineFreeAtMs[index]!);
        const readMs = startMs + PromptTokens / TokensPerMs;
        this.#engineFreeAtMs[index] = readMs;
        if (!host.channel.isCutOff || this.countsHostsCutOff) {
            this.#requestCount++;
            this.#delayedCount += startMs > nowMs ? 1 : 0;
        }
        this.#events.push({ atMs: readMs, run: () => upstream.recordResponseBytes(dispatch) });
        this.#events.push({ atMs: readMs + OutputMs, run: () => upstream.endDispatch(dispatch, "answered") });
    }

    #runDue(queue: { readonly atMs: number; readonly run: () => void; }[]): void {
        const nowMs = this.clock.monotonicMs();
        const due = queue.filter(({ atMs }) => atMs <= nowMs).sort((left, right) => left.atMs - right.atMs);
        const rest = queue.filter(({ atMs }) => atMs > nowMs);
        queue.splice(0, queue.length, ...rest);
        due.forEach(({ run }) => run());
    }
}
