/** Sends the requests of a load and records their responses. */
import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import type { Random } from "../base/random.js";
import type { Arrival } from "./arrivals.js";
import type { LoadRecord } from "./loadRecord.js";
import type { Range, RequestClass } from "./loadScenario.js";
import { SseReader } from "./sseReader.js";

/** Receives events while responses arrive. */
export interface LoadListener {
    /** Output tokens have arrived; `gapMs` is the time since the previous ones, `undefined` for the first. */
    onTokens(arrival: Arrival, count: number, gapMs: number | undefined): void;
}

/** A request that is ready to be sent. */
interface PreparedRequest {
    readonly url: string;
    readonly method: "GET" | "POST";
    readonly headers: Record<string, string>;
    readonly body: string | undefined;
    readonly promptBytes: number;
}

/** Fields of a record that a response determines. */
type ResponseSummary = Pick<LoadRecord, "outcome" | "code" | "ran" | "promptTokens" | "outputTokens"> & {
    readonly firstTokenAtMs?: number;
    readonly retryAfterS?: number;
    readonly requestId?: string;
};

/** Fields of a JSON body that the client reads. */
interface JsonResponse {
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly name?: string; readonly ran?: string; };
}

/** Sends requests over persistent connections and records how they end. */
export class LoadClient {
    readonly #agent = new Agent({ connections: 1_024, pipelining: 1, keepAliveTimeout: 3_000 });
    readonly #random: Random;
    readonly #timeoutMs: number;
    readonly #listener: LoadListener;
    readonly #nowMs: () => number;

    /**
     * @param random Source of prompts and lengths.
     * @param timeoutMs Maximum time until a request ends, in milliseconds.
     * @param nowMs Time since the start of the run, in milliseconds.
     */
    constructor(random: Random, timeoutMs: number, listener: LoadListener, nowMs: () => number) {
        this.#random = random;
        this.#timeoutMs = timeoutMs;
        this.#listener = listener;
        this.#nowMs = nowMs;
    }

    /**
     * Sends a request and waits for its end. Never throws: failures are in the record.
     * @param router URL of the router.
     */
    async send(arrival: Arrival, requestClass: RequestClass, router: string): Promise<LoadRecord> {
        const prepared = this.#prepare(requestClass, router);
        const sentAtMs = this.#nowMs();
        let summary: ResponseSummary;
        try {
            summary = await this.#exchange(arrival, requestClass, prepared);
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? (error as Error).name;
            summary = { outcome: "failed", code, ran: "unknown", promptTokens: 0, outputTokens: 0 };
        }
        const { firstTokenAtMs, retryAfterS, requestId, ...outcomeFields } = summary;
        return {
            phase: arrival.phase,
            requestClass: arrival.requestClass,
            requestId: requestId ?? "",
            router,
            dueAtMs: arrival.atMs,
            sentAtMs,
            endedAtMs: this.#nowMs(),
            ...(firstTokenAtMs === undefined ? {} : { firstTokenMs: firstTokenAtMs - sentAtMs }),
            ...(retryAfterS === undefined ? {} : { retryAfterS }),
            ...outcomeFields,
            promptBytes: prepared.promptBytes,
            ...(requestClass.maxTokens === undefined ? {} : { maxTokens: requestClass.maxTokens }),
        };
    }

