/** Checks whether a response is complete while it is relayed, and reads the usage that it reports. */

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
    #incompleteEvent: Buffer | undefined;
    #hasFinishReason = false;
    #chunkId: unknown = undefined;

    override push(chunk: Buffer): ReadResult {
        const data = this.#incompleteEvent === undefined ? chunk : Buffer.concat([this.#incompleteEvent, chunk]);
        const end = findEndOfLastEvent(data);
        this.#incompleteEvent = end === data.length ? undefined : data.subarray(end);
        if (end === 0) {
            return data.length > MaxBufferedResponseBytes ? InvalidResult : OpenResult;
        }
        return this.#readEvents(data.subarray(0, end));
    }

    override finish(): ReadResult {
        return InvalidResult;
    }

    #readEvents(data: Buffer): ReadResult {
        // Latin-1 has one character per byte, so that positions in the text are positions in the data.
        const text = data.toString("latin1");
        let start = 0;
        while (start < text.length) {
            const end = findEndOfEvent(text, start);
            const payload = extractPayload(text.slice(start, end));
            if (payload === DoneMarker && this.#hasFinishReason) {
                return { bytesToForward: data.subarray(0, end), status: "whole" };
            }
            const status = payload === undefined ? "open" : this.#readChunk(payload);
            if (status !== "open") {
                return { bytesToForward: start === 0 ? undefined : data.subarray(0, start), status };
            }
            start = end;
        }
        return { bytesToForward: data, status: "open" };
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

/** @returns Length of the complete events at the start of the data, in bytes; 0 if there is none. */
function findEndOfLastEvent(data: Buffer): number {
    const lfIndex = data.lastIndexOf("\n\n");
    const crlfIndex = data.lastIndexOf("\r\n\r\n");
    return Math.max(lfIndex < 0 ? 0 : lfIndex + 2, crlfIndex < 0 ? 0 : crlfIndex + 4);
}

/** @returns Position after the empty line that ends the event. */
function findEndOfEvent(text: string, start: number): number {
    const lfIndex = text.indexOf("\n\n", start);
    if (lfIndex >= 0 && !text.slice(start, lfIndex).includes("\r")) {
        return lfIndex + 2;
    }
    const crlfIndex = text.indexOf("\r\n\r\n", start);
    const ends = [lfIndex < 0 ? text.length : lfIndex + 2, crlfIndex < 0 ? text.length : crlfIndex + 4];
    return Math.min(...ends);
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
