/** Discrete model of hosts that place long and short prompts on engines with few slots, each host by its own, slightly old figures. */
import { ManualClock } from "../base/clock.js";
import { SeededRandom } from "../base/random.js";
import { type OpenDispatch, Upstream } from "../edge/upstream/upstream.js";
import { type ChoiceInput, chooseUpstream } from "../edge/upstream/upstreamChoice.js";

/** Sizes of a deployment, and the load that is played. */
export interface PlacementPlan {
    readonly seed: number;
    readonly hostCount: number;
    readonly zoneCount: number;
    readonly engineCount: number;
    readonly slots: number;
    readonly stepMs: number;
    readonly prefillTokensPerMs: number;
    /** Factor by which every third engine is slower. */
    readonly slowFactor: number;
    readonly long: ModelTraffic;
    readonly short: ModelTraffic;
    readonly durationMs: number;
    /** Time from which hosts get no reports of others, in milliseconds. */
    readonly reportsEndMs?: number;
    /** Time at which an engine dies, in milliseconds. */
    readonly deathMs?: number;
}

/** Requests of one kind. */
export interface ModelTraffic {
    readonly requestsPerS: number;
    readonly promptTokens: number;
    readonly sharedTokens: number;
    readonly outputTokens: number;
    readonly objectiveMs: number;
    readonly pauseObjectiveMs: number;
    readonly deadlineMs: number;
}

/** What callers and engines got, without the first second. */
export interface PlacementResult {
    /** Fractions of the requests that had the first event in time, no long pause, and a complete response. */
    readonly longInTime: number;
    readonly shortInTime: number;
    /** Most requests of an engine, relative to the mean. */
    readonly busiestToMean: number;
    readonly otherZoneFraction: number;
    readonly cachedFraction: number;
}

interface ModelRequest {
    readonly traffic: ModelTraffic;
    readonly key: number;
    readonly upstream: Upstream;
    readonly dispatch: OpenDispatch;
    readonly arrivedMs: number;
    unreadTokens: number;
    outputTokens: number;
    lastEventMs: number | undefined;
    isLate: boolean;
}

/** Interval between load reports, in milliseconds; those of the hosts are spread over it. */
const ReportIntervalMs = 150;
const ChunkTokens = 4_096;
const TokensPerEvent = 6;
/** Shared prompt parts that an engine caches, and number of different ones. */
const CachedKeys = 20;
const KeyCount = 150;
const WarmUpMs = 1_000;
const SilenceObjectives = 3;

/** An engine that reads at most one chunk of a prompt in each step, and emits one token of each other running request. */
class ModelEngine {
    readonly running: ModelRequest[] = [];
    readonly queue: ModelRequest[] = [];
    readonly #cachedKeys = new Set<number>();
    readonly #plan: PlacementPlan;
    readonly #onEnd: (request: ModelRequest, isComplete: boolean) => void;
    #stepEndMs = 0;
    #readingTokens = 0;

    /** @param index Place in the list of engines; every third one is slow. */
    constructor(
        readonly index: number,
        plan: PlacementPlan,
        onEnd: (request: ModelRequest, isComplete: boolean) => void,
    ) {
        this.#plan = plan;
        this.#onEnd = onEnd;
    }

    /** @returns Whether the shared prompt parts were cached. */
    use(key: number): boolean {
        const wasCached = this.#cachedKeys.delete(key);
        this.#cachedKeys.add(key);
        if (this.#cachedKeys.size > CachedKeys) {
            this.#cachedKeys.delete(this.#cachedKeys.values().next().value!);
        }
        return wasCached;
    }

    /** Completes the steps that end until a time, in milliseconds. */
    advance(nowMs: number): void {
        while (this.#stepEndMs <= nowMs) {
            this.#endStep(this.#stepEndMs);
            this.#beginStep(this.#stepEndMs);
        }
    }

