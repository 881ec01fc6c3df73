/** Decides what happens to a request whose upstream sends no bytes for a time. */
import { log } from "../../base/log.js";
import type { Attempt, AttemptSilence } from "./attempt.js";

/** The request of a silent attempt, as a {@link SilenceHandler} sees it. */
export interface SilenceDelegate {
    /** @returns Fields for log entries about the request. */
    describe(): Record<string, unknown>;
    /** @returns Whether the request may be sent once more beside its open attempts, all of which are silent. */
    canSendBeside(): boolean;
    /** @returns Whether the request may be sent once more after its attempt has been ended. */
    canSendInstead(): boolean;
    /** @returns Whether the retry budget allows one more send; counts it if so. */
    tryAcquireRetry(): boolean;
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
    protected logDecision(decision: string, { silentMs }: AttemptSilence, attempt: Attempt): void {
        log.info("attempt is silent", {
            ...this.delegate.describe(),
            decision,
            upstream: attempt.input.upstream.entry.id,
            silentMs,
        });
    }
}

/**
 * For requests that two upstreams may run at the same time. The silent attempt stays open, as its upstream may only be paused,
 * and the request is sent to another upstream as well.
 */
export class ParallelSilenceHandler extends SilenceHandler {
    onSilence(silence: AttemptSilence, attempt: Attempt): void {
        const isSent = this.delegate.canSendBeside() && this.delegate.tryAcquireRetry();
        if (isSent || silence.isFirstReport) {
            this.logDecision(isSent ? "sendBeside" : "wait", silence, attempt);
        }
        if (isSent) {
            this.delegate.sendNext();
        }
    }
}

/** For requests that only one upstream may run at a time. The silent attempt is ended if the request may run again. */
export class SequentialSilenceHandler extends SilenceHandler {
    onSilence({ silentMs, isFirstReport }: AttemptSilence, attempt: Attempt): void {
        if (isFirstReport && this.delegate.canSendInstead()) {
            attempt.leave(`no byte for ${silentMs} ms`);
        }
    }
}
