/** An upstream with this host's connections, open requests and measurements. */
import type { Clock } from "../../base/clock.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import { ConnectionPool } from "../transport/connectionPool.js";
import { type DispatchOutcome, UpstreamHealth } from "./upstreamHealth.js";

/** A request of this host at an upstream. */
export interface OpenDispatch {
    readonly startedAtMs: number;
    /** Prompt tokens that the engine has to read, by this host's estimate. */
    readonly prefillTokens: number;
    /** Time after which an upstream without any answer is taken for silent, in milliseconds. */
    readonly silentAfterMs: number;
    hasFirstByte: boolean;
}

/** One start of one upstream. */
export class Upstream {
    readonly entry: UpstreamEntry;
    readonly pool: ConnectionPool;
    readonly health = new UpstreamHealth();
    readonly #clock: Clock;
    readonly #open = new Set<OpenDispatch>();
    #isLeaving: boolean;
    #heardAtMs = Number.NEGATIVE_INFINITY;
    #restsUntilMs = Number.NEGATIVE_INFINITY;

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

    /** Stops new requests; open ones go on. */
    markLeaving(): void {
        this.#isLeaving = true;
        this.pool.closeIdle();
    }

    /** Keeps requests away for a time that the upstream asked for, in milliseconds. */
    startBackoff(durationMs: number): void {
        this.#restsUntilMs = Math.max(this.#restsUntilMs, this.#clock.monotonicMs() + durationMs);
    }

    /** @returns Time for which the upstream still wants no request, in milliseconds; 0 when it takes them. */
    remainingBackoffMs(nowMs: number): number {
        return Math.max(0, this.#restsUntilMs - nowMs);
    }

    /** @returns Open requests of this host. */
    get openRequestCount(): number {
        return this.#open.size;
    }

    /** @returns Prompt tokens of this host's requests that have no answer yet. */
    get waitingPrefillTokens(): number {
        let tokens = 0;
        for (const dispatch of this.#open) {
            tokens += dispatch.hasFirstByte ? 0 : dispatch.prefillTokens;
        }
        return tokens;
    }

    /** Registers a request that is about to be sent. */
    beginDispatch(prefillTokens: number, silentAfterMs: number): OpenDispatch {
        const dispatch = { startedAtMs: this.#clock.monotonicMs(), prefillTokens, silentAfterMs, hasFirstByte: false };
        this.#open.add(dispatch);
        return dispatch;
    }

    /** The first byte of an answer arrived. */
    recordResponseBytes(dispatch: OpenDispatch): void {
        dispatch.hasFirstByte = true;
        this.#heardAtMs = this.#clock.monotonicMs();
    }

    /** Registers the end of a request. */
    endDispatch(dispatch: OpenDispatch, result: DispatchOutcome): void {
        this.#open.delete(dispatch);
        this.health.record(result, this.#clock.monotonicMs());
    }

    /** @returns Whether a request has waited beyond its patience while nothing was heard from the upstream. */
    isSilent(nowMs: number): boolean {
        for (const dispatch of this.#open) {
            const sinceMs = Math.max(dispatch.startedAtMs, this.#heardAtMs);
            if (!dispatch.hasFirstByte && nowMs - sinceMs > dispatch.silentAfterMs) {
                return true;
            }
        }
        return false;
    }
}
