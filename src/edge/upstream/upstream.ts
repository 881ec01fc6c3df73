/** One upstream with this host's connections, open requests and measurements of it. */
import type { Clock } from "../../base/clock.js";
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
    hasFirstByte: boolean;
}

/** One incarnation of one upstream: a restart under the same id is a new instance. */
export class Upstream {
    readonly entry: UpstreamEntry;
    readonly pool: ConnectionPool;
    readonly health = new UpstreamHealth();
    readonly #clock: Clock;
    readonly #openDispatches = new Set<OpenDispatch>();
    #isLeaving: boolean;
    #lastByteAtMs = Number.NEGATIVE_INFINITY;
    #backoffUntilMs = Number.NEGATIVE_INFINITY;

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
            tokens += dispatch.hasFirstByte ? 0 : dispatch.prefillTokens;
        }
        return tokens;
    }

    /**
     * Registers a request that is about to be sent.
     * @param silentAfterMs See {@link OpenDispatch.silentAfterMs}.
     */
    beginDispatch(prefillTokens: number, silentAfterMs: number): OpenDispatch {
        const dispatch = { startedAtMs: this.#clock.monotonicMs(), prefillTokens, silentAfterMs, hasFirstByte: false };
        this.#openDispatches.add(dispatch);
        return dispatch;
    }

    /** Records that bytes of the response arrived. */
    recordResponseBytes(dispatch: OpenDispatch): void {
        dispatch.hasFirstByte = true;
        this.#lastByteAtMs = this.#clock.monotonicMs();
    }

    /** Records the end of a request and its outcome. */
    endDispatch(dispatch: OpenDispatch, outcome: DispatchOutcome): void {
        this.#openDispatches.delete(dispatch);
        this.health.record(outcome, this.#clock.monotonicMs());
    }

    /** @returns Whether a request has waited longer than its limit while no bytes arrived from the upstream. */
    isSilent(nowMs: number): boolean {
        for (const dispatch of this.#openDispatches) {
            const sinceMs = Math.max(dispatch.startedAtMs, this.#lastByteAtMs);
            if (!dispatch.hasFirstByte && nowMs - sinceMs > dispatch.silentAfterMs) {
                return true;
            }
        }
        return false;
    }
}
