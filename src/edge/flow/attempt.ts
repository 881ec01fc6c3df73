/** One send of a request to one upstream. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { ResponseMetadata } from "../edgeTypes.js";
import type { HeaderCodec } from "../protocolCodec.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { ExchangeFailure, SerialisedRequest, UpstreamConnection } from "../transport/upstreamConnection.js";
import type { OpenDispatch, Upstream } from "../upstream/upstream.js";
import type { DispatchOutcome } from "../upstream/upstreamHealth.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /** A whole answer was handed over; `body` holds what was not relayed on the way. */
    | { readonly status: "answered"; readonly head: ResponseHead; readonly body: Buffer; }
    /** The upstream states that it did not run the request. */
    | { readonly status: "notExecuted"; readonly isWrongUpstream: boolean; readonly statusCode: number; }
    /** No byte was sent. */
    | { readonly status: "unreachable"; readonly detail: string; }
    /** The answer broke off, is invalid or did not come in time: the request may have run. */
    | {
        readonly status: "interrupted";
        readonly reason: "brokenOff" | "malformed" | "silent";
        readonly detail: string;
    };

/** Receives a streamed answer as it arrives. */
export interface AttemptListener {
    /** The request was handed to the kernel. */
    onWritten(bytes: number): void;
    /** @returns Whether the body is handed on as it arrives; otherwise it is collected. */
    onHead(head: ResponseHead): boolean;
    /** @returns Whether the caller keeps up. */
    onBody(bytes: Buffer, attempt: Attempt): boolean;
    onEnd(end: AttemptOutcome): void;
}

/** What an attempt needs. */
export interface AttemptInput {
    readonly upstream: Upstream;
    readonly request: SerialisedRequest;
    readonly requestId: string;
    readonly prefillTokens: number;
    /** Idle time up to which a kept connection is used, in milliseconds. */
    readonly maxIdleMs: number;
    /** Time without a byte after which the upstream counts as silent for placement, in milliseconds. */
    readonly silentAfterMs: number;
    /** Time without a byte after which the attempt is given up; `undefined` waits until the request ends. */
    readonly inactivityTimeoutMs: number | undefined;
}

/** Longest body of an answer that is collected before it is relayed, in bytes. */
const MaxCollectedBytes = 262_144;

