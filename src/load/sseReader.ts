/** Reads the events of a streamed chat response. */

/** Contents of a stream so far. */
export interface StreamSummary {
    /** Number of content chunks. */
    readonly tokens: number;
    readonly promptTokens: number | undefined;
    readonly outputTokens: number | undefined;
    /** Whether `[DONE]` has arrived. */
    readonly done: boolean;
    /** Result code of an error event. */
    readonly errorName: string | undefined;
    /** Whether the request ran, as the error event states. */
    readonly errorRan: string | undefined;
}

/** Fields of an event that the reader uses. */
interface ChunkBody {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly name?: string; readonly ran?: string; };
}

/** Parses a `text/event-stream` body, which may arrive in pieces of any size. */
export class SseReader {
    #incompleteLine = "";
    #summary: StreamSummary = {
        tokens: 0,
        promptTokens: undefined,
        outputTokens: undefined,
        done: false,
        errorName: undefined,
        errorRan: undefined,
    };

    /** @returns Contents of the stream so far. */
    get summary(): StreamSummary {
        return this.#summary;
    }

    /**
     * Parses the next piece of the body.
     * @returns Number of content chunks that the piece completed.
     */
    push(piece: string): number {
        const lines = (this.#incompleteLine + piece).split("\n");
        this.#incompleteLine = lines.pop()!;
        const before = this.#summary.tokens;
        for (const line of lines.filter(one => one.startsWith("data:"))) {
            this.#handle(line.slice("data:".length).trim());
        }
        return this.#summary.tokens - before;
    }

    #handle(data: string): void {
        if (data === "[DONE]") {
            this.#summary = { ...this.#summary, done: true };
            return;
        }
        let body: ChunkBody;
        try {
            body = JSON.parse(data) as ChunkBody;
        }
        catch {
            return;
        }
        if (body.error !== undefined) {
            this.#summary = { ...this.#summary, errorName: body.error.name ?? "unnamed", errorRan: body.error.ran };
        }
        const content = body.choices?.[0]?.delta?.content ?? "";
        this.#summary = {
            ...this.#summary,
            tokens: this.#summary.tokens + (content === "" ? 0 : 1),
            promptTokens: body.usage?.prompt_tokens ?? this.#summary.promptTokens,
            outputTokens: body.usage?.completion_tokens ?? this.#summary.outputTokens,
        };
    }
}
