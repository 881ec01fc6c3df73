/** Checks whether an answer is whole while it is relayed, and reads the usage that it reports. */

/** Usage as an upstream reports it. */
export interface ReportedUsage {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** What follows from a piece of an answer. */
export interface ReadResult {
    /** Bytes that may be passed on. */
    readonly bytesToForward: Buffer | undefined;
    /** `whole` and `invalid` are final. */
    readonly status: "open" | "whole" | "invalid" | "mismatch";
}

/** Largest JSON answer and largest single event, in bytes; bounds the memory of one request. */
export const MaxBufferedResponseBytes = 16_777_216;

/** Follows one answer. */
export abstract class ResponseReader {
    usage: ReportedUsage | undefined;
    /** Chunks with content that were passed on. */
    contentChunks = 0;

    abstract push(chunk: Buffer): ReadResult;

    /** The connection reports the end of the body. */
    abstract finish(): ReadResult;

    /** @returns Output tokens delivered so far. */
    get outputTokens(): number {
        return Math.max(this.usage?.outputTokens ?? 0, this.contentChunks);
    }
}

const Open: ReadResult = { bytesToForward: undefined, status: "open" };
const Invalid: ReadResult = { bytesToForward: undefined, status: "invalid" };

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

function tokenCount(value: unknown): number | undefined {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}

function readUsage(usage: UsageJson | null | undefined): ReportedUsage | undefined {
    const promptTokens = tokenCount(usage?.prompt_tokens);
    const outputTokens = tokenCount(usage?.completion_tokens);
    return promptTokens === undefined || outputTokens === undefined ? undefined : { promptTokens, outputTokens };
}

const DoneMark = "[DONE]";

/** Reads a server-sent event stream of chat chunks. Only complete events are passed on. */
export class ChatStreamReader extends ResponseReader {
    #rest: Buffer | undefined;
    #finished = false;
    #chunkId: unknown = undefined;

    override push(chunk: Buffer): ReadResult {
        const data = this.#rest === undefined ? chunk : Buffer.concat([this.#rest, chunk]);
        const end = endOfLastEvent(data);
        this.#rest = end === data.length ? undefined : data.subarray(end);
        if (end === 0) {
            return data.length > MaxBufferedResponseBytes ? Invalid : Open;
        }
        return this.#readEvents(data.subarray(0, end));
    }

    override finish(): ReadResult {
        return Invalid;
    }

    #readEvents(data: Buffer): ReadResult {
        // Latin-1 keeps one character per byte, so that positions in the text are positions in the data.
        const text = data.toString("latin1");
        let start = 0;
        while (start < text.length) {
            const end = endOfEvent(text, start);
            const payload = payloadOf(text.slice(start, end));
            if (payload === DoneMark && this.#finished) {
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
        this.usage = readUsage(chunk.usage) ?? this.usage;
        for (const choice of Array.isArray(chunk.choices) ? chunk.choices : []) {
            if (typeof choice.delta?.content === "string" && choice.delta.content !== "" || choice.delta?.tool_calls) {
                this.contentChunks++;
            }
            this.#finished ||= typeof choice.finish_reason === "string";
        }
        return "open";
    }
}

/** @returns Length of the complete events at the start of the data. */
function endOfLastEvent(data: Buffer): number {
    const plain = data.lastIndexOf("\n\n");
    const carriage = data.lastIndexOf("\r\n\r\n");
    return Math.max(plain < 0 ? 0 : plain + 2, carriage < 0 ? 0 : carriage + 4);
}

/** @returns Position after the empty line that ends the event. */
function endOfEvent(text: string, start: number): number {
    const plain = text.indexOf("\n\n", start);
    if (plain >= 0 && !text.slice(start, plain).includes("\r")) {
        return plain + 2;
    }
    const carriage = text.indexOf("\r\n\r\n", start);
    const ends = [plain < 0 ? text.length : plain + 2, carriage < 0 ? text.length : carriage + 4];
    return Math.min(...ends);
}

/** @returns The data of an event, or `undefined` for a comment. */
function payloadOf(event: string): string | undefined {
    if (event.startsWith("data: ") && !event.includes("\n")) {
        return event.slice(6).trim();
    }
    const lines = event.split(/\r?\n/).filter(line => line.startsWith("data:"));
    return lines.length === 0 ? undefined : lines.map(line => line.slice(5).trim()).join("\n");
}

/** Reads a JSON answer; passes it on when it is complete and parses. */
export class ChatJsonReader extends ResponseReader {
    readonly #pieces: Buffer[] = [];
    #bytes = 0;

    override push(chunk: Buffer): ReadResult {
        this.#pieces.push(chunk);
        this.#bytes += chunk.length;
        return this.#bytes > MaxBufferedResponseBytes ? Invalid : Open;
    }

    override finish(): ReadResult {
        const body = Buffer.concat(this.#pieces);
        try {
            const answer = JSON.parse(body.toString("utf8")) as ChunkJson | null;
            if (typeof answer !== "object" || answer === null || !Array.isArray(answer.choices)) {
                return Invalid;
            }
            this.usage = readUsage(answer.usage);
        }
        catch {
            return Invalid;
        }
        return { bytesToForward: body, status: "whole" };
    }
}

/** Passes on the answer of a plain service as it is. Its framing alone shows whether it is whole. */
export class ServiceResponseReader extends ResponseReader {
    readonly #framed: boolean;

    /** @param framed Whether the head states the length of the body or uses chunks. */
    constructor(framed: boolean) {
        super();
        this.#framed = framed;
    }

    override push(chunk: Buffer): ReadResult {
        return { bytesToForward: chunk, status: "open" };
    }

    override finish(): ReadResult {
        return this.#framed ? { bytesToForward: undefined, status: "whole" } : Invalid;
    }
}
