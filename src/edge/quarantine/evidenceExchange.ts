/** Exchange of evidence of crashes between hosts. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { hash32 } from "../../base/hashing.js";
import { log } from "../../base/log.js";
import { EdgeCounterNames } from "../metrics.js";
import { BroadcastEnvelopeBytes } from "../peers/broadcastMessages.js";
import { FleetBroadcast } from "../peers/fleetBroadcast.js";
import type { ReportingHost } from "../peers/loadGatherers.js";
import { MaxDatagramBytes, type PeerChannel } from "../peers/peerChannel.js";
import { divideEvidence, type EvidenceMessage, readEvidence } from "./evidenceMessages.js";
import { HeardEvidence } from "./heardEvidence.js";
import type { QuarantineTracker } from "./quarantineTracker.js";
import type { PartEvidence } from "./quarantineTypes.js";

/** Time from a change to its first repetition, in case a datagram was lost, in milliseconds. */
const FirstRepeatMs = 1_000;

/** Interval of further repetitions, in milliseconds: a host that starts or was cut off knows all evidence within three seconds. */
const RepeatIntervalMs = 2_500;

/** Age from which a repetition by another host no longer takes the place of one by this host, in milliseconds. */
const MaxHeardAgeMs = RepeatIntervalMs + 200;

/** Minimum time between two clearances of a part that a host sends, apart from repetitions, in milliseconds. */
const MinClearanceIntervalMs = 500;

/** Maximum number of parts whose clearances are remembered. */
const MaxClearances = 1_000;

/** Number of values of {@link hash32}. */
const HashRange = 2 ** 32;

/** The methods of a {@link QuarantineTracker} that the exchange uses. */
export type EvidenceTracker = Pick<QuarantineTracker, "ownEvidence" | "recordEvidence">;

/** Collaborators of {@link EvidenceExchange}, and the identity of this host. */
export interface EvidenceExchangeDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly tracker: EvidenceTracker;
    readonly ownHost: ReportingHost;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
}

/** Sends this host's evidence and clearances, and records and passes on those of other hosts. */
export class EvidenceExchange {
    readonly #dependencies: EvidenceExchangeDependencies;
    /** Position of this host among the others, 0 to 1, by which repetitions are spread over time. */
    readonly #phase: number;
    readonly #heard = new HeardEvidence();
    /** Crashes of each part of the own evidence as last sent. */
    readonly #sentCrashes = new Map<string, string>();
    /** Monotonic times of clearances that are not sent yet, by part, and times at which the last ones were sent, in milliseconds. */
    readonly #pendingClearances = new Map<string, number>();
    readonly #clearancesSentAtMs = new Map<string, number>();
    readonly #broadcast: FleetBroadcast<EvidenceMessage>;
    #hasChanged = false;
    #nextRepeatMs = Number.POSITIVE_INFINITY;
    #repeatNumber = 0;

