/** One dispatch of a request to one upstream: classification of its end and the check of its answer. */
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

/** Bytes of a refusal's body that are kept for the error message. */
const MaxRefusalBytes = 512;

/** Wait before a refused request is worth another try, when the upstream names none. */
const RetryRefusedMs = 1_000;

/** What an attempt sends and to whom. */
export interface AttemptRequest {
    readonly requestId: string;
    readonly upstream: string;
    readonly long: boolean;
    readonly responseKind: ResponseKind;
    readonly call: UpstreamCallRequest;
}

/** How an attempt ended. */
export interface AttemptResult {
    readonly dispatchResult: DispatchResult;
    /** Absent when the answer is whole. */
    readonly code: ResultCodeName | undefined;
    /** Whether the upstream definitely did not run the request. */
    readonly definitelyNotRun: boolean;
    readonly detail: string | undefined;
    readonly retryAfterMs: number | undefined;
}

/** Receives what an attempt produces. */
export interface AttemptListener {
    /** Checked bytes of the answer; `undefined` when the answer is whole and has no body. */
    onResponseBytes(attempt: Attempt, bytes: Buffer | undefined): void;
    /** The attempt ended; not called after {@link Attempt.cancel}. */
    onEnd(attempt: Attempt, result: AttemptResult): void;
}

/** Head of an answer. */
export interface ResponseHead {
    readonly statusCode: number;
    readonly headers: IncomingHttpHeaders;
}

/** A dispatch in progress. */
export class Attempt implements UpstreamCallListener {
    readonly upstream: string;
    reader: ResponseReader;
    head: ResponseHead | undefined;
    readonly #request: AttemptRequest;
    readonly #kernel: Kernel;
    readonly #listener: AttemptListener;
    readonly #startedAtMs = performance.now();
    readonly #call: UpstreamCall;
    #refusal: "refused" | "leaving" | undefined;
    #refusalText = "";
    #firstSeen = false;
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
            this.#report("cancelled");
        }
    }

    /** @returns Whether a byte of the request may have reached the upstream. */
    get sent(): boolean {
        return this.#call.sent;
    }

    pause(): void {
        this.#call.pause();
    }

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
            this.reader = new ServiceResponseReader(isFramed(this.#request.call.method, statusCode, headers));
        }
        const accepted = this.#request.responseKind === "service" ? statusCode < 400 : statusCode === 200;
        if (!accepted) {
            this.#fail("failed", "UpstreamFailed", `status ${statusCode}`);
        }
    }

    onData(chunk: Buffer): void {
        if (this.#refusal === undefined) {
            this.#take(this.reader.push(chunk));
        }
        else if (this.#refusalText.length < MaxRefusalBytes) {
            this.#refusalText += chunk.toString("utf8", 0, MaxRefusalBytes);
        }
    }

    onEnd(ending: UpstreamCallOutcome): void {
        if (this.#ended) {
            return;
        }
        if (this.#refusal !== undefined) {
            this.#refuse(this.#refusal);
        }
        else if (ending.status === "ended") {
            this.#take(this.reader.finish());
        }
        else if (!ending.sent) {
            this.#finish("unreachable", {
                code: "NoUpstream",
                definitelyNotRun: true,
                detail: ending.reason,
                retryAfterMs: undefined,
            });
        }
        else {
            this.#fail(
                ending.timedOut ? "timeout" : "failed",
                ending.timedOut ? "UpstreamTimeout" : "UpstreamFailed",
                ending.reason,
            );
        }
    }

    #take(step: ReadResult): void {
        if (this.#ended) {
            return;
        }
        if (step.bytesToForward !== undefined || step.status === "whole") {
            this.#seeFirst();
            this.#listener.onResponseBytes(this, step.bytesToForward);
        }
        if (step.status === "whole" && !this.#ended) {
            this.#finish("complete", {
                code: undefined,
                definitelyNotRun: false,
                detail: undefined,
                retryAfterMs: undefined,
            });
        }
        else if (step.status === "mismatch") {
            this.#fail("failed", "AnswerMismatch");
        }
        else if (step.status === "invalid") {
            this.#fail("failed", "UpstreamFailed", "the answer is not whole");
        }
    }

    /** An answer that is not streamed has no first token of its own, so none is reported. */
    #seeFirst(): void {
        if (!this.#firstSeen && this.#request.responseKind !== "chatJson") {
            const { requestId, upstream } = this.#request;
            const latencyMs = performance.now() - this.#startedAtMs;
            this.#kernel.post({ type: "firstTokenSeen", requestId, upstream, latencyMs });
        }
        this.#firstSeen = true;
    }

    #refuse(refusal: "refused" | "leaving"): void {
        const seconds = Number(this.head?.headers["retry-after"]);
        this.#finish(refusal, {
            code: "UpstreamRefused",
            definitelyNotRun: true,
            detail: `status ${this.head?.statusCode ?? 0} ${this.#refusalText}`.trim().slice(0, MaxRefusalBytes),
            retryAfterMs: Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : this.#defaultRetryMs(refusal),
        });
    }

    /** A refusal for lack of room passes; one of the request itself does not. */
    #defaultRetryMs(refusal: "refused" | "leaving"): number | undefined {
        return refusal === "leaving" || this.head?.statusCode === 429 ? RetryRefusedMs : undefined;
    }

    #fail(result: DispatchResult, code: ResultCodeName, detail?: string): void {
        if (this.#ended) {
            return;
        }
        this.#call.cancel();
        this.#finish(result, { code, definitelyNotRun: false, detail, retryAfterMs: undefined });
    }

    #finish(dispatchResult: DispatchResult, facts: Omit<AttemptResult, "dispatchResult">): void {
        this.#report(dispatchResult);
        this.#listener.onEnd(this, { dispatchResult, ...facts });
    }

    #report(result: DispatchResult): void {
        this.#ended = true;
        const { requestId, upstream } = this.#request;
        const durationMs = performance.now() - this.#startedAtMs;
        const { outputTokens } = this.reader;
        this.#kernel.post({ type: "dispatchEnded", requestId, upstream, result, durationMs, outputTokens });
    }
}

/** @returns Whether the end of the answer can be told from the end of its connection. */
function isFramed(method: string, statusCode: number, headers: IncomingHttpHeaders): boolean {
    return method === "HEAD" || statusCode === 204 || statusCode === 304 || headers["content-length"] !== undefined ||
        headers["transfer-encoding"] !== undefined;
}
