/** Validates request heads, as a guard against request smuggling and ambiguous identities. */
import type { IncomingMessage } from "node:http";
import { findInvalidHeaderName } from "../base/headerSyntax.js";
import { ResourceNameSchema } from "../features/config/configTypes.js";

/** Headers that may appear at most once, because two readers could pick different values. */
const NonRepeatableHeaders = new Set([
    "authorization",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "transfer-encoding",
    "x-priority-grant",
    "x-request-kind",
]);

const ControlCharacterPattern = /[\x00-\x08\x0a-\x1f\x7f]/;
const AuthorizationPattern = /^Bearer [\x21-\x7e]{1,512}$/i;
const IdempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;
const ContentLengthPattern = /^\d{1,15}$/;

/** @returns Description of the first error in the head of a request; `undefined` if the head is valid. */
export function validateHeaders(incoming: IncomingMessage): string | undefined {
    const seen = new Set<string>();
    const { rawHeaders } = incoming;
    if (findInvalidHeaderName(rawHeaders) !== undefined) {
        return "a header name is not valid";
    }
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (ControlCharacterPattern.test(rawHeaders[index + 1]!)) {
            return `control character in ${name}`;
        }
        if (NonRepeatableHeaders.has(name) && seen.has(name)) {
            return `repeated ${name}`;
        }
        seen.add(name);
    }
    if (!seen.has("host")) {
        return "missing host";
    }
    return findInvalidValue(incoming, seen);
}

function findInvalidValue(incoming: IncomingMessage, seen: ReadonlySet<string>): string | undefined {
    const { headers } = incoming;
    const encoding = headers["transfer-encoding"];
    if (seen.has("content-length") && encoding !== undefined) {
        return "both content-length and transfer-encoding";
    }
    if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
        return "unsupported transfer-encoding";
    }
    if (headers["content-length"] !== undefined && !ContentLengthPattern.test(headers["content-length"])) {
        return "malformed content-length";
    }
    if (headers.authorization !== undefined && !AuthorizationPattern.test(headers.authorization)) {
        return "malformed authorization";
    }
    if (headers["idempotency-key"] !== undefined && !IdempotencyKeyPattern.test(headers["idempotency-key"] as string)) {
        return "malformed idempotency-key";
    }
    for (const name of ["x-request-kind", "x-priority-grant"]) {
        if (headers[name] !== undefined && !ResourceNameSchema.safeParse(headers[name]).success) {
            return `malformed ${name}`;
        }
    }
    return undefined;
}
