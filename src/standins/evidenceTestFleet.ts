/** Test fleet of hosts that exchange evidence of crashes over channels that count messages and bytes. */
import { ManualClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import type { ReportingHost } from "../edge/peers/loadGatherers.js";
import {
    MaxDatagramBytes,
    PeerChannel,
    type PeerMessage,
    type PeerMessageListener,
} from "../edge/peers/peerChannel.js";
import { EvidenceExchange, type EvidenceTracker } from "../edge/quarantine/evidenceExchange.js";
import type { PartEvidence, UpstreamCrash } from "../edge/quarantine/quarantineTypes.js";

/** Step of the simulation and delay of a message, in milliseconds. */
const StepMs = 20;

/** Evidence of one host, and what it has received, without any decision. */
export class RecordingEvidenceTracker implements EvidenceTracker {
    readonly own = new Map<string, UpstreamCrash[]>();
    /** Received crashes as `PART UPSTREAM HOST`, and received clearances by part, in milliseconds of the receiver's clock. */
    readonly receivedCrashes = new Set<string>();
    readonly receivedClearances = new Map<string, number>();
    readonly crashTimesMs: number[] = [];

    ownEvidence(nowMs: number): readonly PartEvidence[] {
        return [...this.own].map(([partId, crashes]) => ({
            partId,
            crashes: crashes.map(({ upstreamId, startedAtMs, crashedAtMs }) => ({
                upstreamId,
                startedAtMs,
                ageMs: nowMs - crashedAtMs,
            })),
        }));
    }

    recordEvidence({ partId, crashes, clearedAgeMs }: PartEvidence, hostId: string, nowMs: number): void {
        for (const { upstreamId, ageMs } of crashes) {
            this.crashTimesMs.push(nowMs - ageMs);
            this.receivedCrashes.add(`${partId} ${upstreamId} ${hostId}`);
        }
        if (clearedAgeMs !== undefined) {
            this.receivedClearances.set(partId, nowMs - clearedAgeMs);
        }
    }

    /** Adds a crash that this host has seen. */
    addOwn(crash: UpstreamCrash, partIds: readonly string[]): void {
        partIds.forEach(partId => this.own.set(partId, [...this.own.get(partId) ?? [], crash]));
    }
}

/** Channel of one host; one that is cut off neither sends nor receives. */
class CountingChannel extends PeerChannel {
    readonly #onSend: (address: string, message: PeerMessage) => void;
    readonly #listeners: PeerMessageListener[] = [];
    isCutOff = false;

    constructor(onSend: (address: string, message: PeerMessage) => void) {
        super();
        this.#onSend = onSend;
    }

    override send(address: string, message: PeerMessage): void {
        if (!this.isCutOff) {
            this.#onSend(address, message);
        }
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }

    /** Passes a message on to the listeners. */
    receive(message: PeerMessage, sender: string): void {
        if (!this.isCutOff) {
            this.#listeners.forEach(listener => listener(message, sender));
        }
    }
}

/** One host of the fleet. */
interface EvidenceTestHost {
    readonly identity: ReportingHost;
    readonly channel: CountingChannel;
    readonly tracker: RecordingEvidenceTracker;
    readonly exchange: EvidenceExchange;
}

/** Messages and bytes that were sent, in all and between zones, and the size of the largest datagram. */
export interface TrafficCounts {
    messageCount: number;
    bytes: number;
    zoneCrossingCount: number;
    zoneCrossingBytes: number;
    maxDatagramBytes: number;
}

const noTraffic = (): TrafficCounts => ({
    messageCount: 0,
    bytes: 0,
    zoneCrossingCount: 0,
    zoneCrossingBytes: 0,
    maxDatagramBytes: 0,
});

/** Hosts in zones, with one clock for all. */
export class EvidenceTestFleet {
    readonly clock = new ManualClock();
    readonly identities: readonly ReportingHost[];
    readonly hosts: readonly EvidenceTestHost[];
    traffic = noTraffic();
    /** @returns Whether a message is lost on its way. */
    isLost: (message: PeerMessage) => boolean = () => false;
    #inTransit: (() => void)[] = [];

    constructor(hostCount: number, zoneCount: number) {
        this.identities = Array.from({ length: hostCount }, (_, index) => ({
            hostId: `front-south-${index}`,
            zone: `z${index % zoneCount}`,
            peerAddress: `10.0.${Math.floor(index / 200)}.${index % 200}:7213`,
        }));
        this.hosts = this.identities.map(identity => this.#createHost(identity));
    }

    /** Forgets the traffic so far. */
    resetTraffic(): void {
        this.traffic = noTraffic();
    }

    /** Lets time pass. */
    play(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += StepMs) {
            this.clock.advance(StepMs);
            const due = this.#inTransit;
            this.#inTransit = [];
            due.forEach(deliver => deliver());
            this.hosts.forEach(({ exchange }) => exchange.tick());
        }
    }

    #createHost(identity: ReportingHost): EvidenceTestHost {
        const channel = new CountingChannel((address, message) => this.#send(identity, address, message));
        const tracker = new RecordingEvidenceTracker();
        let others: ReportingHost[] | undefined;
        const exchange = new EvidenceExchange({
            clock: this.clock,
            counters: new Counters(),
            channel,
            tracker,
            ownHost: identity,
            incarnation: `mf3k2a9x${identity.hostId.length}a1b2c3`,
            otherHosts: () => others ??= this.identities.filter(({ hostId }) => hostId !== identity.hostId),
        });
        return { identity, channel, tracker, exchange };
    }

    #send(from: ReportingHost, address: string, message: PeerMessage): void {
        const bytes = Buffer.byteLength(JSON.stringify(message));
        const to = this.hosts.find(({ identity }) => identity.peerAddress === address);
        this.traffic.messageCount++;
        this.traffic.bytes += bytes;
        this.traffic.maxDatagramBytes = Math.max(this.traffic.maxDatagramBytes, bytes);
        if (to?.identity.zone !== from.zone) {
            this.traffic.zoneCrossingCount++;
            this.traffic.zoneCrossingBytes += bytes;
        }
        if (to !== undefined && bytes <= MaxDatagramBytes && !this.isLost(message)) {
            this.#inTransit.push(() => to.channel.receive(message, from.peerAddress));
        }
    }
}
