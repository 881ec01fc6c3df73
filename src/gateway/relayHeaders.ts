/** Headers that pass between caller and upstream. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { WorkClass } from "../features/config/configTypes.js";
import type { CallerRequest, ResponseKind } from "./gatewayTypes.js";

/** Headers that belong to one connection, in lower case. */
const HopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Headers of a caller that are meant for the router, or that the router sets itself. */
const RouterHeaders = new Set([
    "authorization",
    "host",
    "content-length",
    "expect",
    "idempotency-key",
    "x-fencing-number",
    "x-priority",
    "x-priority-grant",
    "x-request-id",
    "x-request-kind",
]);

/** Value of `X-Priority` by class. */
const PriorityByClass: Readonly<Record<WorkClass, string>> = { urgent: "0", normal: "1", background: "2" };

function withoutConnectionHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const listed = new Set((headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()));
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !HopByHopHeaders.has(name) && !listed.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
}

/** @returns Headers of a caller's call to a plain service that go on to the upstream. */
export function serviceRequestHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    return Object.fromEntries(
        Object.entries(withoutConnectionHeaders(headers)).filter(([name]) => !RouterHeaders.has(name)),
    );
}

/**
 * @param fencingNumber Number of the claim, when the request holds one.
 * @returns All headers of a dispatch.
 */
export function buildUpstreamHeaders(
    request: CallerRequest,
    workClass: WorkClass,
    fencingNumber: number | undefined,
): Record<string, string | string[]> {
    const { headers, requestId, idempotencyKey } = request;
    const all: Record<string, string | string[]> = {
        ...headers,
        "x-request-id": requestId,
        "x-priority": PriorityByClass[workClass],
    };
    if (fencingNumber !== undefined) {
        all["x-fencing-number"] = String(fencingNumber);
    }
    if (idempotencyKey !== undefined) {
        all["idempotency-key"] = idempotencyKey;
    }
    return all;
}

/** @returns Headers of an answer that go on to the caller. */
export function buildResponseHeaders(kind: ResponseKind, headers: IncomingHttpHeaders): OutgoingHttpHeaders {
    if (kind === "service") {
        return withoutConnectionHeaders(headers);
    }
    if (kind === "chatStream") {
        return { "content-type": "text/event-stream", "cache-control": "no-store" };
    }
    const length = headers["content-length"];
    return { "content-type": "application/json", ...(length === undefined ? {} : { "content-length": length }) };
}
