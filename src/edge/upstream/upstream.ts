/** One upstream with this host's connections, open requests and measurements of it. */
import type { Clock } from "../../base/clock.js";
import { EventTimeEstimate } from "../../scheduling/upstreamSpeeds.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import { ConnectionPool } from "../transport/connectionPool.js";
import { type DispatchOutcome, UpstreamHealth } from "./upstreamHealth.js";

/** An open request of this host at an upstream. */
export interface OpenDispatch {
    /** Monotonic time at which the dispatch began, in milliseconds. */
    readonly startedAtMs: number;
    /** Prompt tokens that the engine has to read, by this host's estimate. */
    readonly prefillTokens: number;
    /** Time without any response bytes after which the upstream counts as silent, in milliseconds. */
    readonly silentAfterMs: number;
    /** Monotonic time of the latest bytes of the response, in milliseconds; `undefined` before the first ones. */
    lastByteAtMs: number | undefined;
}

/** Result of {@link Upstream.checkReachability}. */
export interface Reachability {
    readonly isReachable: boolean;
    /** Bytes of a response, or the probe connection that was opened for this check or for another one at the same time. */
    readonly evidence: "bytes" | "probe" | "sharedProbe";
    /** Why the probe connection could not be opened. */
    readonly detail?: string | undefined;
}

/** A connection that is or was opened to find out whether the upstream can be reached. */
interface Probe {
    readonly startedAtMs: number;
    /** Resolves with the reason why the connection could not be opened, or `undefined`. */
    readonly failure: Promise<string | undefined>;
    isRunning: boolean;
}

/**
 * Maximum time to open a probe connection, in milliseconds. A connection within a data centre opens in a few milliseconds, and
 * one lost packet is repeated after about 200 ms.
 */
const ProbeTimeoutMs = 400;

/** One incarnation of one upstream: a restart under the same id is a new instance. */
export class Upstream {
    readonly entry: UpstreamEntry;
    readonly pool: ConnectionPool;
    readonly health = new UpstreamHealth();
    /** Time between the pieces of streams, by this host's requests. */
    readonly eventTime = new EventTimeEstimate();
    readonly #clock: Clock;
    readonly #openDispatches = new Set<OpenDispatch>();
    #isLeaving: boolean;
    #lastByteAtMs = Number.NEGATIVE_INFINITY;
    #backoffUntilMs = Number.NEGATIVE_INFINITY;
    #latestProbe: Probe | undefined;

    constructor(entry: UpstreamEntry, clock: Clock) {
        this.entry = entry;
        this.#clock = clock;
        this.#isLeaving = entry.isLeaving;
        this.pool = new ConnectionPool(entry.address, clock);
    }

    /** @returns Whether the upstream must get no new requests. */
    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** Stops new requests and closes idle connections; open requests continue. */
    markLeaving(): void {
        this.#isLeaving = true;
        this.pool.closeIdle();
    }

    /** Sends no new requests for a time that the upstream asked for, in milliseconds. */
    startBackoff(durationMs: number): void {
        this.#backoffUntilMs = Math.max(this.#backoffUntilMs, this.#clock.monotonicMs() + durationMs);
    }

    /** @returns Time until the upstream accepts requests again, in milliseconds; 0 when it does now. */
    remainingBackoffMs(nowMs: number): number {
        return Math.max(0, this.#backoffUntilMs - nowMs);
    }

    /** @returns Number of open requests of this host. */
    get openRequestCount(): number {
        return this.#openDispatches.size;
    }

    /** @returns Prompt tokens of this host's requests that have not received a byte yet. */
    get waitingPrefillTokens(): number {
        let tokens = 0;
        for (const dispatch of this.#openDispatches) {
            tokens += dispatch.lastByteAtMs === undefined ? dispatch.prefillTokens : 0;
        }
        return tokens;
    }

    /**
     * Registers a request that is about to be sent.
     * @param silentAfterMs See {@link OpenDispatch.silentAfterMs}.
     */
    beginDispatch(prefillTokens: number, silentAfterMs: number): OpenDispatch {
        const dispatch: OpenDispatch = {
            startedAtMs: this.#clock.monotonicMs(),
            prefillTokens,
            silentAfterMs,
            lastByteAtMs: undefined,
        };
        this.#openDispatches.add(dispatch);
        return dispatch;
    }

    /** Records that bytes of the response arrived. */
    recordResponseBytes(dispatch: OpenDispatch): void {
        const nowMs = this.#clock.monotonicMs();
        if (dispatch.lastByteAtMs !== undefined) {
            this.eventTime.record(nowMs - dispatch.lastByteAtMs);
        }
        dispatch.lastByteAtMs = nowMs;
        this.#lastByteAtMs = nowMs;
        this.health.recordBytes();
    }

    /** Records the end of a request and its outcome. The silence of one request counts only if the others got no bytes. */
    endDispatch(dispatch: OpenDispatch, outcome: DispatchOutcome): void {
        this.#openDispatches.delete(dispatch);
        const nowMs = this.#clock.monotonicMs();
        const isOneSlowRequest = outcome === "silent" && nowMs - this.#lastByteAtMs <= dispatch.silentAfterMs;
        this.health.record(isOneSlowRequest ? "abandoned" : outcome, nowMs);
    }

    /**
     * Finds out whether the upstream can be reached: by bytes of its responses, otherwise by a connection, which is kept for
     * later requests. Checks at the same time share one connection.
     * @param maxAgeMs Maximum age of bytes or of a connection that count, in milliseconds.
     */
    async checkReachability(maxAgeMs: number): Promise<Reachability> {
        const nowMs = this.#clock.monotonicMs();
        if (nowMs - this.#lastByteAtMs <= maxAgeMs) {
            return { isReachable: true, evidence: "bytes" };
        }
        const latest = this.#latestProbe;
        const isShared = latest !== undefined && (latest.isRunning || nowMs - latest.startedAtMs <= maxAgeMs);
        const probe = isShared ? latest : this.#startProbe(nowMs);
        const detail = await probe.failure;
        const isReachable = detail === undefined || this.#lastByteAtMs >= nowMs;
        return { isReachable, evidence: isShared ? "sharedProbe" : "probe", detail };
    }

    #startProbe(nowMs: number): Probe {
        const failure = this.pool.probe(ProbeTimeoutMs, () => !this.#isLeaving);
        const probe: Probe = { startedAtMs: nowMs, failure, isRunning: true };
        this.#latestProbe = probe;
        const onEnd = () => {
            probe.isRunning = false;
        };
        failure.then(onEnd, onEnd);
        return probe;
    }

    /** @returns Whether a request has waited longer than its limit while no bytes arrived from the upstream. */
    isSilent(nowMs: number): boolean {
        for (const dispatch of this.#openDispatches) {
            const sinceMs = Math.max(dispatch.startedAtMs, this.#lastByteAtMs);
            if (dispatch.lastByteAtMs === undefined && nowMs - sinceMs > dispatch.silentAfterMs) {
                return true;
            }
        }
        return false;
    }
}
