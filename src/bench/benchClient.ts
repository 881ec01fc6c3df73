/** The client of the router measurement: the same code calls the router and the upstream directly. */
import { Pool } from "undici";

const ChatPath = "/v1/chat/completions";

function body(streamed: boolean): string {
    const messages = [{ role: "user", content: "How long does the large drum take on a Saturday?" }];
    return JSON.stringify({ model: "assistant", messages, max_tokens: 64, ...(streamed ? { stream: true } : {}) });
}

/** Calls one URL over kept connections. */
export class BenchClient {
    readonly #pool: Pool;
    readonly #key: string;
    #requestCount = 0;

    constructor(url: string, key: string) {
        this.#pool = new Pool(url, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
        this.#key = key;
    }

    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    /** @returns Duration of one short request, in milliseconds. */
    async short(): Promise<number> {
        const startedAtMs = performance.now();
        const answer = await this.#pool.request({
            method: "POST",
            path: ChatPath,
            headers: this.#headers(),
            body: body(false),
        });
        const text = await answer.body.text();
        if (answer.statusCode !== 200) {
            throw new Error(`status ${answer.statusCode}: ${text}`);
        }
        return performance.now() - startedAtMs;
    }

    /**
     * Runs short requests one after another on several lanes.
     * @returns Requests per second.
     */
    async shortRate(lanes: number, durationMs: number): Promise<number> {
        const startedAtMs = performance.now();
        let count = 0;
        await Promise.all(Array.from({ length: lanes }, async () => {
            while (performance.now() - startedAtMs < durationMs) {
                await this.short();
                count++;
            }
        }));
        return count / (performance.now() - startedAtMs) * 1_000;
    }

    /** Runs one stream to its end and counts its chunks. */
    stream(onChunks: (count: number) => void): Promise<void> {
        return new Promise((resolve, reject) => {
            let last = "";
            this.#pool.dispatch({ method: "POST", path: ChatPath, headers: this.#headers(), body: body(true) }, {
                onRequestStart: () => undefined,
                onResponseStart: (_controller, status) => {
                    if (status !== 200) {
                        reject(new Error(`status ${status}`));
                    }
                },
                onResponseData: (_controller, data) => {
                    last = data.toString("latin1");
                    onChunks(last.split("\n\n").length - 1);
                },
                onResponseEnd: () => last.includes("[DONE]") ? resolve() : reject(new Error("cut")),
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
