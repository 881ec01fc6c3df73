/** Model of a fleet whose hosts are stopped in turn, without a network and in virtual time. */
import { ManualClock } from "../base/clock.js";
import { SeededRandom } from "../base/random.js";
import { RequestDurations } from "../edge/stop/requestDurations.js";
import { StopAdmission } from "../edge/stop/stopAdmission.js";
import { ActionQueue } from "./actionQueue.js";
import { exponential } from "./distributions.js";
import { type ModelRequest, NoticeMs, RequestSource, type StopFigures, type StopPlan } from "./stopModelPlan.js";

/** Time before the first stop, in which hosts see response times, in milliseconds. */
const WarmUpMs = 20_000;

/** Time between the stops of two hosts, in milliseconds. */
const MinGapMs = 1_000;
const MaxGapMs = 2_000;

/** Time after the signal at which the balancer no longer lists a host, in milliseconds. */
const MinDelistMs = 1_000;
const MaxDelistMs = 2_000;

/** Time at the end of the grace period in which a host refuses all requests, and in which none is open, in milliseconds. */
const RefuseReserveMs = 700;
const ExitReserveMs = 300;

/** Time from the end of a grace period to that at which the balancer lists the host again, in milliseconds. */
const RestartMs = 2_000;

/** Time for which a request that crosses the close of its connection is still read, in milliseconds. */
const CrossingMs = 5;

/** Time to a try on a new connection, for the first retry and for later ones, in milliseconds. */
const ReconnectMs = 5;
const BackoffMs = 200;

/** Tries of one request. */
const MaxTries = 4;

/** Mean time between an answer and the caller's next request, for the half of the requests that do not follow at once. */
const ThinkMs = 500;

class ModelHost {
    readonly durations: RequestDurations;
    readonly admission: StopAdmission;
    readonly open = new Set<OpenRequest>();
    signalAtMs = Number.POSITIVE_INFINITY;
    isListed = true;

    constructor(clock: ManualClock, { rule }: StopPlan) {
        this.durations = new RequestDurations(clock, rule.margins);
        this.admission = new StopAdmission(clock, this.durations);
    }
}

/** A connection of a caller that is kept between requests. */
interface Connection {
    readonly host: ModelHost;
    /** Whether the last response announced that the connection closes. */
    readonly isClosing: boolean;
    readonly idleSinceMs: number;
}

interface OpenRequest {
    readonly request: ModelRequest;
    readonly arrivedAtMs: number;
    onEnd(): void;
}

/** One request of a caller with its tries. */
interface CallerRequest {
    readonly request: ModelRequest;
    readonly sentAtMs: number;
    readonly triedHosts: Set<ModelHost>;
    /** Whether the request is counted; those before the first stop are not. */
    readonly isCounted: boolean;
    refusalCount: number;
}

/** Plays one plan: callers send one request after the other on connections that they keep, while hosts are stopped and replaced. */
export class StopModel {
    readonly #plan: StopPlan;
    readonly #random: SeededRandom;
    readonly #clock = new ManualClock();
    readonly #queue = new ActionQueue();
    readonly #requests: RequestSource;
    readonly #hosts: ModelHost[];
    #endsAtMs = Number.POSITIVE_INFINITY;
    readonly figures: StopFigures = {
        requestCount: 0,
        begunAfterSignalCount: 0,
        cutBeforeSignalCount: 0,
        cutInNoticeCount: 0,
        cutAfterNoticeCount: 0,
        refusedOnceCount: 0,
        refusedAgainCount: 0,
        failedCount: 0,
        refusalDelaysMs: [],
        cutAfterMs: [],
    };

    constructor(plan: StopPlan) {
        this.#plan = plan;
        this.#random = new SeededRandom(plan.seed);
        this.#requests = new RequestSource(new SeededRandom(plan.seed + 1), plan.upstreams);
        this.#hosts = Array.from({ length: plan.hostCount }, () => new ModelHost(this.#clock, plan));
    }

    /** @returns What the play has shown. */
    run(): StopFigures {
        for (const host of this.#hosts) {
            for (let caller = 0; caller < this.#plan.callersPerHost; caller++) {
                const connection = { host, isClosing: false, idleSinceMs: 0 };
                this.#after(this.#between(0, 2_000), () => this.#sendNext(connection));
            }
        }
        this.#planStops();
        for (let action = this.#queue.take(); action !== undefined; action = this.#queue.take()) {
            if (action.atMs > this.#endsAtMs) {
                break;
            }
            this.#clock.advance(action.atMs - this.#nowMs);
            action.run();
        }
        return this.figures;
    }