/** Sends a request and reports the answer. After {@link cancel} nothing more is reported. */
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
    #facts: ResponseMetadata | undefined;
    #relays = false;
    #isOver = false;
    #isPaused = false;
    #heardAtMs: number;
    #writtenAtMs: number | undefined;
    #silenceTimer: NodeJS.Timeout | undefined;

    constructor(input: AttemptInput, codec: HeaderCodec, clock: Clock, listener: AttemptListener) {
        this.input = input;
        this.#codec = codec;
        this.#clock = clock;
        this.#listener = listener;
        this.#heardAtMs = clock.monotonicMs();
        this.#dispatch = input.upstream.beginDispatch(input.prefillTokens, input.silentAfterMs);
        this.#connection = input.upstream.pool.acquire(input.maxIdleMs);
        this.#armSilence(input.inactivityTimeoutMs);
        this.#connection.send(input.request, {
            isResponseToRequest: head => this.#accepts(head),
            onWritten: () => this.#onWritten(),
            onHead: head => this.#onHead(head),
            onBody: bytes => this.#onBody(bytes),
            onComplete: () => this.#onComplete(),
            onFailure: (failure, detail) => this.#onFailure(failure, detail),
        });
    }

    /** @returns Monotonic time at which the request was written, in milliseconds; `undefined` before the connection is open. */
    get writtenAtMs(): number | undefined {
        return this.#writtenAtMs;
    }

    /** Stops the request at the upstream by closing its connection. */
    cancel(): void {
        if (!this.#isOver) {
            this.#finish("abandoned");
            this.#connection.destroy();
        }
    }

    /** Stops reading until the caller has caught up. */
    pause(): void {
        if (!this.#isOver) {
            this.#isPaused = true;
            this.#connection.pause();
        }
    }

    /** Continues reading. */
    resume(): void {
        if (this.#isPaused) {
            this.#isPaused = false;
            this.#heardAtMs = this.#clock.monotonicMs();
            this.#connection.resume();
        }
    }

    /** An answer without an id is taken only if it is no success: a whole foreign answer must not pass. */
    #accepts(head: ResponseHead): boolean {
        const { requestId } = this.#codec.readResponseHead(head);
        return requestId === undefined ? head.statusCode >= 400 : requestId === this.input.requestId;
    }

    #onWritten(): void {
        this.#writtenAtMs = this.#clock.monotonicMs();
        const { head, body } = this.input.request;
        this.#listener.onWritten(head.length + (body?.length ?? 0));
    }

    #onHead(head: ResponseHead): void {
        this.#heard();
        this.#head = head;
        this.#facts = this.#codec.readResponseHead(head);
        this.#noteWishes(this.#facts);
        if (head.statusCode < 300 && !this.#facts.hasSignature) {
            this.#interrupt("malformed", "a success without the upstream's signature");
            return;
        }
        this.#relays = !this.#isNotExecuted && this.#listener.onHead(head);
    }

    /** Takes over what the upstream says of itself; an answer of another one at its address says nothing of it. */
    #noteWishes({ isLeaving, isWrongUpstream, retryAfterMs }: ResponseMetadata): void {
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
            log.info("upstream wants no requests", {
                upstream: upstream.entry.id,
                forMs: retryAfterMs,
                statedTo: requestId,
            });
        }
    }

    #onBody(bytes: Buffer): void {
        this.#heard();
        if (this.#relays) {
            if (!this.#listener.onBody(bytes, this)) {
                this.pause();
            }
            return;
        }
        this.#collectedBytes += bytes.length;
        if (this.#collectedBytes > MaxCollectedBytes) {
            this.#interrupt("malformed", "the answer is too long to be collected");
            return;
        }
        this.#collected.push(bytes);
    }

    #onComplete(): void {
        const head = this.#head;
        if (head === undefined || this.#isOver) {
            return;
        }
        this.resume();
        this.input.upstream.pool.release(this.#connection, head);
        if (this.#isNotExecuted) {
            this.#finish("refused");
            const isWrongUpstream = this.#facts?.isWrongUpstream === true;
            this.#listener.onEnd({ status: "notExecuted", isWrongUpstream, statusCode: head.statusCode });
            return;
        }
        this.#finish(head.statusCode >= 500 ? "failed" : "answered");
        this.#listener.onEnd({ status: "answered", head, body: Buffer.concat(this.#collected) });
    }

    #onFailure(failure: ExchangeFailure, detail: string): void {
        if (this.#isOver) {
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
        if (this.#isOver) {
            return;
        }
        this.#finish(reason === "silent" ? "silent" : "failed");
        this.#connection.destroy();
        this.#listener.onEnd({ status: "interrupted", reason, detail });
    }

    get #isNotExecuted(): boolean {
        return this.#facts?.isNotExecuted === true || this.#facts?.isWrongUpstream === true;
    }

    #heard(): void {
        this.#heardAtMs = this.#clock.monotonicMs();
        this.input.upstream.recordResponseBytes(this.#dispatch);
    }

    /** One timer serves many bytes: it looks at the last one when it fires. */
    #armSilence(limitMs: number | undefined): void {
        if (limitMs === undefined) {
            return;
        }
        const silentMs = this.#isPaused ? 0 : this.#clock.monotonicMs() - this.#heardAtMs;
        const remainingMs = limitMs - silentMs;
        if (remainingMs <= 0) {
            this.#interrupt("silent", `no byte for ${Math.round(limitMs)} ms`);
            return;
        }
        this.#silenceTimer = setTimeout(() => this.#armSilence(limitMs), Math.max(1, remainingMs));
    }

    #finish(result: DispatchOutcome): void {
        this.#isOver = true;
        clearTimeout(this.#silenceTimer);
        this.input.upstream.endDispatch(this.#dispatch, result);
    }
}
