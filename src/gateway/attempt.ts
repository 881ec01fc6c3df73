/** One dispatch of a request to one upstream: checks the response and classifies how the dispatch ended. */
import type { IncomingHttpHeaders } from "node:http";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { DispatchResult } from "../features/upstream/upstreamTypes.js";
import type { Kernel } from "../kernel/kernel.js";
import type { ResponseKind } from "./gatewayTypes.js";
import {
    ChatJsonReader,
    ChatStreamReader,
    type ReadResult,
    type ResponseReader,
    ServiceResponseReader,
} from "./responseReader.js";
import type {
    UpstreamCall,
    UpstreamCallListener,
    UpstreamCallOutcome,
    UpstreamCallRequest,
    UpstreamClient,
} from "./upstreamClient.js";

/** Maximum number of bytes of a refusal's body that are kept for the error message. */
const MaxRefusalBytes = 512;

/** Wait before a refused request is tried again, when the upstream sends no `Retry-After`. */
const DefaultRetryAfterMs = 1_000;

/** The request that an attempt sends, and the upstream that receives it. */
export interface AttemptRequest {
    readonly requestId: string;
    readonly upstream: string;
    readonly long: boolean;
    readonly responseKind: ResponseKind;
    readonly call: UpstreamCallRequest;
}

/** Outcome of an attempt that was not cancelled. */
export interface AttemptResult {
    readonly dispatchResult: DispatchResult;
    /** Absent when the response is complete. */
    readonly code: ResultCodeName | undefined;
    /** Whether the upstream definitely did not run the request. */
    readonly definitelyNotRun: boolean;
    readonly detail: string | undefined;
    readonly retryAfterMs: number | undefined;
}

/** Receives the checked response bytes and the result of an attempt. */
export interface AttemptListener {
    /** Checked bytes of the response; `undefined` when the response is complete and no more bytes follow. */
    onResponseBytes(attempt: Attempt, bytes: Buffer | undefined): void;
    /** The attempt ended; not called after {@link Attempt.cancel}. */
    onEnd(attempt: Attempt, result: AttemptResult): void;
}

/** Head of an upstream's response. */
export interface ResponseHead {
    readonly statusCode: number;
    readonly headers: IncomingHttpHeaders;
}

/** A dispatch in progress. Posts its start, its first token and its end to the kernel. */
export class Attempt implements UpstreamCallListener {
    readonly upstream: string;
    reader: ResponseReader;
    head: ResponseHead | undefined;
    /** Time from the start to the first checked bytes of the response. */
    firstBytesAfterMs: number | undefined;
    /** Time from the start to the end. */
    durationMs: number | undefined;
    readonly #request: AttemptRequest;
    readonly #kernel: Kernel;
    readonly #listener: AttemptListener;
    readonly #startedAtMs = performance.now();
    readonly #call: UpstreamCall;
    #refusal: "refused" | "leaving" | undefined;
    #refusalText = "";
    #ended = false;

    constructor(kernel: Kernel, client: UpstreamClient, request: AttemptRequest, listener: AttemptListener) {
        this.upstream = request.upstream;
        this.#request = request;
        this.#kernel = kernel;
        this.#listener = listener;
        this.reader = request.responseKind === "chatStream" ? new ChatStreamReader() : new ChatJsonReader();
        const { requestId, upstream, long } = request;
        const streaming = request.responseKind === "chatStream";
        kernel.post({ type: "dispatchStarted", requestId, upstream, long, streaming });
        this.#call = client.call(request.call, this);
    }

    /** Ends the attempt and destroys its connection. */
    cancel(): void {
        if (!this.#ended) {
            this.#call.cancel();
            this.#postDispatchEnded("cancelled");
        }
    }

    /** @returns Whether a byte of the request may have reached the upstream. */
    get sent(): boolean {
        return this.#call.sent;
    }

    /** Stops reading the response until {@link Attempt.resume}. */
    pause(): void {
        this.#call.pause();
    }

    /** Continues reading the response. */
    resume(): void {
        this.#call.resume();
    }