    #beginStep(startMs: number): void {
        const { slots, stepMs, prefillTokensPerMs, slowFactor } = this.#plan;
        while (this.running.length < slots && this.queue.length > 0) {
            this.running.push(this.queue.shift()!);
        }
        const reading = this.running.find(({ unreadTokens }) => unreadTokens > 0);
        this.#readingTokens = Math.min(ChunkTokens, reading?.unreadTokens ?? 0);
        const factor = this.index % 3 === 0 ? slowFactor : 1;
        this.#stepEndMs = startMs + factor * (stepMs + this.#readingTokens / prefillTokensPerMs);
    }

    #endStep(nowMs: number): void {
        const reading = this.running.find(({ unreadTokens }) => unreadTokens > 0);
        if (reading !== undefined) {
            reading.unreadTokens -= this.#readingTokens;
        }
        for (const request of [...this.running]) {
            if (request.unreadTokens <= 0) {
                this.#emitToken(request, nowMs);
            }
        }
        for (const request of [...this.running, ...this.queue]) {
            if (nowMs - request.arrivedMs > request.traffic.deadlineMs) {
                this.#remove(request);
                this.#onEnd(request, false);
            }
        }
    }

    #emitToken(request: ModelRequest, nowMs: number): void {
        const { traffic } = request;
        request.outputTokens++;
        if (request.outputTokens % TokensPerEvent === 0 || request.outputTokens === traffic.outputTokens) {
            const dueMs = request.lastEventMs === undefined ?
                request.arrivedMs + traffic.objectiveMs :
                request.lastEventMs + traffic.pauseObjectiveMs;
            request.isLate ||= nowMs > dueMs;
            request.lastEventMs = nowMs;
            request.upstream.recordResponseBytes(request.dispatch);
        }
        if (request.outputTokens >= traffic.outputTokens) {
            this.#remove(request);
            this.#onEnd(request, true);
        }
    }

    #remove(request: ModelRequest): void {
        const list = this.running.includes(request) ? this.running : this.queue;
        list.splice(list.indexOf(request), 1);
    }
}

/** Plays the load against one of the rules of `chooseUpstream`. */
export class PlacementModel {
    readonly #plan: PlacementPlan;
    readonly #isPlacedByCost: boolean;
    readonly #clock = new ManualClock();
    readonly #random: SeededRandom;
    readonly #engines: ModelEngine[];
    /** Upstreams by host, with the host's own load. */
    readonly #upstreams: Upstream[][];
    /** Latest report of each host: open requests and waiting prompt tokens by engine. */
    readonly #reports: (readonly (readonly [number, number])[])[] = [];
    readonly #counts = { long: 0, longInTime: 0, short: 0, shortInTime: 0, otherZone: 0, cached: 0, all: 0 };
    readonly #placed: number[];
    #nowMs = 0;

