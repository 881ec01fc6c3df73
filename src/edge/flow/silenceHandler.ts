/** Decides what happens to a request whose upstream sends no bytes for a time. */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import type { Route } from "../edgeTypes.js";
import { EdgeCounterNames } from "../metrics.js";
import type { Reachability } from "../upstream/upstream.js";
import type { Attempt, AttemptSilence } from "./attempt.js";
import type { ResendPolicy } from "./resendPolicy.js";

/**
 * Silence after which a stream is taken away from an upstream that can be reached, in milliseconds. A sound upstream may pause
 * for a second or so and go on; twice that is no such pause.
 */
const MaxPauseMs = 2_000;

/** The request of a silent attempt, as a {@link SilenceHandler} sees it. */
export interface SilenceDelegate {
    readonly counters: Counters;
    readonly resendPolicy: ResendPolicy;
    /** @returns Fields for log entries about the request. */
    describe(): Record<string, unknown>;
    /** Sends the request to another upstream. */
    sendNext(): void;
}

/** Handles the silence of the attempts of one request. */
export abstract class SilenceHandler {
    protected readonly delegate: SilenceDelegate;

    constructor(delegate: SilenceDelegate) {
        this.delegate = delegate;
    }

    /** Handles a report about a silent attempt; see {@link AttemptListener.onSilence}. */
    abstract onSilence(silence: AttemptSilence, attempt: Attempt): void;

    /** Writes a log line about a decision. */
    protected logDecision(
        decision: "sendBeside" | "move" | "wait",
        { silentMs }: AttemptSilence,
        attempt: Attempt,
        details: object = {},
    ): void {
        log.info("attempt is silent", {
            ...this.delegate.describe(),
            decision,
            upstream: attempt.input.upstream.entry.id,
            silentMs,
            ...details,
        });
    }
}

/**
 * For requests that two upstreams may run at the same time. The silent attempt stays open, as its upstream may only be paused,
 * and the request is sent to another upstream as well.
 */
export class ParallelSilenceHandler extends SilenceHandler {
    onSilence(silence: AttemptSilence, attempt: Attempt): void {
        const isSent = this.delegate.resendPolicy.canSendBeside() && this.delegate.resendPolicy.tryAcquireRetry();
        if (isSent || silence.isFirstReport) {
            this.logDecision(isSent ? "sendBeside" : "wait", silence, attempt);
        }
        if (isSent) {
            this.delegate.sendNext();
        }
    }
}

/**
 * For requests that only one upstream may run at a time. A silent attempt is ended only if its upstream cannot be reached, or is
 * silent for longer than a pause lasts, and only if the request can be sent to another upstream. Otherwise it stays open until
 * the deadline.
 */
export class SequentialSilenceHandler extends SilenceHandler {
    #isUnreachable = false;
    #isWaitLogged = false;

    onSilence(silence: AttemptSilence, attempt: Attempt): void {
        if (silence.isFirstReport) {
            this.#isUnreachable = false;
            this.#isWaitLogged = false;
        }
        if (this.#isUnreachable || silence.silentMs >= MaxPauseMs) {
            this.#moveIfPossible(silence, attempt);
        }
        else if (silence.isFirstReport && this.delegate.resendPolicy.canSendInstead(false)) {
            this.#checkReachability(silence, attempt).catch((error: unknown) => {
                log.error("check of an upstream failed", { ...this.delegate.describe(), error: String(error) });
            });
        }
    }

    /** Ends the attempt if its upstream cannot be reached. */
    async #checkReachability(silence: AttemptSilence, attempt: Attempt): Promise<void> {
        const { upstream, silentAfterMs } = attempt.input;
        const reachability = await upstream.checkReachability(silentAfterMs);
        this.#countProbe(reachability);
        if (reachability.isReachable || attempt.hasEnded || !attempt.isSilent) {
            this.logDecision("wait", silence, attempt, { ...reachability, hasEnded: attempt.hasEnded });
            return;
        }
        this.#isUnreachable = true;
        this.#moveIfPossible(silence, attempt, reachability);
    }

    #countProbe({ evidence, detail }: Reachability): void {
        if (evidence === "probe") {
            this.delegate.counters.add(EdgeCounterNames.upstreamProbes);
            this.delegate.counters.add(EdgeCounterNames.upstreamProbeFailures, detail === undefined ? 0 : 1);
        }
    }

    #moveIfPossible(silence: AttemptSilence, attempt: Attempt, reachability?: Reachability): void {
        const canMove = this.delegate.resendPolicy.canSendInstead(!this.#isUnreachable) &&
            this.delegate.resendPolicy.tryAcquireRetry();
        if (canMove || !this.#isWaitLogged) {
            this.logDecision(canMove ? "move" : "wait", silence, attempt, reachability);
        }
        this.#isWaitLogged = true;
        if (canMove) {
            const cause = this.#isUnreachable ? "the upstream cannot be reached" : "longer than a pause";
            attempt.interruptSilent(`no byte for ${silence.silentMs} ms: ${cause}`);
        }
    }
}

/** The handlers of one request, whose streams and other responses are handled differently. */
export class SilenceHandlers {
    readonly #parallel: ParallelSilenceHandler;
    readonly #sequential: SequentialSilenceHandler;

    constructor(delegate: SilenceDelegate) {
        this.#parallel = new ParallelSilenceHandler(delegate);
        this.#sequential = new SequentialSilenceHandler(delegate);
    }

    /**
     * Two runs of a generation would take the slots of two engines, and only one stream can be relayed.
     * @param isRelaying Whether a stream is being relayed.
     */
    select({ kind, isGeneration }: Route, isRelaying: boolean): SilenceHandler {
        const mayRunInParallel = kind === "idempotent" && !isGeneration && !isRelaying;
        return mayRunInParallel ? this.#parallel : this.#sequential;
    }
}