    onHead(statusCode: number, headers: IncomingHttpHeaders): void {
        this.head = { statusCode, headers };
        if (headers["x-request-id"] !== this.#request.requestId) {
            this.#fail("failed", "AnswerMismatch");
            return;
        }
        const leaving = statusCode === 503 && headers["x-upstream-leaving"] === "true";
        if (leaving || statusCode >= 400 && statusCode < 500 && statusCode !== 408) {
            this.#refusal = leaving ? "leaving" : "refused";
            return;
        }
        if (this.#request.responseKind === "service") {
            this.reader = new ServiceResponseReader();
        }
        const accepted = this.#request.responseKind === "service" ? statusCode < 400 : statusCode === 200;
        if (!accepted) {
            this.#fail("failed", "UpstreamFailed", `status ${statusCode}`);
        }
    }

    onData(chunk: Buffer): void {
        if (this.#refusal === undefined) {
            this.#handleReadResult(this.reader.push(chunk));
        }
        else if (this.#refusalText.length < MaxRefusalBytes) {
            this.#refusalText += chunk.toString("utf8", 0, MaxRefusalBytes);
        }
    }

    onEnd(outcome: UpstreamCallOutcome): void {
        if (this.#ended) {
            return;
        }
        if (this.#refusal !== undefined) {
            this.#finishRefused(this.#refusal);
        }
        else if (outcome.status === "ended") {
            this.#handleReadResult(this.reader.finish());
        }
        else if (!outcome.sent) {
            this.#finish("unreachable", {
                code: "NoUpstream",
                definitelyNotRun: true,
                detail: outcome.reason,
                retryAfterMs: undefined,
            });
        }
        else {
            this.#fail(
                outcome.timedOut ? "timeout" : "failed",
                outcome.timedOut ? "UpstreamTimeout" : "UpstreamFailed",
                outcome.reason,
            );
        }
    }

    #handleReadResult(readResult: ReadResult): void {
        if (this.#ended) {
            return;
        }
        if (readResult.bytesToForward !== undefined || readResult.status === "whole") {
            this.#recordFirstBytes();
            this.#listener.onResponseBytes(this, readResult.bytesToForward);
        }
        if (readResult.status === "whole" && !this.#ended) {
            this.#finish("complete", {
                code: undefined,
                definitelyNotRun: false,
                detail: undefined,
                retryAfterMs: undefined,
            });
        }
        else if (readResult.status === "mismatch") {
            this.#fail("failed", "AnswerMismatch");
        }
        else if (readResult.status === "invalid") {
            this.#fail("failed", "UpstreamFailed", "the answer is not whole");
        }
    }

    /** Posts the time of the first token, except for a JSON chat response, which arrives only when it is complete. */
    #recordFirstBytes(): void {
        if (this.firstBytesAfterMs !== undefined) {
            return;
        }
        const latencyMs = performance.now() - this.#startedAtMs;
        this.firstBytesAfterMs = latencyMs;
        if (this.#request.responseKind !== "chatJson") {
            const { requestId, upstream } = this.#request;
            this.#kernel.post({ type: "firstTokenSeen", requestId, upstream, latencyMs });
        }
    }

    #finishRefused(refusal: "refused" | "leaving"): void {
        const seconds = Number(this.head?.headers["retry-after"]);
        this.#finish(refusal, {
            code: "UpstreamRefused",
            definitelyNotRun: true,
            detail: `status ${this.head?.statusCode ?? 0} ${this.#refusalText}`.trim().slice(0, MaxRefusalBytes),
            retryAfterMs: Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : this.#defaultRetryMs(refusal),
        });
    }

    /** A refusal for lack of capacity is temporary; a refusal of the request itself is permanent. */
    #defaultRetryMs(refusal: "refused" | "leaving"): number | undefined {
        return refusal === "leaving" || this.head?.statusCode === 429 ? DefaultRetryAfterMs : undefined;
    }

    #fail(result: DispatchResult, code: ResultCodeName, detail?: string): void {
        if (this.#ended) {
            return;
        }
        this.#call.cancel();
        this.#finish(result, { code, definitelyNotRun: false, detail, retryAfterMs: undefined });
    }

    #finish(dispatchResult: DispatchResult, details: Omit<AttemptResult, "dispatchResult">): void {
        this.#postDispatchEnded(dispatchResult);
        this.#listener.onEnd(this, { dispatchResult, ...details });
    }

    #postDispatchEnded(result: DispatchResult): void {
        this.#ended = true;
        const { requestId, upstream } = this.#request;
        const durationMs = performance.now() - this.#startedAtMs;
        this.durationMs = durationMs;
        const { outputTokens } = this.reader;
        this.#kernel.post({ type: "dispatchEnded", requestId, upstream, result, durationMs, outputTokens });
    }
}
