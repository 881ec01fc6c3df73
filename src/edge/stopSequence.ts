/** The steps of a planned stop, from the signal to the end of the last request. */
import type { Clock } from "../base/clock.js";
import { log } from "../base/log.js";
import { sleep } from "../base/sleep.js";
import type { EdgeSettings } from "./edgeSettings.js";
import type { CallerServer } from "./flow/callerServer.js";
import type { StopAdmission } from "./stop/stopAdmission.js";

/** Interval at which open requests are checked for, in milliseconds. */
const PollIntervalMs = 20;

/** Time at the end of the grace period in which the last writes are made, beside the requests that are still open, in milliseconds. */
const FinalWriteReserveMs = 900;

/**
 * Time at the end of the grace period that is reserved for the last responses and the exit, in milliseconds. The exit takes up to 200 ms,
 * and more on a busy host; a kill before it would lose the responses.
 */
const ExitReserveMs = 500;

/**
 * Maximum fraction of the grace period that is reserved for the last responses and the exit. Responses may be cut off only in the last
 * sixth of the period; the rest of the sixth allows for a signal that arrived up to one tick of the event loop after the assumed start.
 */
const MaxExitReserveFraction = 0.14;

/** Time in which the responses to interrupted requests leave the process, in milliseconds. */
const LastResponsesMs = 50;

/**
 * Time in which the first request of a connection that was accepted during the stop may arrive, and the rest of a request that has
 * arrived in part, in milliseconds.
 */
const ExpectedRequestGraceMs = 500;

/** Maximum duration of the last writes to the store, in milliseconds. */
const FinalWriteTimeoutMs = 400;

/** Collaborators of {@link StopSequence}. */
export interface StopSequenceDependencies {
    readonly clock: Clock;
    readonly callerServer: CallerServer;
    readonly stopAdmission: StopAdmission;
    /** Makes the last writes to the store, which close the budgets and unregister the host. */
    writeLast(): Promise<unknown>;
}

/** Stops the listener for callers and ends all requests within the grace period, which begins with the signal. */
export class StopSequence {
    readonly #dependencies: StopSequenceDependencies;
    readonly #startedAtMs: number;
    /** Monotonic time from which the host is not ready, in milliseconds. */
    readonly #handledAtMs: number;
    readonly #drainNoticeMs: number;
    #graceMs: number;

    /** @param startedAtMs Earliest monotonic time at which the signal may have been sent, in milliseconds. */
    constructor(
        dependencies: StopSequenceDependencies,
        { graceMs, drainNoticeMs }: Pick<EdgeSettings, "graceMs" | "drainNoticeMs">,
        startedAtMs: number,
    ) {
        this.#dependencies = dependencies;
        this.#startedAtMs = startedAtMs;
        this.#handledAtMs = dependencies.clock.monotonicMs();
        this.#drainNoticeMs = drainNoticeMs;
        this.#graceMs = graceMs;
        this.#limitRequests();
    }

    /** @returns Monotonic time at which the stop began, in milliseconds. */
    get startedAtMs(): number {
        return this.#startedAtMs;
    }

    /** @returns Time since the stop began, in milliseconds. */
    get elapsedMs(): number {
        return this.#dependencies.clock.monotonicMs() - this.#startedAtMs;
    }

    /**
     * Applies a grace period that was changed during the stop, if it is shorter. Whoever ends the process may go by the period that was
     * in force at the signal, so that a longer one is not relied on.
     */
    shorten(graceMs: number): void {
        if (graceMs < this.#graceMs) {
            log.info("stop shortened", { graceMs, elapsedMs: Math.round(this.elapsedMs) });
            this.#graceMs = graceMs;
            this.#limitRequests();
        }
    }

    /** Resolves when all requests have ended, or the grace period is nearly over and the last ones have been interrupted. */
    async run(): Promise<void> {
        const { clock, callerServer, writeLast } = this.#dependencies;
        const hasNotice = (): boolean => clock.monotonicMs() - this.#handledAtMs < this.#drainNoticeMs;
        while (hasNotice() && this.elapsedMs < this.#drainLimitMs) {
            await sleep(PollIntervalMs);
        }
        await callerServer.stopAccepting(() => this.elapsedMs < this.#drainLimitMs);
        const expectedUntilMs = this.elapsedMs + ExpectedRequestGraceMs;
        const isRequestExpected = (): boolean =>
            callerServer.openRequestCount > 0 || callerServer.isNextRequestExpected ||
            (callerServer.expectedRequestCount > 0 && this.elapsedMs < expectedUntilMs);
        while (isRequestExpected() && this.elapsedMs < this.#drainLimitMs) {
            await sleep(PollIntervalMs);
        }
        callerServer.endUnusedConnections();
        callerServer.refuseRequests();
        const writeTimeoutMs = Math.min(FinalWriteTimeoutMs, Math.max(0, this.#responsesEndMs - this.elapsedMs));
        const lastWrites = Promise.race([writeLast(), sleep(writeTimeoutMs)]);
        while (callerServer.openRequestCount > 0 && this.elapsedMs < this.#requestsEndMs) {
            await sleep(PollIntervalMs);
        }
        if (callerServer.openRequestCount > 0) {
            callerServer.interruptRequests();
            await sleep(LastResponsesMs * this.#reserveFactor);
        }
        await lastWrites;
    }

    #limitRequests(): void {
        this.#dependencies.stopAdmission.limit(this.#startedAtMs + this.#requestsEndMs);
    }

    /** Factor by which a short grace period shortens the times that are reserved at its end; 1 for longer periods. */
    get #reserveFactor(): number {
        return Math.min(1, this.#graceMs * MaxExitReserveFraction / ExitReserveMs);
    }

    /** Time after which open requests are no longer waited for before the last writes. */
    get #drainLimitMs(): number {
        return this.#graceMs - FinalWriteReserveMs * this.#reserveFactor;
    }

    /** Time after which open requests are interrupted. */
    get #requestsEndMs(): number {
        return this.#graceMs - ExitReserveMs * this.#reserveFactor;
    }

    /** Time after which nothing is waited for any longer. */
    get #responsesEndMs(): number {
        return this.#requestsEndMs + LastResponsesMs * this.#reserveFactor;
    }
}
