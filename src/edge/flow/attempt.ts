/** One send of a request to one upstream. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import type { ResponseMetadata } from "../edgeTypes.js";
import type { HeaderCodec } from "../protocolCodec.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { ExchangeFailure, SerialisedRequest, UpstreamConnection } from "../transport/upstreamConnection.js";
import type { OpenDispatch, Upstream } from "../upstream/upstream.js";
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

/** Receives the events of an attempt; nothing more is reported after {@link Attempt.cancel}. */
export interface AttemptListener {
    /** The request was written to the connection. */
    onWritten(bytes: number): void;
    /** @returns Whether to pass the body on as it arrives; otherwise the attempt collects it. */
    onHead(head: ResponseHead): boolean;
    /** @returns Whether the caller keeps up; if not, the attempt pauses until {@link Attempt.resume}. */
    onBody(bytes: Buffer, attempt: Attempt): boolean;
    /** Called once when the attempt has ended by itself. */
    onEnd(outcome: AttemptOutcome): void;
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
    /** Time without a byte after which the choice of upstreams treats this one as silent, in milliseconds. */
    readonly silentAfterMs: number;
    /**
     * Time without a byte after which the attempt is cancelled, in milliseconds; `undefined` when only the deadline of
     * the request ends it.
     */
    readonly inactivityTimeoutMs: number | undefined;
}

/** Maximum size of a response body that is collected before it is relayed, in bytes. */
const MaxCollectedBytes = 262_144;

/** Sends a request to one upstream on construction and reports the response. Reports nothing after {@link cancel}. */
export class Attempt {
    readonly input: AttemptInput;
    readonly #codec: HeaderCodec;
    readonly #clock: Clock;
    readonly #listener: AttemptListener;
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
    #inactivityTimer: ResponseTimeout | undefined;

    constructor(input: AttemptInput, codec: HeaderCodec, clock: Clock, listener: AttemptListener) {
        this.input = input;
        this.#codec = codec;
        this.#clock = clock;
        this.#listener = listener;
        this.#lastByteAtMs = clock.monotonicMs();
        this.#dispatch = input.upstream.beginDispatch(input.prefillTokens, input.silentAfterMs);
        this.#connection = input.upstream.pool.acquire(input.maxIdleMs);
        this.#armInactivityTimer(input.inactivityTimeoutMs);
        this.#connection.send(input.request, {
            isResponseToRequest: head => this.#isResponseToRequest(head),
            onWritten: () => this.#onWritten(),
            onHead: head => this.#onHead(head),
            onBody: bytes => this.#onBody(bytes),
            onComplete: () => this.#onComplete(),
            onFailure: (failure, detail) => this.#onFailure(failure, detail),
        });
    }

    /** @returns Monotonic time at which the request was written, in milliseconds; `undefined` until the connection is open. */
    get writtenAtMs(): number | undefined {
        return this.#writtenAtMs;
    }

    /** Cancels the request at the upstream by closing the connection. */
    cancel(): void {
        if (!this.#hasEnded) {
            this.#finish("abandoned");
            this.#connection.destroy();
        }
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
        this.#isRelaying = !this.#isNotExecuted && this.#listener.onHead(head);
    }

    /**
     * Applies what the upstream states about itself: that it is leaving, or wants a pause. A response from a different
     * upstream at the same address is ignored, as it says nothing about this one.
     */
    #applyUpstreamState({ isLeaving, isWrongUpstream, retryAfterMs }: ResponseMetadata): void {
        const { upstream, requestId } = this.input;
        if (isWrongUpstream) {
            return;
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
            this.#listener.onEnd({ status: "notExecuted", isWrongUpstream, statusCode: head.statusCode });
            return;
        }
        this.#finish(head.statusCode >= 500 ? "failed" : "answered");
        this.#listener.onEnd({ status: "answered", head, body: Buffer.concat(this.#collected) });
    }

    #onFailure(failure: ExchangeFailure, detail: string): void {
        if (this.#hasEnded) {
            return;
        }
        if (failure === "notConnected") {
            this.#finish("unreachable");
            this.#listener.onEnd({ status: "unreachable", detail });
            return;
        }
        this.#finish("failed");
        this.#listener.onEnd({ status: "interrupted", reason: failure, detail });
    }

    #interrupt(reason: "malformed" | "silent", detail: string): void {
        if (this.#hasEnded) {
            return;
        }
        this.#finish(reason === "silent" ? "silent" : "failed");
        this.#connection.destroy();
        this.#listener.onEnd({ status: "interrupted", reason, detail });
    }

    get #isNotExecuted(): boolean {
        return this.#metadata?.isNotExecuted === true || this.#metadata?.isWrongUpstream === true;
    }

    #recordBytes(): void {
        this.#lastByteAtMs = this.#clock.monotonicMs();
        this.input.upstream.recordResponseBytes(this.#dispatch);
    }

    /** Checks the time of the last byte when the timer fires, so that the timer need not be reset for every byte. */
    #armInactivityTimer(limitMs: number | undefined): void {
        if (limitMs === undefined) {
            return;
        }
        const inactiveMs = this.#isPaused ? 0 : this.#clock.monotonicMs() - this.#lastByteAtMs;
        const remainingMs = limitMs - inactiveMs;
        if (remainingMs <= 0) {
            this.#interrupt("silent", `no byte for ${Math.round(limitMs)} ms`);
            return;
        }
        this.#inactivityTimer = startResponseTimeout(
            () => this.#armInactivityTimer(limitMs),
            Math.max(1, remainingMs),
        );
    }

    #finish(outcome: DispatchOutcome): void {
        this.#hasEnded = true;
        this.#inactivityTimer?.cancel();
        this.input.upstream.endDispatch(this.#dispatch, outcome);
    }
}
