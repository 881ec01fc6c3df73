/** Model of a fleet of hosts and upstreams without a network, which plays requests and crashes against trackers. */
import { SeededRandom } from "../../base/random.js";
import { ActionQueue } from "../../standins/actionQueue.js";
import { exponential, lognormal } from "../../standins/distributions.js";
import {
    DeadlyPartId,
    type ModelRequest,
    PromptSource,
    type QuarantineFigures,
    type QuarantinePlan,
} from "./quarantineTestPlan.js";
import { QuarantineTracker } from "./quarantineTracker.js";
import type { PartEvidence, UpstreamCrash } from "./quarantineTypes.js";

const StableWindowMs = 3_000;
const Service = "service";

/** Time between two messages with all evidence of a host, in milliseconds; longer in large fleets, as all hosts send them. */
const MinResendIntervalMs = 1_000;
const ResendIntervalPerHostMs = 20;

/** Time until a host knows that an upstream has ended, in milliseconds. */
const MinConfirmMs = 50;
const ConfirmSpreadMs = 250;

/** Time until the list of upstreams shows that one has ended, in milliseconds. */
const ListingDelayMs = 3_500;

/** Time for which an answer is about to begin after its first event, in milliseconds. */
const BeginningMs = 150;

/** Time between the stops of two upstreams in a release, and time for which each still serves, in milliseconds. */
const ReleaseStepMs = 700;
const DrainMs = 1_000;

/** Sends of one request, and client attempts of a refused one. */
const MaxSends = 2;
const MaxClientAttempts = 3;

interface Attempt {
    readonly host: ModelHost;
    readonly request: ModelRequest;
    readonly sendCount: number;
    /** Time of the first event. */
    readonly beginsAtMs: number;
}

interface ModelUpstream {
    id: string;
    startedAtMs: number;
    isUp: boolean;
    isLeaving: boolean;
    readonly attempts: Set<Attempt>;
}

interface ModelHost {
    readonly id: string;
    readonly index: number;
    /** Difference between this host's monotonic clock and the model's. */
    readonly clockOffsetMs: number;
    tracker: QuarantineTracker;
    hasQuarantined: boolean;
    startedAtMs: number;
}

/** Plays one plan. */
export class QuarantineTestFleet {
    readonly #plan: QuarantinePlan;
    readonly #random: SeededRandom;
    readonly #prompts: PromptSource;
    readonly #queue = new ActionQueue();
    readonly #hosts: ModelHost[] = [];
    readonly #upstreams: ModelUpstream[] = [];
    #nowMs = 0;
    /** Time at which the list of upstreams no longer holds an incarnation, in milliseconds. */
    readonly #endKnownAtMs = new Map<string, number>();
    #incarnations = 0;
    #fifthCrashAtMs = Number.POSITIVE_INFINITY;
    readonly figures: QuarantineFigures = {
        deadlySends: 0,
        deadlyCrashes: 0,
        lateDeadlySends: 0,
        maxCrashesAtQuarantine: 0,
        informedHosts: 0,
        informedHostsWithoutQuarantine: 0,
        soundRequests: 0,
        soundCompleted: 0,
        refusedByFirstPart: 0,
        refusedBySecondPart: 0,
        falseQuarantines: 0,
        soundNotRepeated: 0,
        crashes: 0,
        messages: 0,
        maxMessageParts: 0,
    };

    constructor(plan: QuarantinePlan) {
        this.#plan = plan;
        this.#random = new SeededRandom(plan.seed);
        this.#prompts = new PromptSource(this.#random);
        for (let index = 0; index < plan.hosts; index++) {
            const id = `host-${index}`;
            const clockOffsetMs = this.#random.integer(100_000);
            const host: ModelHost = {
                id,
                index,
                clockOffsetMs,
                tracker: this.#startTracker(index),
                hasQuarantined: false,
                startedAtMs: Number.NEGATIVE_INFINITY,
            };
            this.#hosts.push(host);
            const resendIntervalMs = Math.max(MinResendIntervalMs, ResendIntervalPerHostMs * plan.hosts);
            this.#every(resendIntervalMs, () => this.#sendEvidence(host), this.#random.next() * resendIntervalMs);
        }
        for (let index = 0; index < 10 + Math.ceil(plan.hosts / 2); index++) {
            const upstream = { id: "", startedAtMs: 0, isUp: true, isLeaving: false, attempts: new Set<Attempt>() };
            this.#startUpstream(upstream, `upstream-${index}`);
            this.#upstreams.push(upstream);
        }
        this.#scheduleFaults();
        this.#scheduleArrival();
    }

    /** @returns Figures of the whole play. */
    run(): QuarantineFigures {
        for (let action = this.#queue.take(); action !== undefined; action = this.#queue.take()) {
            if (action.atMs > this.#plan.durationMs) {
                break;
            }
            this.#nowMs = action.atMs;
            action.run();
        }
        return this.figures;
    }

