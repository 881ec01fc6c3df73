/** Turns caller requests into route queries and bodies for upstreams. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { z } from "zod";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import type { CallerRequest } from "./gatewayTypes.js";
import { buildServiceRequestHeaders } from "./relayHeaders.js";

/** Number of leading characters of the prompt that form its prefix. */
const PromptPrefixLength = 1_024;

const TokenCountSchema = z.number().int().positive().max(10_000_000);

const ChatBodySchema = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(z.looseObject({ role: z.string().max(64) })).min(1),
    stream: z.boolean().nullish(),
    max_tokens: TokenCountSchema.nullish(),
    max_completion_tokens: TokenCountSchema.nullish(),
    /** More than one completion would cost more than `max_tokens` states. */
    n: z.literal(1).nullish(),
    best_of: z.literal(1).nullish(),
    stream_options: z.looseObject({}).nullish(),
});
type ChatBody = z.infer<typeof ChatBodySchema>;

/** An authenticated request whose body has been read but not parsed. */
export interface RawCallerRequest {
    readonly requestId: string;
    readonly team: string;
    readonly incoming: IncomingMessage;
    readonly body: Buffer;
}

function singleHeaderValue(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}

function hashBody(method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
}

/**
 * Parses `POST /v1/chat/completions`.
 * @returns The request, or `MalformedBody`.
 */
export function parseChatRequest(rawRequest: RawCallerRequest): Result<CallerRequest, ResultCodeName> {
    let json: unknown;
    try {
        json = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(rawRequest.body));
    }
    catch {
        return Result.err("MalformedBody");
    }
    const parsed = ChatBodySchema.safeParse(json);
    if (!parsed.success) {
        return Result.err("MalformedBody");
    }
    return Result.ok(buildChatRequest(rawRequest, parsed.data));
}

function buildChatRequest(rawRequest: RawCallerRequest, chat: ChatBody): CallerRequest {
    const { requestId, team, incoming, body } = rawRequest;
    const path = "/v1/chat/completions";
    const stream = chat.stream === true;
    const contents = chat.messages.map(message => stringifyContent(message["content"]));
    return {
        requestId,
        team,
        idempotencyKey: singleHeaderValue(incoming.headers["idempotency-key"]),
        query: {
            team,
            model: chat.model,
            service: undefined,
            method: "POST",
            requestKind: singleHeaderValue(incoming.headers["x-request-kind"]),
            grant: singleHeaderValue(incoming.headers["x-priority-grant"]),
            promptBytes: promptBytes(chat, contents),
            messageCount: chat.messages.length,
            maxOutputTokens: chat.max_tokens ?? chat.max_completion_tokens ?? undefined,
            promptPrefix: contents.join("\n").slice(0, PromptPrefixLength),
        },
        responseKind: stream ? "chatStream" : "chatJson",
        method: "POST",
        path,
        headers: { "content-type": "application/json", accept: stream ? "text/event-stream" : "application/json" },
        bodyHash: hashBody("POST", path, body),
        buildBody: plan => buildChatBody(chat, plan),
    };
}

function stringifyContent(content: unknown): string {
    return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

/** Counts everything that an engine may put into the prompt, so that the reservation is an upper bound. */
function promptBytes(chat: ChatBody, contents: readonly string[]): number {
    let bytes = contents.reduce((sum, content) => sum + Buffer.byteLength(content), 0);
    for (const message of chat.messages) {
        const extraFields = Object.keys(message).filter(name => name !== "role" && name !== "content");
        bytes += extraFields.length === 0 ?
            0 :
            Buffer.byteLength(JSON.stringify(extraFields.map(name => message[name])));
    }
    for (const name of ["tools", "functions", "response_format"]) {
        bytes += chat[name] === undefined ? 0 : Buffer.byteLength(JSON.stringify(chat[name]));
    }
    return bytes;
}

function buildChatBody(chat: ChatBody, plan: RoutePlan): Buffer {
    const { max_completion_tokens: ignoredLimit, stream_options: streamOptions, ...otherFields } = chat;
    void ignoredLimit;
    const stream = chat.stream === true;
    return Buffer.from(JSON.stringify({
        ...otherFields,
        max_tokens: plan.maxOutputTokens,
        ...(stream ? { stream_options: { ...streamOptions, include_usage: true } } : {}),
    }));
}

const ServicePathPattern = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(\/[^?#]*)?(\?[^#]*)?$/;

/** Dot segments, also percent-encoded: routers and services could resolve them differently. */
const DotSegmentPattern = /(^|\/)(\.|%2e){1,2}(\/|$)/i;

/**
 * Parses a call to a plain service.
 * @returns The request, or `UnknownPath`.
 */
export function parseServiceRequest(rawRequest: RawCallerRequest): Result<CallerRequest, ResultCodeName> {
    const { requestId, team, incoming, body } = rawRequest;
    const match = ServicePathPattern.exec(incoming.url ?? "");
    const servicePath = match?.[2] ?? "/";
    if (match === null || DotSegmentPattern.test(servicePath)) {
        return Result.err("UnknownPath");
    }
    const method = incoming.method ?? "GET";
    const path = `${servicePath}${match[3] ?? ""}`;
    return Result.ok({
        requestId,
        team,
        idempotencyKey: singleHeaderValue(incoming.headers["idempotency-key"]),
        query: {
            team,
            model: undefined,
            service: match[1],
            method,
            requestKind: singleHeaderValue(incoming.headers["x-request-kind"]),
            grant: singleHeaderValue(incoming.headers["x-priority-grant"]),
            promptBytes: body.length,
            messageCount: 0,
            maxOutputTokens: undefined,
            promptPrefix: undefined,
        },
        responseKind: "service",
        method,
        path,
        headers: buildServiceRequestHeaders(incoming.headers),
        bodyHash: hashBody(method, `/services/${match[1]}${path}`, body),
        buildBody: () => body.length === 0 && !hasBody(incoming) ? undefined : body,
    });
}

function hasBody(incoming: IncomingMessage): boolean {
    return incoming.headers["content-length"] !== undefined || incoming.headers["transfer-encoding"] !== undefined;
}
