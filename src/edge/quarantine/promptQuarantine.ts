/** Quarantine of prompt parts that crash upstreams, as requests use it: decision, detection of crashes and exchange with other hosts. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { rendezvousOrder } from "../../base/hashing.js";
import { log } from "../../base/log.js";
import { startResponseTimeout } from "../../base/responseTimeout.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import type { PromptPart, RequestMetadata } from "../edgeTypes.js";
import { EdgeCounterNames } from "../metrics.js";
import type { ReportingHost } from "../peers/loadGatherers.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import type { Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { UpstreamProber } from "../upstream/upstreamProber.js";
import { CrashDetector } from "./crashDetector.js";
import { EvidenceExchange } from "./evidenceExchange.js";
import { EvidenceRecordSync } from "./evidenceRecordSync.js";
import { QuarantineTracker } from "./quarantineTracker.js";
import type { QuarantineDecision, QuarantineDecisionKind, QuarantineVerdict } from "./quarantineTypes.js";

/**
 * Maximum number of events of a response for its request to count as a possible cause of a crash: the part that crashes an
 * upstream does so when the response begins.
 */
const MaxEventsOfCause = 3;

/** Maximum time that a request waits for the probe of its upstream before it is sent again, in milliseconds. */
const MaxRepeatDelayMs = 100;

/** Log message of each decision. */
const DecisionMessages: Record<QuarantineDecisionKind, string> = {
    quarantined: "prompt part quarantined",
    renewed: "quarantine of prompt part renewed",
    trial: "quarantined prompt part on trial",
    cleared: "prompt part cleared",
    withdrawn: "quarantine of prompt part withdrawn",
    lapsed: "quarantine of prompt part lapsed",
};

/** A response that broke off. */
export interface BrokenResponse {
    readonly upstream: Upstream;
    readonly metadata: RequestMetadata;
    /** Number of events that the upstream had sent. */
    readonly eventCount: number;
}

/** A response that is complete and successful. */
export interface CompleteResponse {
    readonly metadata: RequestMetadata;
    /** Whether the end of the connection marks the end of the response. */
    readonly isCloseDelimited: boolean;
    /** Number of events that the upstream has sent. */
    readonly eventCount: number;
}

/** Collaborators of {@link PromptQuarantine}, and the identity of this host. */
export interface PromptQuarantineDependencies {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly channel: PeerChannel;
    readonly directory: UpstreamDirectory;
    readonly store: PlatformStore;
    /** Key of the stored record of evidence. */
    readonly recordKey: string;
    readonly ownHost: ReportingHost;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
}

/** Tells requests whether they may be sent, and learns from how they end. */
export class PromptQuarantine {
    readonly #dependencies: PromptQuarantineDependencies;
    readonly #tracker: QuarantineTracker;
    readonly #detector: CrashDetector;
    readonly #exchange: EvidenceExchange;
    readonly #recordSync: EvidenceRecordSync;
    /** Requests that were let through as a trial, which are checked again before they are sent. */
    readonly #trials = new WeakSet<RequestMetadata>();
    #isTrialGranted = false;

