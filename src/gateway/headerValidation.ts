/** Checks of request heads that guard against request smuggling and ambiguous identities. */
import type { IncomingMessage } from "node:http";
import { ResourceNameSchema } from "../features/config/configTypes.js";

/** Headers that may appear once at most, because two readers could choose different ones. */
const SingleHeaders = new Set([
    "authorization",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "transfer-encoding",
    "x-priority-grant",
    "x-request-kind",
]);

const ControlPattern = /[\x00-\x08\x0a-\x1f\x7f]/;
const AuthorizationPattern = /^Bearer [\x21-\x7e]{1,512}$/i;
const KeyPattern = /^[\x21-\x7e]{1,255}$/;
const LengthPattern = /^\d{1,15}$/;

/** @returns What is wrong with the head of a request, or `undefined` if nothing is. */
export function validateHeaders(incoming: IncomingMessage): string | undefined {
    const seen = new Set<string>();
    const { rawHeaders } = incoming;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (ControlPattern.test(rawHeaders[index + 1]!)) {
            return `control character in ${name}`;
        }
        if (SingleHeaders.has(name) && seen.has(name)) {
            return `repeated ${name}`;
        }
        seen.add(name);
    }
    if (!seen.has("host")) {
        return "missing host";
    }
    return findValueFault(incoming, seen);
}

function findValueFault(incoming: IncomingMessage, seen: ReadonlySet<string>): string | undefined {
    const { headers } = incoming;
    const encoding = headers["transfer-encoding"];
    if (seen.has("content-length") && encoding !== undefined) {
        return "both content-length and transfer-encoding";
    }
    if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
        return "unsupported transfer-encoding";
    }
    if (headers["content-length"] !== undefined && !LengthPattern.test(headers["content-length"])) {
        return "malformed content-length";
    }
    if (headers.authorization !== undefined && !AuthorizationPattern.test(headers.authorization)) {
        return "malformed authorization";
    }
    if (headers["idempotency-key"] !== undefined && !KeyPattern.test(headers["idempotency-key"] as string)) {
        return "malformed idempotency-key";
    }
    for (const name of ["x-request-kind", "x-priority-grant"]) {
        if (headers[name] !== undefined && !ResourceNameSchema.safeParse(headers[name]).success) {
            return `malformed ${name}`;
        }
    }
    return undefined;
}