    /** Closes all connections; requests that are still open fail. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }

    #prepare(requestClass: RequestClass, router: string): PreparedRequest {
        const { key, kind, grant, keyed, model, method, path } = requestClass;
        const headers: Record<string, string> = { authorization: `Bearer ${key}`, "content-type": "application/json" };
        if (kind !== "") {
            headers["x-request-kind"] = kind;
        }
        if (grant !== "") {
            headers["x-priority-grant"] = grant;
        }
        if (keyed) {
            headers["idempotency-key"] = randomUUID();
        }
        const prompt = this.#createPrompt(requestClass);
        const isChat = model !== "";
        const body = isChat ? this.#chatBody(requestClass, prompt) : method === "GET" ? undefined : prompt;
        const url = `${router}${isChat ? "/v1/chat/completions" : path}`;
        return { url, method: isChat ? "POST" : method, headers, body, promptBytes: Buffer.byteLength(prompt) };
    }

    #createPrompt({ promptBytes, prefixes }: RequestClass): string {
        const length = this.#draw(promptBytes);
        const start = prefixes === 0 ? this.#random.hex(16) : `prefix ${this.#random.integer(prefixes)} `;
        return start.padEnd(length, "lorem ipsum ").slice(0, Math.max(1, length));
    }

    #chatBody({ model, stream, outputTokens, maxTokens }: RequestClass, prompt: string): string {
        return JSON.stringify({
            model,
            messages: [{ role: "user", content: prompt }],
            stream,
            ...(maxTokens === undefined ? {} : { max_tokens: maxTokens }),
            // The upstream stand-in reads the length of its output from this field.
            metadata: { outputTokens: String(Math.max(1, this.#draw(outputTokens))) },
        });
    }

    #draw(range: Range): number {
        return Math.round(range.min + this.#random.next() * (range.max - range.min));
    }

    async #exchange(arrival: Arrival, requestClass: RequestClass, prepared: PreparedRequest): Promise<ResponseSummary> {
        const { url, method, headers, body } = prepared;
        const signal = AbortSignal.timeout(this.#timeoutMs);
        const response = await request(url, { method, headers, body, signal, dispatcher: this.#agent });
        const requestId = String(response.headers["x-request-id"] ?? "");
        if (response.statusCode >= 300) {
            const retryAfter = response.headers["retry-after"];
            const error = (await response.body.json() as JsonResponse).error;
            return {
                requestId,
                outcome: error?.ran === "no" ? "refused" : "failed",
                code: error?.name ?? String(response.statusCode),
                ran: error?.ran ?? "unknown",
                promptTokens: 0,
                outputTokens: 0,
                ...(retryAfter === undefined ? {} : { retryAfterS: Number(retryAfter) }),
            };
        }
        const summary = requestClass.model !== "" && requestClass.stream ?
            await this.#readStream(arrival, response.body) :
            await this.#readWhole(arrival, requestClass, response.body);
        return { requestId, ...summary };
    }

    async #readStream(arrival: Arrival, body: AsyncIterable<Buffer>): Promise<ResponseSummary> {
        const reader = new SseReader();
        let firstTokenAtMs: number | undefined;
        let lastTokenAtMs: number | undefined;
        let hasFailed = false;
        try {
            for await (const piece of body) {
                const count = reader.push(piece.toString("utf8"));
                if (count > 0) {
                    const nowMs = this.#nowMs();
                    firstTokenAtMs ??= nowMs;
                    this.#listener.onTokens(
                        arrival,
                        count,
                        lastTokenAtMs === undefined ? undefined : nowMs - lastTokenAtMs,
                    );
                    lastTokenAtMs = nowMs;
                }
            }
        }
        catch {
            hasFailed = true;
        }
        const { summary } = reader;
        const isComplete = summary.done && !hasFailed && summary.errorName === undefined;
        return {
            outcome: isComplete ? "complete" : "cut",
            code: isComplete ? "" : summary.errorName ?? "ConnectionLost",
            ran: isComplete ? "yes" : summary.errorRan ?? "unknown",
            promptTokens: summary.promptTokens ?? 0,
            outputTokens: summary.outputTokens ?? summary.tokens,
            ...(firstTokenAtMs === undefined ? {} : { firstTokenAtMs }),
        };
    }

    async #readWhole(
        arrival: Arrival,
        requestClass: RequestClass,
        body: { text(): Promise<string>; },
    ): Promise<ResponseSummary> {
        const text = await body.text();
        const firstTokenAtMs = this.#nowMs();
        const usage = requestClass.model === "" ? undefined : (JSON.parse(text) as JsonResponse).usage;
        const outputTokens = usage?.completion_tokens ?? 0;
        this.#listener.onTokens(arrival, outputTokens, undefined);
        return {
            outcome: "complete",
            code: "",
            ran: "yes",
            promptTokens: usage?.prompt_tokens ?? 0,
            outputTokens,
            firstTokenAtMs,
        };
    }
}
