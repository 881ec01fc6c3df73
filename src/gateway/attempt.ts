/** One dispatch of a request to one upstream: classification of its end and the check of its answer. */
import type { IncomingHttpHeaders } from "node:http";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { DispatchResult } from "../features/upstream/upstreamTypes.js";
import type { Kernel } from "../kernel/kernel.js";
import {
    type AnswerReader,
    ChatJsonReader,
    ChatStreamReader,
    type ReadStep,
    ServiceAnswerReader,
} from "./answerReader.js";
import type { AnswerKind } from "./gatewayParts.js";
import type { CallEnding, CallListener, UpstreamCall, UpstreamCallRequest, UpstreamClient } from "./upstreamClient.js";

/** Bytes of a refusal's body that are kept for the error message. */
const MaxRefusalBytes = 512;

/** Wait before a refused request is worth another try, when the upstream names none. */
const RetryRefusedMs = 1_000;

/** What an attempt sends and to whom. */
export interface AttemptRequest {
    readonly requestId: string;
    readonly upstream: string;
    readonly long: boolean;
    readonly answerKind: AnswerKind;
    readonly call: UpstreamCallRequest;
}

/** How an attempt ended. */
export interface AttemptResult {
    readonly result: DispatchResult;
    /** Absent when the answer is whole. */
    readonly code: ResultCodeName | undefined;
    /** Whether the upstream definitely did not run the request. */
    readonly notRun: boolean;
    readonly detail: string | undefined;
    readonly retryAfterMs: number | undefined;
}

/** Receives what an attempt produces. */
export interface AttemptListener {
    /** Checked bytes of the answer; `undefined` when the answer is whole and has no body. */
    onForward(attempt: Attempt, bytes: Buffer | undefined): void;
    /** The attempt ended; not called after {@link Attempt.cancel}. */
    onEnd(attempt: Attempt, result: AttemptResult): void;
}

/** Head of an answer. */
export interface AnswerHead {
    readonly statusCode: number;
    readonly headers: IncomingHttpHeaders;
}

/** A dispatch in progress. */
export class Attempt implements CallListener {
    readonly upstream: string;
    reader: AnswerReader;
    head: AnswerHead | undefined;
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
        this.reader = request.answerKind === "chatStream" ? new ChatStreamReader() : new ChatJsonReader();
        const { requestId, upstream, long } = request;
        const streaming = request.answerKind === "chatStream";
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
        if (this.#request.answerKind === "service") {
            this.reader = new ServiceAnswerReader(isFramed(this.#request.call.method, statusCode, headers));
        }
        const accepted = this.#request.answerKind === "service" ? statusCode < 400 : statusCode === 200;
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

    onEnd(ending: CallEnding): void {
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
                notRun: true,
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

    #take(step: ReadStep): void {
        if (this.#ended) {
            return;
        }
        if (step.forward !== undefined || step.verdict === "whole") {
            this.#seeFirst();
            this.#listener.onForward(this, step.forward);
        }
        if (step.verdict === "whole" && !this.#ended) {
            this.#finish("complete", { code: undefined, notRun: false, detail: undefined, retryAfterMs: undefined });
        }
        else if (step.verdict === "mismatch") {
            this.#fail("failed", "AnswerMismatch");
        }
        else if (step.verdict === "invalid") {
            this.#fail("failed", "UpstreamFailed", "the answer is not whole");
        }
    }

    /** An answer that is not streamed has no first token of its own, so none is reported. */
    #seeFirst(): void {
        if (!this.#firstSeen && this.#request.answerKind !== "chatJson") {
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
            notRun: true,
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
        this.#finish(result, { code, notRun: false, detail, retryAfterMs: undefined });
    }

    #finish(result: DispatchResult, facts: Omit<AttemptResult, "result">): void {
        this.#report(result);
        this.#listener.onEnd(this, { result, ...facts });
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
