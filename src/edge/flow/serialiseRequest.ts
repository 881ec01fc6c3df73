/** Serialises requests for upstream connections. */
import { isHeaderText } from "../../base/headerSyntax.js";
import type { SerialisedRequest } from "../transport/upstreamConnection.js";

/** Methods whose requests carry a `Content-Length` even without a body. */
const BodyMethods: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/**
 * Serialises a request as HTTP/1.1.
 * @param target Path and query, unchanged.
 * @param headers Alternating names and values, without framing headers.
 * @throws Error when a value is no header text: names in the configuration and ids of events may hold line ends, or characters that
 * become line ends when they are written as Latin-1.
 */
export function serialiseRequest(
    method: string,
    target: string,
    headers: readonly string[],
    body: Buffer | undefined,
): SerialisedRequest {
    let head = `${method} ${target} HTTP/1.1\r\n`;
    for (let index = 0; index < headers.length; index += 2) {
        if (!isHeaderText(headers[index + 1]!)) {
            throw new Error(`the value of the header ${headers[index]} cannot be sent`);
        }
        head += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    if (body !== undefined || BodyMethods.has(method)) {
        head += `Content-Length: ${body?.length ?? 0}\r\n`;
    }
    return { method, head: `${head}\r\n`, body };
}
