/** Caller that sends its requests one after another on one kept connection, for specs. */
import { Agent, type IncomingHttpHeaders, request } from "node:http";

/** What a caller received for one request. */
export interface CallerAnswer {
    /** Status code; `undefined` when the connection was closed without a response. */
    readonly status: number | undefined;
    readonly headers: IncomingHttpHeaders;
    /** Number of words that the engine wrote. */
    readonly wordCount: number;
    /** Name of the error and execution state that the response states, as `NAME ran=STATE`. */
    readonly error: string | undefined;
    /** Whether the response ended as its framing announced. */
    readonly isWhole: boolean;
    readonly durationMs: number;
}

/** A request that is sent, whose body may still be incomplete. */
export interface SentRequest {
    readonly answer: Promise<CallerAnswer>;
    /** Resolves with the status code when the head of the response arrives, or with `undefined` when there is none. */
    readonly head: Promise<number | undefined>;
    /** Sends the rest of the body. */
    finish(rest: string): void;
}

/** Caller with one connection, which it keeps until the router closes it. */
export class KeptConnectionCaller {
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
    readonly #url: string;
    readonly #apiKey: string;

    /** @param url Base URL of the router. */
    constructor(url: string, apiKey: string) {
        this.#url = url;
        this.#apiKey = apiKey;
    }

    /** Sends a chat request that allows the given number of output tokens and gets as many. */
    chat(outputTokens: number, fields: Readonly<Record<string, unknown>> = {}): SentRequest {
        const body = {
            model: "assistant",
            messages: [{ role: "user", content: "hello" }],
            max_tokens: outputTokens,
            metadata: { outputTokens: String(outputTokens) },
            ...fields,
        };
        return this.send("POST", "/v1/chat/completions", JSON.stringify(body));
    }

    /** Calls the plain service; such a call must not be repeated. */
    sell(key: string): SentRequest {
        return this.send("POST", "/services/sales/buy", "10 tokens", { "idempotency-key": key });
    }

    /**
     * Sends a request.
     * @param pendingBytes Length of the part of the body that {@link SentRequest.finish} sends later.
     */
    send(
        method: string,
        path: string,
        body: string,
        headers: Readonly<Record<string, string>> = {},
        pendingBytes = 0,
    ): SentRequest {
        const startedAtMs = performance.now();
        const outgoing = request(`${this.#url}${path}`, {
            agent: this.#agent,
            method,
            headers: {
                authorization: `Bearer ${this.#apiKey}`,
                "content-length": Buffer.byteLength(body) + pendingBytes,
                ...headers,
            },
        });
        const head = new Promise<number | undefined>(resolve => {
            outgoing.once("response", response => resolve(response.statusCode));
            outgoing.once("error", () => resolve(undefined));
        });
        const answer = new Promise<CallerAnswer>(resolve => {
            const end = (partial: Omit<CallerAnswer, "durationMs">): void =>
                resolve({ ...partial, durationMs: performance.now() - startedAtMs });
            outgoing.once(
                "error",
                () => end({ status: undefined, headers: {}, wordCount: 0, error: undefined, isWhole: false }),
            );
            outgoing.once("response", response => {
                let text = "";
                response.on("data", (chunk: Buffer) => text += chunk.toString());
                response.on("error", () => undefined);
                response.once("close", () =>
                    end({
                        status: response.statusCode,
                        headers: response.headers,
                        wordCount: text.match(/w\d+ /g)?.length ?? 0,
                        error: text.match(/"name":"(\w+)".*"ran":"(\w+)"/)?.slice(1).join(" ran="),
                        isWhole: response.complete,
                    }));
            });
        });
        outgoing.write(body);
        if (pendingBytes === 0) {
            outgoing.end();
        }
        return { answer, head, finish: rest => outgoing.end(rest) };
    }

    /** Closes the connection. */
    close(): void {
        this.#agent.destroy();
    }
}
