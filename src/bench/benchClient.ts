/** Client of the router measurement, which calls the router and the upstream with the same code. */
import { Pool } from "undici";

const ChatPath = "/v1/chat/completions";

function body(streamed: boolean): string {
    const messages = [{ role: "user", content: "How long does the large drum take on a Saturday?" }];
    return JSON.stringify({ model: "assistant", messages, max_tokens: 64, ...(streamed ? { stream: true } : {}) });
}

/** Sends requests to one URL over persistent connections. */
export class BenchClient {
    readonly #pool: Pool;
    readonly #key: string;
    #requestCount = 0;

    constructor(url: string, key: string) {
        this.#pool = new Pool(url, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
        this.#key = key;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    /**
     * Sends one short request. Throws when its status is not 200.
     * @returns Duration of the request, in milliseconds.
     */
    async short(): Promise<number> {
        const startedAtMs = performance.now();
        const response = await this.#pool.request({
            method: "POST",
            path: ChatPath,
            headers: this.#headers(),
            body: body(false),
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
            throw new Error(`status ${response.statusCode}: ${text}`);
        }
        return performance.now() - startedAtMs;
    }

    /**
     * Runs several sequences of short requests concurrently.
     * @param concurrency Number of sequences.
     * @returns Requests per second.
     */
    async shortRate(concurrency: number, durationMs: number): Promise<number> {
        const startedAtMs = performance.now();
        let count = 0;
        await Promise.all(Array.from({ length: concurrency }, async () => {
            while (performance.now() - startedAtMs < durationMs) {
                await this.short();
                count++;
            }
        }));
        return count / (performance.now() - startedAtMs) * 1_000;
    }

    /**
     * Runs one stream to its end. Rejects when its status is not 200 or it ends without `[DONE]`.
     * @param onChunks Called with the number of chunks in each piece of data that arrives.
     */
    stream(onChunks: (count: number) => void): Promise<void> {
        return new Promise((resolve, reject) => {
            let lastData = "";
            this.#pool.dispatch({ method: "POST", path: ChatPath, headers: this.#headers(), body: body(true) }, {
                onRequestStart: () => undefined,
                onResponseStart: (_controller, status) => {
                    if (status !== 200) {
                        reject(new Error(`status ${status}`));
                    }
                },
                onResponseData: (_controller, data) => {
                    lastData = data.toString("latin1");
                    onChunks(lastData.split("\n\n").length - 1);
                },
                onResponseEnd: () => lastData.includes("[DONE]") ? resolve() : reject(new Error("cut")),
                onResponseError: (_controller, error) => reject(error),
            });
        });
    }

    #headers(): Record<string, string> {
        this.#requestCount++;
        return {
            "content-type": "application/json",
            "authorization": `Bearer ${this.#key}`,
            // The upstream echoes the id when it is called directly; the router replaces it.
            "x-request-id": `bench-${this.#requestCount}`,
        };
    }
}