    #startTracker(index: number): QuarantineTracker {
        return new QuarantineTracker({
            ownHostId: `host-${index}`,
            isTrialHost: () => index === Math.floor(this.#plan.hosts / 2),
            hasUpstreamEnded: ended =>
                this.#nowMs >= (this.#endKnownAtMs.get(incarnationKey(ended)) ?? Number.POSITIVE_INFINITY),
            onDecision: ({ kind, partId, crashes }) => {
                if (kind !== "quarantined") {
                    return;
                }
                if (partId !== DeadlyPartId) {
                    this.figures.falseQuarantines++;
                    return;
                }
                const host = this.#hosts[index]!;
                if (!host.hasQuarantined) {
                    this.figures.maxCrashesAtQuarantine = Math.max(this.figures.maxCrashesAtQuarantine, crashes.length);
                }
                host.hasQuarantined = true;
            },
        });
    }

    #after(delayMs: number, run: () => void): void {
        this.#queue.add(this.#nowMs + delayMs, run);
    }

    #every(intervalMs: number, run: () => void, firstMs: number): void {
        this.#after(firstMs, () => {
            run();
            this.#every(intervalMs, run, intervalMs);
        });
    }

    #repeatRandomly(meanMs: number, run: () => void): void {
        this.#after(exponential(this.#random, meanMs), () => {
            run();
            this.#repeatRandomly(meanMs, run);
        });
    }

    #scheduleFaults(): void {
        const { crashIntervalMs, rackMs, releaseMs, outageMs, outageDurationMs, hostRestartIntervalMs } = this.#plan;
        if (crashIntervalMs !== undefined) {
            this.#repeatRandomly(crashIntervalMs, () => this.#crash(this.#pick(this.#upstreams)));
        }
        if (hostRestartIntervalMs !== undefined) {
            this.#repeatRandomly(hostRestartIntervalMs, () => this.#restartHost(this.#pick(this.#hosts)));
        }
        for (const atMs of rackMs ?? []) {
            const rack = this.#upstreams.slice(0, Math.ceil(this.#upstreams.length / 4));
            rack.forEach(upstream => this.#queue.add(atMs + this.#random.next() * 100, () => this.#crash(upstream)));
        }
        for (const atMs of releaseMs ?? []) {
            this.#upstreams.forEach((upstream, index) => {
                const stoppedAtMs = atMs + index * ReleaseStepMs;
                this.#queue.add(stoppedAtMs, () => upstream.isLeaving = true);
                this.#queue.add(stoppedAtMs + DrainMs, () => this.#crash(upstream));
            });
        }
        for (const atMs of outageMs ?? []) {
            const stepMs = (outageDurationMs ?? 4_000) / this.#upstreams.length;
            this.#upstreams.forEach((upstream, index) =>
                this.#queue.add(atMs + index * stepMs, () => this.#crash(upstream, 6_000))
            );
        }
    }

    #scheduleArrival(): void {
        this.#after(exponential(this.#random, 1_000 / this.#plan.requestsPerS), () => {
            const request = this.#prompts.next(this.#plan.deadly, this.#nowMs);
            this.figures.soundRequests += request.isDeadly ? 0 : 1;
            this.#arrive(request, 1);
            this.#scheduleArrival();
        });
    }

    #arrive(request: ModelRequest, clientAttempt: number): void {
        // The square makes some hosts busier than others.
        const host = this.#hosts[Math.floor(this.#random.next() ** 2 * this.#hosts.length)]!;
        const nowMs = this.#timeOf(host);
        host.tracker.recordRequest(Service, request.sharedPartIds, nowMs);
        const verdict = host.tracker.findQuarantined(request.sharedPartIds, nowMs);
        if (verdict === undefined) {
            this.#send(host, request, 1);
            return;
        }
        if (!request.isDeadly && clientAttempt === 1) {
            this.figures.refusedByFirstPart += verdict.partId.startsWith("first") ? 1 : 0;
            this.figures.refusedBySecondPart += verdict.partId.startsWith("second") ? 1 : 0;
        }
        if (clientAttempt < MaxClientAttempts) {
            this.#after(Math.min(2_000, verdict.retryAfterMs), () => this.#arrive(request, clientAttempt + 1));
        }
    }

    #send(host: ModelHost, request: ModelRequest, sendCount: number): void {
        const available = this.#upstreams.filter(({ isUp, isLeaving }) => isUp && !isLeaving);
        if (available.length === 0) {
            return;
        }
        const upstream = this.#pick(available);
        if (request.isDeadly) {
            this.figures.deadlySends++;
            // A host that has just started is out of touch, and the bound does not hold for it.
            const isInTouch = this.#nowMs > host.startedAtMs + StableWindowMs;
            this.figures.lateDeadlySends += isInTouch && this.#nowMs > this.#fifthCrashAtMs + StableWindowMs ? 1 : 0;
        }
        const beginsInMs = Math.min(3_000, lognormal(this.#random, 350, 0.6));
        const attempt = { host, request, sendCount, beginsAtMs: this.#nowMs + beginsInMs };
        upstream.attempts.add(attempt);
        if (request.isDeadly) {
            this.#after(beginsInMs, () => {
                if (upstream.attempts.has(attempt)) {
                    this.#recordDeadlyCrash();
                    this.#crash(upstream);
                }
            });
        }
        else {
            this.#after(beginsInMs + Math.min(20_000, lognormal(this.#random, 1_500, 0.7)), () => {
                if (upstream.attempts.delete(attempt)) {
                    this.#complete(attempt);
                }
            });
        }
    }

    #complete({ host, request }: Attempt): void {
        this.figures.soundCompleted++;
        const cleared = host.tracker.recordCompletion(request.sharedPartIds, this.#timeOf(host));
        if (cleared.length > 0) {
            this.#broadcast(host, cleared.map(partId => ({ partId, crashes: [], clearedAgeMs: 0 })));
        }
    }

    #recordDeadlyCrash(): void {
        this.figures.deadlyCrashes++;
        if (this.figures.deadlyCrashes === 5) {
            this.#fifthCrashAtMs = this.#nowMs;
            this.#after(StableWindowMs, () => this.#inspectHosts());
        }
    }

    #inspectHosts(): void {
        for (const host of this.#hosts) {
            const part = host.tracker.explain(this.#timeOf(host)).find(({ partId }) => partId === DeadlyPartId);
            if ((part?.crashes.length ?? 0) >= 5 && part?.exemption !== "oneHost") {
                this.figures.informedHosts++;
                this.figures.informedHostsWithoutQuarantine += part?.state === "quarantined" ? 0 : 1;
            }
        }
    }

    #crash(upstream: ModelUpstream, downMs = 3_000 + this.#random.next() * 3_000): void {
        if (!upstream.isUp) {
            return;
        }
        this.figures.crashes++;
        upstream.isUp = false;
        const { id, startedAtMs } = upstream;
        this.#endKnownAtMs.set(incarnationKey({ upstreamId: id, startedAtMs }), this.#nowMs + ListingDelayMs);
        const attempts = [...upstream.attempts];
        upstream.attempts.clear();
        for (const attempt of attempts) {
            const isBeginning = this.#nowMs <= attempt.beginsAtMs + BeginningMs;
            this.#after(MinConfirmMs + this.#random.next() * ConfirmSpreadMs, () => {
                this.#handleLoss(attempt, { upstreamId: id, startedAtMs }, isBeginning);
            });
        }
        this.#after(downMs, () => {
            // Some upstreams start again under the id that they had.
            this.#startUpstream(upstream, this.#random.next() < 0.3 ? id : `upstream-new-${this.#incarnations}`);
        });
    }

    #handleLoss(
        attempt: Attempt,
        ended: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">,
        isBeginning: boolean,
    ): void {
        const { host, request, sendCount } = attempt;
        const nowMs = this.#timeOf(host);
        const { sharedPartIds } = request;
        if (isBeginning) {
            host.tracker.recordCrash({ ...ended, crashedAtMs: nowMs }, sharedPartIds, host.id, nowMs);
            this.#broadcast(
                host,
                host.tracker.ownEvidence(nowMs).filter(({ partId }) => sharedPartIds.includes(partId)),
            );
        }
        const mayRepeat = !isBeginning || host.tracker.mayRepeat(sharedPartIds, nowMs, ended);
        if (mayRepeat && sendCount < MaxSends && host.tracker.findQuarantined(sharedPartIds, nowMs) === undefined) {
            this.#send(host, request, sendCount + 1);
        }
        else if (!mayRepeat && !request.isDeadly) {
            this.figures.soundNotRepeated++;
        }
    }

    #startUpstream(upstream: ModelUpstream, id: string): void {
        upstream.id = id;
        upstream.startedAtMs = 1_700_000_000_000 + Math.floor(this.#nowMs);
        upstream.isUp = true;
        upstream.isLeaving = false;
        this.#incarnations++;
    }

    #restartHost(host: ModelHost): void {
        host.tracker = this.#startTracker(host.index);
        host.startedAtMs = this.#nowMs;
        for (const { attempts } of this.#upstreams) {
            attempts.forEach(attempt => attempt.host === host && attempts.delete(attempt));
        }
    }

    #sendEvidence(host: ModelHost): void {
        const evidence = host.tracker.ownEvidence(this.#timeOf(host));
        if (evidence.length > 0) {
            this.#broadcast(host, evidence);
        }
    }

    #broadcast(sender: ModelHost, evidence: readonly PartEvidence[]): void {
        this.figures.maxMessageParts = Math.max(this.figures.maxMessageParts, evidence.length);
        for (const host of this.#hosts) {
            if (host !== sender && this.#random.next() >= (this.#plan.messageLoss ?? 0)) {
                this.figures.messages++;
                this.#after(20 + exponential(this.#random, 120), () => {
                    const nowMs = this.#timeOf(host);
                    evidence.forEach(part => host.tracker.recordEvidence(part, sender.id, nowMs));
                });
            }
        }
    }

    #timeOf({ clockOffsetMs }: ModelHost): number {
        return this.#nowMs + clockOffsetMs;
    }

    #pick<Item>(items: readonly Item[]): Item {
        return items[this.#random.integer(items.length)]!;
    }
}

function incarnationKey({ upstreamId, startedAtMs }: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): string {
    return `${upstreamId} ${startedAtMs}`;
}