    constructor(dependencies: EvidenceExchangeDependencies) {
        this.#dependencies = dependencies;
        this.#phase = hash32(dependencies.ownHost.hostId) / HashRange;
        this.#broadcast = new FleetBroadcast<EvidenceMessage>({
            ...dependencies,
            kind: "q",
            otherHosts: () => dependencies.otherHosts(),
            onMessage: message => this.#record(message),
            onSent: count => dependencies.counters.add(EdgeCounterNames.evidenceSent, count),
        });
    }

    /** Sends the own evidence with the next {@link tick}, as it has changed. */
    recordChange(): void {
        this.#hasChanged = true;
    }

    /** Sends clearances of parts with the next {@link tick}, later if one of the same part was sent just before. */
    recordClearances(partIds: readonly string[]): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        partIds.forEach(partId => setBounded(this.#pendingClearances, partId, nowMs, MaxClearances));
    }

    /** Sends what is due; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const changed = this.#hasChanged ? this.#takeChangedEvidence(nowMs) : [];
        this.#hasChanged = false;
        const cleared = this.#takeClearances(nowMs);
        if (changed.length > 0 || cleared.length > 0) {
            this.#send(mergeClearances(changed, cleared), undefined);
        }
        if (changed.length > 0) {
            this.#nextRepeatMs = Math.min(this.#nextRepeatMs, nowMs + FirstRepeatMs * (1 + this.#phase) / 2);
        }
        if (nowMs >= this.#nextRepeatMs) {
            this.#repeat(nowMs);
        }
    }

    /** Repeats the own evidence, without what enough other hosts have repeated. */
    #repeat(nowMs: number): void {
        const evidence = this.#dependencies.tracker.ownEvidence(nowMs);
        this.#nextRepeatMs = evidence.length === 0 ? Number.POSITIVE_INFINITY : nowMs + RepeatIntervalMs;
        const repeated = evidence.filter(part =>
            part.crashes.length > 0 ?
                !this.#heard.isStatedByOthers(part, nowMs - MaxHeardAgeMs) :
                !this.#heard.isClearedByOthers(part.partId, nowMs - MaxHeardAgeMs)
        );
        if (repeated.length > 0) {
            this.#send(repeated, ++this.#repeatNumber);
        }
    }

    /** @returns Own evidence of the parts with crashes that were not sent yet. */
    #takeChangedEvidence(nowMs: number): PartEvidence[] {
        const evidence = this.#dependencies.tracker.ownEvidence(nowMs);
        const changed: PartEvidence[] = [];
        const previous = new Map(this.#sentCrashes);
        this.#sentCrashes.clear();
        for (const part of evidence) {
            const crashes = part.crashes.map(({ upstreamId, startedAtMs }) => `${startedAtMs}/${upstreamId}`).join(",");
            this.#sentCrashes.set(part.partId, crashes);
            if (crashes !== "" && crashes !== previous.get(part.partId)) {
                changed.push(part);
            }
        }
        return changed;
    }

    #takeClearances(nowMs: number): PartEvidence[] {
        const due = [...this.#pendingClearances].filter(([partId]) =>
            nowMs - (this.#clearancesSentAtMs.get(partId) ?? Number.NEGATIVE_INFINITY) >= MinClearanceIntervalMs
        );
        return due.map(([partId, clearedAtMs]) => {
            this.#pendingClearances.delete(partId);
            setBounded(this.#clearancesSentAtMs, partId, nowMs, MaxClearances);
            return { partId, crashes: [], clearedAgeMs: nowMs - clearedAtMs };
        });
    }

    #send(evidence: readonly PartEvidence[], repeatNumber: number | undefined): void {
        const { payloads, tooLargePartIds } = divideEvidence(evidence, MaxDatagramBytes - BroadcastEnvelopeBytes);
        if (tooLargePartIds.length > 0) {
            log.warn("evidence of a prompt part is too large to be sent", { parts: tooLargePartIds.join(",") });
        }
        payloads.forEach(payload => this.#broadcast.send(payload, repeatNumber));
    }

    #record(message: EvidenceMessage): void {
        const { clock, counters, tracker } = this.#dependencies;
        const nowMs = clock.monotonicMs();
        counters.add(EdgeCounterNames.evidenceReceived);
        for (const part of readEvidence(message)) {
            this.#heard.record(part, message.h, nowMs);
            tracker.recordEvidence(part, message.h, nowMs);
        }
        // This host may repeat it later, when it has decided on it or has completed a response with the part.
        const delayMs = FirstRepeatMs + (RepeatIntervalMs - FirstRepeatMs) * this.#phase;
        this.#nextRepeatMs = Math.min(this.#nextRepeatMs, nowMs + delayMs);
    }
}

/** @returns Evidence with the clearances of the same parts, and those of other parts. */
function mergeClearances(evidence: readonly PartEvidence[], cleared: readonly PartEvidence[]): PartEvidence[] {
    const byPart = new Map(evidence.map(part => [part.partId, part]));
    for (const part of cleared) {
        byPart.set(part.partId, { ...part, crashes: byPart.get(part.partId)?.crashes ?? [] });
    }
    return [...byPart.values()];
}

/** Sets an entry and drops the oldest ones beyond a number. */
function setBounded<Value>(map: Map<string, Value>, key: string, value: Value, maxSize: number): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > maxSize) {
        const [oldest] = map.keys();
        map.delete(oldest!);
    }
}
