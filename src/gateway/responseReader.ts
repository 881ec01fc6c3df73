/** Checks whether a response is complete while it is relayed, and reads the usage that it reports. */

import { EventSplitter } from "../base/eventSplitter.js";

/** Token usage that an upstream reports. */
export interface ReportedUsage {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Result of reading a chunk or the end of a response. */
export interface ReadResult {
    /** Bytes that may be forwarded to the caller. */
    readonly bytesToForward: Buffer | undefined;
    /**
     * `open`: more is expected; `whole`: the response is complete; `invalid`: it is malformed or incomplete; `mismatch`:
     * it contains chunks of another response. All but `open` are final.
     */
    readonly status: "open" | "whole" | "invalid" | "mismatch";
}

/** Maximum size of a JSON response and of a single event, in bytes; bounds the memory of one request. */
export const MaxBufferedResponseBytes = 16_777_216;

/** Reads one response chunk by chunk and checks it. */
export abstract class ResponseReader {
    /** Usage that the upstream reported so far. */
    usage: ReportedUsage | undefined;
    /** Number of chunks with content that were read. */
    contentChunks = 0;

    /** Reads the next chunk of the body. */
    abstract push(chunk: Buffer): ReadResult;

    /** Called when the connection reports the end of the body. */
    abstract finish(): ReadResult;

    /** @returns Number of output tokens read so far: the reported number, but at least one for each chunk with content. */
    get outputTokens(): number {
        return Math.max(this.usage?.outputTokens ?? 0, this.contentChunks);
    }
}

const OpenResult: ReadResult = { bytesToForward: undefined, status: "open" };
const InvalidResult: ReadResult = { bytesToForward: undefined, status: "invalid" };

interface UsageJson {
    readonly prompt_tokens?: unknown;
    readonly completion_tokens?: unknown;
}

interface ChunkJson {
    readonly id?: unknown;
    readonly error?: unknown;
    readonly usage?: UsageJson | null;
    readonly choices?: readonly {
        readonly delta?: { readonly content?: unknown; readonly tool_calls?: unknown; };
        readonly finish_reason?: unknown;
    }[];
}

function parseTokenCount(value: unknown): number | undefined {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}

function parseUsage(usage: UsageJson | null | undefined): ReportedUsage | undefined {
    const promptTokens = parseTokenCount(usage?.prompt_tokens);
    const outputTokens = parseTokenCount(usage?.completion_tokens);
    return promptTokens === undefined || outputTokens === undefined ? undefined : { promptTokens, outputTokens };
}

const DoneMarker = "[DONE]";

/**
 * Reads a server-sent event stream of chat chunks. Only complete events are forwarded. The stream is complete when
 * `[DONE]` follows a finish reason.
 */
export class ChatStreamReader extends ResponseReader {
    readonly #splitter = new EventSplitter(MaxBufferedResponseBytes);
    #hasFinishReason = false;
    #chunkId: unknown = undefined;

    override push(chunk: Buffer): ReadResult {
        const events = this.#splitter.push(chunk).map(({ bytes }) => bytes);
        for (const [index, event] of events.entries()) {
            const payload = extractPayload(event.toString("latin1"));
            if (payload === DoneMarker && this.#hasFinishReason) {
                return { bytesToForward: join(events.slice(0, index + 1)), status: "whole" };
            }
            const status = payload === undefined ? "open" : this.#readChunk(payload);
            if (status !== "open") {
                return { bytesToForward: join(events.slice(0, index)), status };
            }
        }
        return { bytesToForward: join(events), status: this.#splitter.isEventTooLong ? "invalid" : "open" };
    }

    override finish(): ReadResult {
        return InvalidResult;
    }

    #readChunk(payload: string): "open" | "invalid" | "mismatch" {
        let chunk: ChunkJson;
        try {
            chunk = JSON.parse(payload) as ChunkJson;
        }
        catch {
            return "invalid";
        }
        if (typeof chunk !== "object" || chunk === null || chunk.error !== undefined) {
            return "invalid";
        }
        this.#chunkId ??= chunk.id;
        if (chunk.id !== this.#chunkId) {
            return "mismatch";
        }
        this.usage = parseUsage(chunk.usage) ?? this.usage;
        for (const choice of Array.isArray(chunk.choices) ? chunk.choices : []) {
            if (typeof choice.delta?.content === "string" && choice.delta.content !== "" || choice.delta?.tool_calls) {
                this.contentChunks++;
            }
            this.#hasFinishReason ||= typeof choice.finish_reason === "string";
        }
        return "open";
    }
}

/** @returns The events in one piece; `undefined` if there are none. */
function join(events: readonly Buffer[]): Buffer | undefined {
    return events.length === 0 ? undefined : Buffer.concat(events);
}

/** @returns The data of an event; `undefined` if it has none, for example a comment. */
function extractPayload(event: string): string | undefined {
    if (event.startsWith("data: ") && !event.includes("\n")) {
        return event.slice(6).trim();
    }
    const lines = event.split(/\r?\n/).filter(line => line.startsWith("data:"));
    return lines.length === 0 ? undefined : lines.map(line => line.slice(5).trim()).join("\n");
}

/** Reads a JSON response and forwards it once it is complete and valid. */
export class ChatJsonReader extends ResponseReader {
    readonly #chunks: Buffer[] = [];
    #totalBytes = 0;

    override push(chunk: Buffer): ReadResult {
        this.#chunks.push(chunk);
        this.#totalBytes += chunk.length;
        return this.#totalBytes > MaxBufferedResponseBytes ? InvalidResult : OpenResult;
    }

    override finish(): ReadResult {
        const body = Buffer.concat(this.#chunks);
        try {
            const response = JSON.parse(body.toString("utf8")) as ChunkJson | null;
            if (typeof response !== "object" || response === null || !Array.isArray(response.choices)) {
                return InvalidResult;
            }
            this.usage = parseUsage(response.usage);
        }
        catch {
            return InvalidResult;
        }
        return { bytesToForward: body, status: "whole" };
    }
}

/** Forwards the response of a plain service unchanged. Whether it is complete is known from its connection alone. */
export class ServiceResponseReader extends ResponseReader {
    override push(chunk: Buffer): ReadResult {
        return { bytesToForward: chunk, status: "open" };
    }

    override finish(): ReadResult {
        return { bytesToForward: undefined, status: "whole" };
    }
}
