/** Operator endpoints of routers over HTTP. */
import { request } from "undici";
import { OperatorClient } from "./controlContext.js";

/** Calls operator endpoints with a bearer token. */
export class HttpOperatorClient extends OperatorClient {
    readonly #token: string | undefined;
    readonly #timeoutMs: number;

    constructor(token: string | undefined, timeoutMs: number) {
        super();
        this.#token = token;
        this.#timeoutMs = timeoutMs;
    }

    override get hasToken(): boolean {
        return this.#token !== undefined;
    }

    override async call(
        address: string,
        method: "GET" | "POST",
        path: string,
    ): Promise<{ readonly httpStatus: number; readonly body: unknown; } | undefined> {
        try {
            const answer = await request(`http://${address}${path}`, {
                method,
                headers: { authorization: `Bearer ${this.#token}` },
                signal: AbortSignal.timeout(this.#timeoutMs),
            });
            const text = await answer.body.text();
            return { httpStatus: answer.statusCode, body: text === "" ? undefined : JSON.parse(text) };
        }
        catch {
            return undefined;
        }
    }
}
