/** Reads the events of a streamed chat answer. */

/** What a piece of a stream told. */
export interface StreamFacts {
    /** Content chunks seen so far. */
    readonly tokens: number;
    readonly promptTokens: number | undefined;
    readonly outputTokens: number | undefined;
    readonly done: boolean;
    /** Name of the code of an error event. */
    readonly errorName: string | undefined;
    readonly errorRan: string | undefined;
}

interface ChunkBody {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly name?: string; readonly ran?: string; };
}

/** Collects facts from pieces of a `text/event-stream` body. */
export class SseReader {
    #rest = "";
    #facts: StreamFacts = {
        tokens: 0,
        promptTokens: undefined,
        outputTokens: undefined,
        done: false,
        errorName: undefined,
        errorRan: undefined,
    };

    /** @returns Everything known so far. */
    get facts(): StreamFacts {
        return this.#facts;
    }

    /** @returns Number of content chunks in the piece. */
    push(piece: string): number {
        const lines = (this.#rest + piece).split("\n");
        this.#rest = lines.pop()!;
        const before = this.#facts.tokens;
        for (const line of lines.filter(one => one.startsWith("data:"))) {
            this.#handle(line.slice("data:".length).trim());
        }
        return this.#facts.tokens - before;
    }

    #handle(data: string): void {
        if (data === "[DONE]") {
            this.#facts = { ...this.#facts, done: true };
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
            this.#facts = { ...this.#facts, errorName: body.error.name ?? "unnamed", errorRan: body.error.ran };
        }
        const content = body.choices?.[0]?.delta?.content ?? "";
        this.#facts = {
            ...this.#facts,
            tokens: this.#facts.tokens + (content === "" ? 0 : 1),
            promptTokens: body.usage?.prompt_tokens ?? this.#facts.promptTokens,
            outputTokens: body.usage?.completion_tokens ?? this.#facts.outputTokens,
        };
    }
}
