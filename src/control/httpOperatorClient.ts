/** HTTP client for the operator endpoints of routers. */
import { request } from "undici";
import { OperatorClient } from "./controlContext.js";

/**
 * Calls operator endpoints with a bearer token. A call that fails, times out or gets a body that is not JSON returns
 * `undefined`.
 */
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
            const response = await request(`http://${address}${path}`, {
                method,
                headers: { authorization: `Bearer ${this.#token}` },
                signal: AbortSignal.timeout(this.#timeoutMs),
            });
            const text = await response.body.text();
            return { httpStatus: response.statusCode, body: text === "" ? undefined : JSON.parse(text) };
        }
        catch {
            return undefined;
        }
    }
}