    get #nowMs(): number {
        return this.#clock.monotonicMs();
    }

    #after(delayMs: number, run: () => void): void {
        this.#queue.add(this.#nowMs + delayMs, run);
    }

    #between(min: number, max: number): number {
        return min + (max - min) * this.#random.next();
    }

    #planStops(): void {
        this.#after(WarmUpMs, () => this.#requests.factor = this.#plan.upstreams.laterFactor);
        let atMs = WarmUpMs;
        for (let index = 0; index < this.#plan.stopCount; index++) {
            if (index > 0 && index % this.#plan.batchCount === 0) {
                atMs += this.#between(MinGapMs, MaxGapMs);
            }
            this.#after(atMs, () => this.#stop(index));
        }
        this.#endsAtMs = atMs + this.#plan.graceMs + RestartMs;
    }

    #stop(index: number): void {
        const host = this.#hosts[index]!;
        const { graceMs } = this.#plan;
        host.signalAtMs = this.#nowMs;
        host.admission.limit(this.#nowMs + graceMs - ExitReserveMs);
        this.#after(this.#between(MinDelistMs, MaxDelistMs), () => host.isListed = false);
        this.#after(graceMs - ExitReserveMs, () => this.#cutOpen(host));
        this.#after(graceMs + RestartMs, () => this.#hosts[index] = new ModelHost(this.#clock, this.#plan));
    }

    #cutOpen(host: ModelHost): void {
        for (const { request, arrivedAtMs, onEnd } of [...host.open]) {
            const elapsedMs = this.#nowMs - arrivedAtMs;
            this.figures.cutAfterMs.push(elapsedMs);
            const sinceSignalMs = arrivedAtMs - host.signalAtMs;
            if (sinceSignalMs < 0) {
                this.figures.cutBeforeSignalCount++;
            }
            else if (sinceSignalMs < NoticeMs) {
                this.figures.cutInNoticeCount++;
            }
            else {
                this.figures.cutAfterNoticeCount++;
            }
            record(host.durations, request, elapsedMs);
            onEnd();
        }
        host.open.clear();
    }

    /** Sends a caller's next request, on its connection if that is still open. */
    #sendNext(connection: Connection): void {
        const isCounted = this.#nowMs >= WarmUpMs;
        this.figures.requestCount += isCounted ? 1 : 0;
        const request: CallerRequest = {
            request: this.#requests.next(),
            sentAtMs: this.#nowMs,
            triedHosts: new Set(),
            isCounted,
            refusalCount: 0,
        };
        this.#try(request, this.#isOpen(connection) ? connection.host : this.#chooseHost(request));
    }

    #isOpen({ host, isClosing, idleSinceMs }: Connection): boolean {
        const sinceSignalMs = this.#nowMs - host.signalAtMs;
        const isIdleKept = sinceSignalMs < NoticeMs || this.#nowMs - idleSinceMs < CrossingMs;
        return !isClosing && isIdleKept && sinceSignalMs < this.#plan.graceMs - ExitReserveMs;
    }

    /** @returns A random host that the balancer lists and that has not refused the request, if there is one. */
    #chooseHost({ triedHosts }: CallerRequest): ModelHost | undefined {
        const isUsable = (host: ModelHost): boolean => host.isListed && !triedHosts.has(host);
        for (let draw = 0; draw < 8; draw++) {
            const host = this.#hosts[this.#random.integer(this.#hosts.length)]!;
            if (isUsable(host)) {
                return host;
            }
        }
        const usable = this.#hosts.filter(isUsable);
        return usable[this.#random.integer(usable.length)];
    }

    #try(caller: CallerRequest, host: ModelHost | undefined): void {
        if (host === undefined || !this.#canBegin(caller.request, host)) {
            this.#onRefused(caller, host);
            return;
        }
        if (this.#nowMs >= host.signalAtMs && caller.isCounted) {
            this.figures.begunAfterSignalCount++;
        }
        this.#countRefusals(caller, true);
        this.#begin(caller.request, host);
    }

    #canBegin(request: ModelRequest, host: ModelHost): boolean {
        const sinceSignalMs = this.#nowMs - host.signalAtMs;
        if (sinceSignalMs < 0) {
            return true;
        }
        return sinceSignalMs < this.#plan.graceMs - RefuseReserveMs &&
            this.#plan.rule.canBegin(request, host.admission, sinceSignalMs);
    }

    #onRefused(caller: CallerRequest, host: ModelHost | undefined): void {
        caller.refusalCount++;
        if (host === undefined) {
            caller.triedHosts.clear();
        }
        else {
            caller.triedHosts.add(host);
        }
        if (caller.refusalCount < MaxTries) {
            this.#after(
                caller.refusalCount === 1 ? ReconnectMs : BackoffMs,
                () => this.#try(caller, this.#chooseHost(caller)),
            );
            return;
        }
        this.#countRefusals(caller, false);
        this.#after(ThinkMs, () => this.#sendNext({ host: this.#hosts[0]!, isClosing: true, idleSinceMs: 0 }));
    }

    #countRefusals({ refusalCount, sentAtMs, isCounted }: CallerRequest, isAccepted: boolean): void {
        if (!isCounted || refusalCount === 0) {
            return;
        }
        this.figures[refusalCount === 1 ? "refusedOnceCount" : "refusedAgainCount"]++;
        if (isAccepted) {
            this.figures.refusalDelaysMs.push(this.#nowMs - sentAtMs);
        }
        else {
            this.figures.failedCount++;
        }
    }

    #begin(request: ModelRequest, host: ModelHost): void {
        const arrivedAtMs = this.#nowMs;
        const open: OpenRequest = {
            request,
            arrivedAtMs,
            onEnd: () => {
                const isClosing = arrivedAtMs >= host.signalAtMs;
                const connection: Connection = { host, isClosing, idleSinceMs: this.#nowMs };
                const delayMs = this.#random.next() < 0.5 ? 1 : exponential(this.#random, ThinkMs);
                this.#after(delayMs, () => this.#sendNext(connection));
            },
        };
        host.open.add(open);
        this.#after(request.durationMs, () => {
            if (host.open.delete(open)) {
                record(host.durations, request, request.durationMs);
                open.onEnd();
            }
        });
    }
}

/** Records a request that has ended after the given time, complete or not. */
function record(durations: RequestDurations, request: ModelRequest, elapsedMs: number): void {
    const { kind, maxEvents, firstMs, durationMs } = request;
    if (maxEvents === undefined) {
        if (elapsedMs === durationMs) {
            durations.recordResponse(kind, elapsedMs);
        }
        return;
    }
    const eventShare = (elapsedMs - firstMs) / Math.max(1, durationMs - firstMs);
    const eventCount = elapsedMs < firstMs ? 0 : 1 + Math.floor((maxEvents - 1) * eventShare);
    durations.recordStream(kind, { firstEventMs: firstMs, eventCount, elapsedMs });
}