    /** @param isPlacedByCost Whether the service states an engine, so that requests are placed by cost. */
    constructor(plan: PlacementPlan, isPlacedByCost: boolean) {
        this.#plan = plan;
        this.#isPlacedByCost = isPlacedByCost;
        this.#random = new SeededRandom(plan.seed);
        this.#placed = new Array<number>(plan.engineCount).fill(0);
        this.#engines = Array.from(
            { length: plan.engineCount },
            (_, index) => new ModelEngine(index, plan, (request, isComplete) => this.#onEnd(request, isComplete)),
        );
        this.#upstreams = Array.from({ length: plan.hostCount }, () =>
            this.#engines.map(({ index }) =>
                new Upstream({
                    id: `engine-${index}`,
                    service: "s",
                    address: `10.0.0.${index}:80`,
                    zone: `zone-${index % plan.zoneCount}`,
                    slots: plan.slots,
                    isLeaving: false,
                    startedAtMs: 0,
                }, this.#clock)
            ));
    }

    /** Plays the whole load. */
    run(): PlacementResult {
        const { long, short, durationMs, hostCount, reportsEndMs, deathMs } = this.#plan;
        const next = { long: 0, short: 0 };
        for (; this.#nowMs < durationMs; this.#nowMs++) {
            this.#clock.advance(1);
            this.#engines.forEach(engine => this.#isDead(engine.index) || engine.advance(this.#nowMs));
            if (this.#nowMs === deathMs) {
                this.#killEngine();
            }
            for (let host = 0; host < hostCount; host++) {
                if ((this.#nowMs + host * 37) % ReportIntervalMs === 0) {
                    this.#reports[host] = this.#upstreams[host]!.map(upstream =>
                        [upstream.openRequestCount, upstream.waitingPrefillTokens] as const
                    );
                }
            }
            if (this.#nowMs === reportsEndMs) {
                this.#reports.length = 0;
            }
            for (; next.long <= this.#nowMs; next.long += this.#interval(long)) {
                this.#send(long, this.#random.integer(hostCount));
            }
            for (; next.short <= this.#nowMs; next.short += this.#interval(short)) {
                this.#send(short, this.#random.integer(hostCount));
            }
        }
        this.#countOverdue();
        const counts = this.#counts;
        const placed = this.#placed;
        return {
            longInTime: counts.longInTime / counts.long,
            shortInTime: counts.shortInTime / counts.short,
            busiestToMean: Math.max(...placed) * placed.length / counts.all,
            otherZoneFraction: counts.otherZone / counts.all,
            cachedFraction: counts.cached / counts.all,
        };
    }

    /** Counts the requests without output whose first event is overdue; they would otherwise be missing in an overloaded fleet. */
    #countOverdue(): void {
        for (const { running, queue } of this.#engines) {
            for (const request of [...running, ...queue]) {
                if (
                    request.lastEventMs === undefined && this.#nowMs > request.arrivedMs + request.traffic.objectiveMs
                ) {
                    this.#onEnd(request, false);
                }
            }
        }
    }

    #interval({ requestsPerS }: ModelTraffic): number {
        return -Math.log(1 - this.#random.next()) * 1_000 / requestsPerS;
    }

    #isDead(index: number): boolean {
        return index === 1 && this.#nowMs > (this.#plan.deathMs ?? Number.POSITIVE_INFINITY);
    }

    #killEngine(): void {
        const { running, queue } = this.#engines[1]!;
        for (const request of [...running.splice(0), ...queue.splice(0)]) {
            request.isLate = true;
            this.#onEnd(request, false);
        }
    }

    #peerLoad(host: number, engine: number): { openRequestCount: number; waitingPrefillTokens: number; } {
        let openRequestCount = 0;
        let waitingPrefillTokens = 0;
        const isSilent = this.#nowMs > (this.#plan.reportsEndMs ?? Number.POSITIVE_INFINITY);
        for (let other = 0; !isSilent && other < this.#reports.length; other++) {
            const load = other === host ? undefined : this.#reports[other]?.[engine];
            openRequestCount += load?.[0] ?? 0;
            waitingPrefillTokens += load?.[1] ?? 0;
        }
        return { openRequestCount, waitingPrefillTokens };
    }

    /** Sends a request; one that reaches a dead engine is sent to another one. */
    #send(traffic: ModelTraffic, host: number, excludedIds: ReadonlySet<string> = new Set()): void {
        const key = Math.floor(KeyCount ** this.#random.next());
        const own = this.#upstreams[host]!;
        const zone = `zone-${host % this.#plan.zoneCount}`;
        let { promptTokens: prefillTokens } = traffic;
        const input: ChoiceInput = {
            candidates: own,
            promptParts: [
                { id: `key-${key}`, tokens: traffic.sharedTokens },
                { id: "own", tokens: traffic.promptTokens - traffic.sharedTokens },
            ],
            promptTokens: traffic.promptTokens,
            excludedUpstreamIds: excludedIds,
            zone,
            isGeneration: true,
            nowMs: this.#nowMs,
            hostCount: this.#plan.hostCount,
            peerLoad: upstream => this.#peerLoad(host, own.indexOf(upstream)),
            isWithinLimit: () => true,
            engineSlots: this.#isPlacedByCost ? this.#plan.slots : undefined,
            objectiveMs: traffic.objectiveMs,
            pauseObjectiveMs: traffic.pauseObjectiveMs,
            onPlaced: placement => {
                prefillTokens = placement.prefillTokens;
            },
        };
        const upstream = chooseUpstream(input, this.#random)!;
        const engine = this.#engines[own.indexOf(upstream)]!;
        if (this.#isDead(engine.index)) {
            upstream.health.record("unreachable", this.#nowMs);
            this.#send(traffic, host, new Set([upstream.entry.id]));
            return;
        }
        const isCached = traffic.sharedTokens > 0 && engine.use(key);
        if (this.#nowMs > WarmUpMs) {
            this.#counts.all++;
            this.#placed[engine.index]!++;
            this.#counts.otherZone += upstream.entry.zone === zone ? 0 : 1;
            this.#counts.cached += isCached ? 1 : 0;
        }
        engine.queue.push({
            traffic,
            key,
            upstream,
            dispatch: upstream.beginDispatch(prefillTokens, traffic.objectiveMs * SilenceObjectives),
            arrivedMs: this.#nowMs,
            unreadTokens: traffic.promptTokens - (isCached ? traffic.sharedTokens : 0),
            outputTokens: 0,
            lastEventMs: undefined,
            isLate: false,
        });
    }

    #onEnd({ upstream, dispatch, traffic, arrivedMs, isLate }: ModelRequest, isComplete: boolean): void {
        upstream.endDispatch(dispatch, isComplete ? "answered" : "abandoned");
        if (arrivedMs <= WarmUpMs) {
            return;
        }
        const inTime = isComplete && !isLate ? 1 : 0;
        if (traffic === this.#plan.long) {
            this.#counts.long++;
            this.#counts.longInTime += inTime;
        }
        else {
            this.#counts.short++;
            this.#counts.shortInTime += inTime;
        }
    }
}

/** @returns Requests per second of both kinds that use all the time of the engines, if no prompt is cached. */
export function capacityPerS(plan: Omit<PlacementPlan, "seed">): number {
    const { long, short, engineCount, slots, stepMs, prefillTokensPerMs, slowFactor } = plan;
    const requestsPerS = long.requestsPerS + short.requestsPerS;
    const busyMsPerS = [long, short].reduce((sum, kind) => {
        const busyMs = kind.promptTokens / prefillTokensPerMs + kind.outputTokens * stepMs / slots;
        return sum + kind.requestsPerS * busyMs;
    }, 0);
    return requestsPerS * engineCount * 1_000 / (busyMsPerS * (2 + slowFactor) / 3);
}
