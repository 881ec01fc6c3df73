/** Turns caller requests into route queries and bodies for upstreams. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { z } from "zod";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import type { CallerRequest } from "./gatewayTypes.js";
import { serviceRequestHeaders } from "./relayHeaders.js";

/** Characters of the prompt that count as its prefix. */
const PrefixCharacters = 1_024;

const CountSchema = z.number().int().positive().max(10_000_000);

const ChatBodySchema = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(z.looseObject({ role: z.string().max(64) })).min(1),
    stream: z.boolean().nullish(),
    max_tokens: CountSchema.nullish(),
    max_completion_tokens: CountSchema.nullish(),
    /** More than one answer would cost more than `max_tokens` states. */
    n: z.literal(1).nullish(),
    best_of: z.literal(1).nullish(),
    stream_options: z.looseObject({}).nullish(),
});
type ChatBody = z.infer<typeof ChatBodySchema>;

/** What the listener knows before the body is parsed. */
export interface RawCallerRequest {
    readonly requestId: string;
    readonly team: string;
    readonly incoming: IncomingMessage;
    readonly body: Buffer;
}

function textOf(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}

function hashBody(method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
}

/** Parses `POST /v1/chat/completions`. */
export function parseChatRequest(origin: RawCallerRequest): Result<CallerRequest, ResultCodeName> {
    let json: unknown;
    try {
        json = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(origin.body));
    }
    catch {
        return Result.err("MalformedBody");
    }
    const checked = ChatBodySchema.safeParse(json);
    if (!checked.success) {
        return Result.err("MalformedBody");
    }
    return Result.ok(chatRequest(origin, checked.data));
}

function chatRequest(origin: RawCallerRequest, chat: ChatBody): CallerRequest {
    const { requestId, team, incoming, body } = origin;
    const path = "/v1/chat/completions";
    const stream = chat.stream === true;
    const contents = chat.messages.map(message => contentText(message["content"]));
    return {
        requestId,
        team,
        idempotencyKey: textOf(incoming.headers["idempotency-key"]),
        query: {
            team,
            model: chat.model,
            service: undefined,
            method: "POST",
            requestKind: textOf(incoming.headers["x-request-kind"]),
            grant: textOf(incoming.headers["x-priority-grant"]),
            promptBytes: promptBytes(chat, contents),
            messageCount: chat.messages.length,
            maxOutputTokens: chat.max_tokens ?? chat.max_completion_tokens ?? undefined,
            promptPrefix: contents.join("\n").slice(0, PrefixCharacters),
        },
        responseKind: stream ? "chatStream" : "chatJson",
        method: "POST",
        path,
        headers: { "content-type": "application/json", accept: stream ? "text/event-stream" : "application/json" },
        bodyHash: hashBody("POST", path, body),
        buildBody: plan => chatBody(chat, plan),
    };
}

function contentText(content: unknown): string {
    return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

/** Everything that an engine may put into the prompt counts, so that the reservation is an upper bound. */
function promptBytes(chat: ChatBody, contents: readonly string[]): number {
    let bytes = contents.reduce((sum, content) => sum + Buffer.byteLength(content), 0);
    for (const message of chat.messages) {
        const extra = Object.keys(message).filter(name => name !== "role" && name !== "content");
        bytes += extra.length === 0 ? 0 : Buffer.byteLength(JSON.stringify(extra.map(name => message[name])));
    }
    for (const name of ["tools", "functions", "response_format"]) {
        bytes += chat[name] === undefined ? 0 : Buffer.byteLength(JSON.stringify(chat[name]));
    }
    return bytes;
}

function chatBody(chat: ChatBody, plan: RoutePlan): Buffer {
    const { max_completion_tokens: ignoredLimit, stream_options: streamOptions, ...rest } = chat;
    void ignoredLimit;
    const stream = chat.stream === true;
    return Buffer.from(JSON.stringify({
        ...rest,
        max_tokens: plan.maxOutputTokens,
        ...(stream ? { stream_options: { ...streamOptions, include_usage: true } } : {}),
    }));
}

const ServicePathPattern = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(\/[^?#]*)?(\?[^#]*)?$/;

/** Dot segments, also encoded: routers and services could resolve them differently. */
const DotSegmentPattern = /(^|\/)(\.|%2e){1,2}(\/|$)/i;

/** Parses a call to a plain service. */
export function parseServiceRequest(origin: RawCallerRequest): Result<CallerRequest, ResultCodeName> {
    const { requestId, team, incoming, body } = origin;
    const parts = ServicePathPattern.exec(incoming.url ?? "");
    const rest = parts?.[2] ?? "/";
    if (parts === null || DotSegmentPattern.test(rest)) {
        return Result.err("UnknownPath");
    }
    const method = incoming.method ?? "GET";
    const path = `${rest}${parts[3] ?? ""}`;
    return Result.ok({
        requestId,
        team,
        idempotencyKey: textOf(incoming.headers["idempotency-key"]),
        query: {
            team,
            model: undefined,
            service: parts[1],
            method,
            requestKind: textOf(incoming.headers["x-request-kind"]),
            grant: textOf(incoming.headers["x-priority-grant"]),
            promptBytes: body.length,
            messageCount: 0,
            maxOutputTokens: undefined,
            promptPrefix: undefined,
        },
        responseKind: "service",
        method,
        path,
        headers: serviceRequestHeaders(incoming.headers),
        bodyHash: hashBody(method, `/services/${parts[1]}${path}`, body),
        buildBody: () => body.length === 0 && !hasBody(incoming) ? undefined : body,
    });
}

function hasBody(incoming: IncomingMessage): boolean {
    return incoming.headers["content-length"] !== undefined || incoming.headers["transfer-encoding"] !== undefined;
}
