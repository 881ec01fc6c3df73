/** One send of a request to one upstream. */
import { CallbackGuard } from "../../base/callbackGuard.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import type { ResponseMetadata } from "../edgeTypes.js";
import type { HeaderCodec } from "../protocolCodec.js";
import type { RateLimits } from "../rateLimit/rateLimits.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { ExchangeFailure, SerialisedRequest, UpstreamConnection } from "../transport/upstreamConnection.js";
import type { OpenDispatch, Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { DispatchOutcome } from "../upstream/upstreamHealth.js";

/** How an attempt ended, for the flow that started it. */
export type AttemptOutcome =
    /** A complete response arrived; `body` holds the bytes that were not relayed as they arrived. */
    | { readonly status: "answered"; readonly head: ResponseHead; readonly body: Buffer; }
    /** The upstream states that it did not run the request, or the request reached a different upstream. */
    | { readonly status: "notExecuted"; readonly isWrongUpstream: boolean; readonly statusCode: number; }
    /** No connection could be opened, so no byte was sent. */
    | { readonly status: "unreachable"; readonly detail: string; }
    /** The response broke off, is invalid or did not arrive in time: the request may have run. */
    | {
        readonly status: "interrupted";
        readonly reason: "brokenOff" | "malformed" | "silent";
        readonly detail: string;
    };

/** A time without bytes from the upstream. */
export interface AttemptSilence {
    /** Time since the latest byte, or since the start of the attempt, in milliseconds. */
    readonly silentMs: number;
    /** Whether this is the first report about this silence. */
    readonly isFirstReport: boolean;
}

/** Receives the events of an attempt; nothing more is reported after {@link Attempt.cancel}. */
export interface AttemptListener {
    /** The request was written to the connection. */
    onWritten(bytes: number): void;
    /** @returns Whether to pass the body on as it arrives; otherwise the attempt collects it. */
    onHead(head: ResponseHead, attempt: Attempt): boolean;
    /** @returns Whether the caller keeps up; if not, the attempt pauses until {@link Attempt.resume}. */
    onBody(bytes: Buffer, attempt: Attempt): boolean;
    /**
     * No byte has arrived for the time that {@link AttemptInput.silentAfterMs} states. Reported again every
     * {@link SilenceReportIntervalMs} until bytes arrive or the attempt ends.
     */
    onSilence(silence: AttemptSilence, attempt: Attempt): void;
    /** Called once when the attempt has ended by itself or by {@link Attempt.interruptSilent}. */
    onEnd(outcome: AttemptOutcome, attempt: Attempt): void;
    /** Called with an error of the program in a callback of the attempt or of this listener. The attempt has ended and counts as failed. */
    onError(error: unknown, attempt: Attempt): void;
}

/** Request, target and time limits of an attempt. */
export interface AttemptInput {
    readonly upstream: Upstream;
    readonly request: SerialisedRequest;
    readonly requestId: string;
    /** Prompt tokens that the upstream has to read; 0 when unknown. */
    readonly prefillTokens: number;
    /** Maximum idle time of a pooled connection that is reused, in milliseconds. */
    readonly maxIdleMs: number;
    /** Time without a byte after which the attempt, and for the choice of upstreams this one, is silent, in milliseconds. */
    readonly silentAfterMs: number;
    /** Whether the listener is told of silence; otherwise only the deadline of the request ends a silent attempt. */
    readonly isSilenceReported: boolean;
}

/** Collaborators of {@link Attempt}. */
export interface AttemptDependencies {
    readonly codec: HeaderCodec;
    readonly clock: Clock;
    readonly limits: RateLimits;
    readonly directory: Pick<UpstreamDirectory, "isZoneUsable">;
}

/** Maximum size of a response body that is collected before it is relayed, in bytes. */
const MaxCollectedBytes = 262_144;

/** Time between two reports of the same silence, in milliseconds: an upstream or a retry that was missing may be there now. */
const SilenceReportIntervalMs = 250;

/** Sends a request to one upstream on construction and reports the response. Reports nothing after {@link cancel}. */
export class Attempt {
    readonly input: AttemptInput;
    readonly #codec: HeaderCodec;
    readonly #clock: Clock;
    readonly #limits: RateLimits;
    readonly #listener: AttemptListener;
    readonly #guard = new CallbackGuard(error => this.#onError(error));
    readonly #dispatch: OpenDispatch;
    readonly #connection: UpstreamConnection;
    readonly #collected: Buffer[] = [];
    #collectedBytes = 0;
    #head: ResponseHead | undefined;
    #metadata: ResponseMetadata | undefined;
    #isRelaying = false;
    #hasEnded = false;
    #isPaused = false;
    #lastByteAtMs: number;
    #writtenAtMs: number | undefined;
    #headAtMs: number | undefined;
    #isSilent = false;
    #silenceTimer: ResponseTimeout | undefined;

    constructor(
        input: AttemptInput,
        { codec, clock, limits, directory }: AttemptDependencies,
        listener: AttemptListener,
    ) {
        this.input = input;
        this.#codec = codec;
        this.#clock = clock;
        this.#limits = limits;
        this.#listener = listener;
        this.#lastByteAtMs = clock.monotonicMs();
        this.#connection = input.upstream.pool.acquire(input.maxIdleMs);
        this.#dispatch = input.upstream.beginDispatch(input.prefillTokens, input.silentAfterMs);
        if (input.isSilenceReported) {
            this.#armSilenceTimer(input.silentAfterMs);
        }
        this.#connection.send(input.request, {
            isResponseToRequest: head => this.#guard.run(() => this.#isResponseToRequest(head)) === true,
            mayWrite: () => this.#guard.run(() => directory.isZoneUsable(input.upstream)) === true,
            onWritten: this.#guard.wrap(() => this.#onWritten()),
            onHead: this.#guard.wrap(head => this.#onHead(head)),
            onBody: this.#guard.wrap(bytes => this.#onBody(bytes)),
            onComplete: this.#guard.wrap(() => this.#onComplete()),
            onFailure: this.#guard.wrap((failure, detail) => this.#onFailure(failure, detail)),
        });
    }

    /** @returns Monotonic time at which the request was written, in milliseconds; `undefined` until the connection is open. */
    get writtenAtMs(): number | undefined {
        return this.#writtenAtMs;
    }

    /** @returns Monotonic time at which the head of the response arrived, in milliseconds; `undefined` before that. */
    get headAtMs(): number | undefined {
        return this.#headAtMs;
    }

    /** @returns Whether the attempt has ended or was cancelled. */
    get hasEnded(): boolean {
        return this.#hasEnded;
    }

    /** @returns Whether silence was reported and no byte has arrived since. */
    get isSilent(): boolean {
        return this.#isSilent;
    }

    /** Cancels the request at the upstream by closing the connection. */
    cancel(): void {
        if (!this.#hasEnded) {
            this.#finish(this.#isSilent ? "silent" : "abandoned");
            this.#connection.destroy();
        }
    }

    /** Ends a silent attempt by closing the connection, and reports the end. */
    interruptSilent(detail: string): void {
        this.#guard.run(() => this.#interrupt("silent", detail));
    }

    /** Ends the attempt, whose response turned out not to be valid, and reports the end. */
    interruptMalformed(detail: string): void {
        this.#interrupt("malformed", detail);
    }

    /** Stops reading the response until {@link resume}, because the caller reads more slowly than the upstream sends. */
    pause(): void {
        if (!this.#hasEnded) {
            this.#isPaused = true;
            this.#connection.pause();
        }
    }

    /** Continues reading the response. */
    resume(): void {
        if (this.#isPaused) {
            this.#isPaused = false;
            this.#lastByteAtMs = this.#clock.monotonicMs();
            this.#connection.resume();
        }
    }

    /**
     * Skips a response to another request. A response without a request id is skipped too, unless it is an error, which
     * ends the attempt: the upstream may send nothing else.
     */
    #isResponseToRequest(head: ResponseHead): boolean {
        const { requestId } = this.#codec.readResponseHead(head);
        return requestId === undefined ? head.statusCode >= 400 : requestId === this.input.requestId;
    }

    #onWritten(): void {
        this.#writtenAtMs = this.#clock.monotonicMs();
        const { head, body } = this.input.request;
        this.#listener.onWritten(head.length + (body?.length ?? 0));
    }

    #onHead(head: ResponseHead): void {
        this.#recordBytes();
        this.#head = head;
        this.#headAtMs = this.#lastByteAtMs;
        this.#metadata = this.#codec.readResponseHead(head);
        if (this.#metadata.requestId === undefined) {
            // It may be an earlier response, written again, so that it states nothing about this request or the upstream.
            this.#interrupt("malformed", `status ${head.statusCode} without the id of the request`);
            return;
        }
        this.#applyUpstreamState(this.#metadata);
        if (head.statusCode < 300 && !this.#metadata.hasSignature) {
            this.#interrupt("malformed", "a successful response without the upstream's signature");
            return;
        }
        this.#isRelaying = !this.#isNotExecuted && this.#listener.onHead(head, this);
    }

    /**
     * Applies what the upstream states about itself: that it is leaving, or wants a pause. A response from a different
     * upstream at the same address is ignored, as it says nothing about this one.
     */
    #applyUpstreamState(metadata: ResponseMetadata): void {
        const { isLeaving, isWrongUpstream, retryAfterMs, statedLimit, hasSignature } = metadata;
        const { upstream, requestId } = this.input;
        if (isWrongUpstream) {
            return;
        }
        // A refusal without a limit does not show that an upstream has none.
        if (statedLimit.kind !== "none" || hasSignature) {
            const writtenAtMs = this.#writtenAtMs ?? Number.NEGATIVE_INFINITY;
            this.#limits.recordResponse(upstream.entry, statedLimit, writtenAtMs);
        }
        if (isLeaving && !upstream.isLeaving) {
            upstream.markLeaving();
            log.info("upstream leaves", { upstream: upstream.entry.id, statedTo: requestId });
        }
        if (retryAfterMs !== undefined && retryAfterMs > 0) {
            upstream.startBackoff(retryAfterMs);
            log.info("upstream asks for a pause", {
                upstream: upstream.entry.id,
                forMs: retryAfterMs,
                statedTo: requestId,
            });
        }
    }

    #onBody(bytes: Buffer): void {
        this.#recordBytes();
        if (this.#isRelaying) {
            if (!this.#listener.onBody(bytes, this)) {
                this.pause();
            }
            return;
        }
        this.#collectedBytes += bytes.length;
        if (this.#collectedBytes > MaxCollectedBytes) {
            this.#interrupt("malformed", "the response body is too long to be collected");
            return;
        }
        this.#collected.push(bytes);
    }

    #onComplete(): void {
        const head = this.#head;
        if (head === undefined || this.#hasEnded) {
            return;
        }
        this.resume();
        this.input.upstream.pool.release(this.#connection, head);
        if (this.#isNotExecuted) {
            this.#finish("refused");
            const isWrongUpstream = this.#metadata?.isWrongUpstream === true;
            this.#listener.onEnd({ status: "notExecuted", isWrongUpstream, statusCode: head.statusCode }, this);
            return;
        }
        this.#finish(head.statusCode >= 500 ? "failed" : "answered");
        this.#listener.onEnd({ status: "answered", head, body: Buffer.concat(this.#collected) }, this);
    }

    #onFailure(failure: ExchangeFailure, detail: string): void {
        if (this.#hasEnded) {
            return;
        }
        if (failure === "notConnected") {
            this.#finish("unreachable");
            this.#listener.onEnd({ status: "unreachable", detail }, this);
            return;
        }
        this.#finish("failed");
        this.#listener.onEnd({ status: "interrupted", reason: failure, detail }, this);
    }

    #interrupt(reason: "malformed" | "silent", detail: string): void {
        if (this.#hasEnded) {
            return;
        }
        this.#finish(reason === "silent" ? "silent" : "failed");
        this.#connection.destroy();
        this.#listener.onEnd({ status: "interrupted", reason, detail }, this);
    }

    /** An attempt that had ended before the error has been counted by its outcome, so that the failure is added to it. */
    #onError(error: unknown): void {
        if (this.#hasEnded) {
            this.input.upstream.health.record("failed", this.#clock.monotonicMs());
        }
        else {
            this.#finish("failed");
            this.#connection.destroy();
        }
        this.#listener.onError(error, this);
    }

    get #isNotExecuted(): boolean {
        return this.#metadata?.isNotExecuted === true || this.#metadata?.isWrongUpstream === true;
    }

    #recordBytes(): void {
        this.#lastByteAtMs = this.#clock.monotonicMs();
        this.#isSilent = false;
        this.input.upstream.recordResponseBytes(this.#dispatch);
    }

    /** Checks the time of the last byte when the timer fires, so that the timer need not be reset for every byte. */
    #armSilenceTimer(delayMs: number): void {
        this.#silenceTimer = startResponseTimeout(this.#guard.wrap(() => this.#checkSilence()), Math.max(1, delayMs));
    }

    #checkSilence(): void {
        const { silentAfterMs } = this.input;
        const silentMs = this.#isPaused ? 0 : this.#clock.monotonicMs() - this.#lastByteAtMs;
        if (silentMs < silentAfterMs) {
            this.#armSilenceTimer(silentAfterMs - silentMs);
            return;
        }
        const isFirstReport = !this.#isSilent;
        this.#isSilent = true;
        this.#armSilenceTimer(SilenceReportIntervalMs);
        this.#listener.onSilence({ silentMs: Math.round(silentMs), isFirstReport }, this);
    }

    #finish(outcome: DispatchOutcome): void {
        this.#hasEnded = true;
        this.#silenceTimer?.cancel();
        this.input.upstream.endDispatch(this.#dispatch, outcome);
    }
}