    constructor(dependencies: PromptQuarantineDependencies) {
        this.#dependencies = dependencies;
        const { clock, counters, directory, ownHost } = dependencies;
        this.#tracker = new QuarantineTracker({
            ownHostId: ownHost.hostId,
            isTrialHost: partId => this.#isTrialHost(partId),
            hasUpstreamEnded: ({ upstreamId, startedAtMs }) =>
                directory.hasEnded(upstreamId, startedAtMs) || directory.isSucceeded(upstreamId, startedAtMs),
            onDecision: decision => this.#onDecision(decision),
        });
        this.#exchange = new EvidenceExchange({ ...dependencies, tracker: this.#tracker });
        this.#recordSync = new EvidenceRecordSync({
            clock,
            store: dependencies.store,
            key: dependencies.recordKey,
            tracker: this.#tracker,
            isResponsible: partId => this.#isTrialHost(partId),
        });
        this.#detector = new CrashDetector({
            clock,
            directory,
            prober: new UpstreamProber(clock, () => counters.add(EdgeCounterNames.crashProbes)),
            onCrash: (crash, sharedPartIds) => {
                this.#tracker.recordCrash(crash, sharedPartIds, ownHost.hostId, clock.monotonicMs());
                this.#exchange.recordChange();
            },
        });
    }

    /** Starts to read the evidence that earlier processes have recorded. */
    start(): void {
        this.#recordSync.start();
    }

    /** @returns Whether requests may be judged, as the recorded evidence is known. */
    get isInformed(): boolean {
        return this.#recordSync.isInformed;
    }

    /** @returns Whether the request must not be sent yet: parts of its prompt cannot be judged. */
    isUndecided({ promptParts }: RequestMetadata): boolean {
        return !this.isInformed && sharedPartIds(promptParts).length > 0;
    }

    /** Must be called when the store has come back from a copy. */
    onStoreRestored(): void {
        this.#recordSync.onStoreRestored();
    }

    /** Records the arrival of a request. */
    recordRequest(service: string, { promptParts }: RequestMetadata): void {
        this.#tracker.recordRequest(service, sharedPartIds(promptParts), this.#nowMs);
    }

    /** @returns The verdict about a quarantined part; `undefined` when the request may be sent. Counts the refusal. */
    findQuarantined(metadata: RequestMetadata): QuarantineVerdict | undefined {
        if (this.#trials.has(metadata)) {
            return undefined;
        }
        this.#isTrialGranted = false;
        const verdict = this.#tracker.findQuarantined(sharedPartIds(metadata.promptParts), this.#nowMs);
        if (verdict !== undefined) {
            this.#dependencies.counters.add(EdgeCounterNames.quarantineRefusals);
        }
        else if (this.#isTrialGranted) {
            this.#trials.add(metadata);
        }
        return verdict;
    }

    /** @returns Whether no part of the request is suspected or quarantined, beyond a single crash. */
    mayRepeat({ promptParts }: RequestMetadata): boolean {
        return this.#tracker.mayRepeat(sharedPartIds(promptParts), this.#nowMs);
    }

    /** Records a successful response. One that ends with its connection and has few events may be that of a crash. */
    recordCompletion({ metadata, isCloseDelimited, eventCount }: CompleteResponse): void {
        if (!isCloseDelimited || eventCount > MaxEventsOfCause) {
            const clearedPartIds = this.#tracker.recordCompletion(sharedPartIds(metadata.promptParts), this.#nowMs);
            this.#exchange.recordClearances(clearedPartIds);
        }
    }

    /**
     * Examines whether a response broke off because its upstream has crashed.
     * @returns Whether the request may be sent again, once that is known or {@link MaxRepeatDelayMs} have passed; `undefined` when
     * the request is no possible cause of a crash.
     */
    examineBreak({ upstream, metadata, eventCount }: BrokenResponse): Promise<boolean> | undefined {
        const partIds = sharedPartIds(metadata.promptParts);
        if (partIds.length === 0 || eventCount > MaxEventsOfCause) {
            return undefined;
        }
        return waitAtMost(this.#detector.examine(upstream, partIds), MaxRepeatDelayMs).then(() => {
            const { id: upstreamId, startedAtMs } = upstream.entry;
            const mayRepeat = this.#tracker.mayRepeat(partIds, this.#nowMs, { upstreamId, startedAtMs });
            if (!mayRepeat) {
                this.#dependencies.counters.add(EdgeCounterNames.repeatsWithheld);
            }
            return mayRepeat;
        });
    }

    /** Sends evidence that is due and looks for confirmations of crashes; called every few tens of milliseconds. */
    tick(): void {
        this.#detector.tick();
        this.#exchange.tick();
        this.#recordSync.tick();
    }

    /** @returns What is known about suspected and quarantined parts, for the state dump. */
    dumpState(): unknown {
        return this.#tracker.explain(this.#nowMs);
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    #onDecision({ kind, partId, level, crashes, hostIds, remainingMs }: QuarantineDecision): void {
        if (kind === "trial") {
            this.#isTrialGranted = true;
        }
        if (kind === "quarantined" || kind === "renewed") {
            this.#dependencies.counters.add(EdgeCounterNames.partsQuarantined);
        }
        log.info(DecisionMessages[kind], {
            partId,
            quarantineLevel: level,
            remainingMs: Math.round(remainingMs),
            crashes: crashes.map(({ upstreamId, ageMs }) => `${upstreamId}@-${Math.round(ageMs)}ms`).join(","),
            hosts: hostIds.join(","),
        });
    }

    /** One host of the fleet, the same for all that know the same hosts, sends the trial requests of a part. */
    #isTrialHost(partId: string): boolean {
        const { ownHost } = this.#dependencies;
        const others = this.#dependencies.otherHosts();
        return others !== undefined &&
            rendezvousOrder(partId, [ownHost, ...others].map(({ hostId }) => hostId))[0] === ownHost.hostId;
    }
}

/** Waits for a promise, at most for a time in milliseconds. */
function waitAtMost(promise: Promise<void>, maxMs: number): Promise<void> {
    return new Promise((resolve, reject) => {
        const timeout = startResponseTimeout(resolve, maxMs);
        promise.then(resolve, reject).finally(() => timeout.cancel());
    });
}

/** @returns Ids of the parts that requests may have in common, each once: all but the last one. */
function sharedPartIds(promptParts: readonly PromptPart[]): readonly string[] {
    return [...new Set(promptParts.slice(0, -1).map(({ id }) => id))];
}
