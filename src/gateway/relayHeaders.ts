/** Selects the headers that are relayed between caller and upstream. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { WorkClass } from "../features/config/configTypes.js";
import type { CallerRequest, ResponseKind } from "./gatewayTypes.js";

/** Headers that apply to one connection only, in lower case. */
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

/** Caller headers that are meant for the router, or that the router itself sets on the request to the upstream. */
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

/** Value of `X-Priority` for each work class. */
const PriorityByClass: Readonly<Record<WorkClass, string>> = { urgent: "0", normal: "1", background: "2" };

function removeConnectionHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const connectionHeaders = new Set((headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !HopByHopHeaders.has(name) && !connectionHeaders.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
}

/** @returns Headers of a caller's request to a plain service that are forwarded to the upstream. */
export function buildServiceRequestHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    return Object.fromEntries(
        Object.entries(removeConnectionHeaders(headers)).filter(([name]) => !RouterHeaders.has(name)),
    );
}

/**
 * @param fencingNumber Fencing number of the idempotency claim, if the request holds one.
 * @returns All headers of a request to an upstream.
 */
export function buildUpstreamHeaders(
    request: CallerRequest,
    workClass: WorkClass,
    fencingNumber: number | undefined,
): Record<string, string | string[]> {
    const { headers, requestId, idempotencyKey } = request;
    const upstreamHeaders: Record<string, string | string[]> = {
        ...headers,
        "x-request-id": requestId,
        "x-priority": PriorityByClass[workClass],
    };
    if (fencingNumber !== undefined) {
        upstreamHeaders["x-fencing-number"] = String(fencingNumber);
    }
    if (idempotencyKey !== undefined) {
        upstreamHeaders["idempotency-key"] = idempotencyKey;
    }
    return upstreamHeaders;
}

/** @returns Headers of an upstream's response that are forwarded to the caller. */
export function buildResponseHeaders(kind: ResponseKind, headers: IncomingHttpHeaders): OutgoingHttpHeaders {
    if (kind === "service") {
        return removeConnectionHeaders(headers);
    }
    if (kind === "chatStream") {
        return { "content-type": "text/event-stream", "cache-control": "no-store" };
    }
    const contentLength = headers["content-length"];
    return {
        "content-type": "application/json",
        ...(contentLength === undefined ? {} : { "content-length": contentLength }),
    };
}
