/** Handles `POST /v1/chat/completions` with the simulated engine. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { EngineSimulator, EngineTask } from "./engineSimulator.js";
import type { Execution, ExecutionLog } from "./executionLog.js";
import type { UpstreamFaultInjector, UpstreamStandInSettings } from "./upstreamSettings.js";

/** Output length, in tokens, of requests that do not state one. */
const DefaultOutputTokens = 16;

/** Priority of requests that do not state one; 0 is the most urgent. */
export const DefaultPriority = 1;

/** Tokens that a chat template adds per message. */
const TemplateTokensPerMessage = 4;

/** Length of the prompt prefix that is the key of the prefix cache, in characters. */
const PrefixCharacters = 256;

const ChatRequestSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
    max_tokens: z.number().int().positive().optional(),
    stream: z.boolean().default(false),
    stream_options: z.looseObject({ include_usage: z.boolean().default(false) }).optional(),
    /** `outputTokens` sets the length of the output before `max_tokens` is applied. */
    metadata: z.record(z.string(), z.string()).default({}),
});
type ChatRequest = z.infer<typeof ChatRequestSchema>;

/** Collaborators of the chat handler. */
export interface ChatHandlerDependencies {
    readonly settings: UpstreamStandInSettings;
    readonly faults: UpstreamFaultInjector;
    readonly engine: EngineSimulator;
    readonly executions: ExecutionLog;
}

/** An accepted request and what is needed to write its response. */
interface ChatExecution {
    readonly request: ChatRequest;
    readonly response: ServerResponse;
    /** Request id that the response carries; the fault `crossedRequests` makes it wrong on purpose. */
    readonly responseId: string;
    readonly execution: Execution;
    /** Length of the output without the limit of `max_tokens`. */
    readonly naturalTokens: number;
    /** Whether no response is ever sent. */
    readonly isSilent: boolean;
    /** Number of tokens after which the connection is destroyed. */
    readonly dieAfterTokens: number;
}

/**
 * Runs one chat request in the engine, or refuses it when it is malformed, its model is unknown, its fencing number is old or the
 * queue is full.
 * @param body Body as it was received.
 */
export function handleChat(
    dependencies: ChatHandlerDependencies,
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
): void {
    const request = parseChat(body);
    const requestId = String(incoming.headers["x-request-id"] ?? "");
    if (request === undefined || !dependencies.settings.models.includes(request.model)) {
        sendRefusal(response, requestId, request === undefined ? 400 : 404);
        return;
    }
    const key = singleHeader(incoming, "idempotency-key");
    const fencingNumber = Number(incoming.headers["x-fencing-number"] ?? Number.NaN);
    if (
        dependencies.settings.checksFencing && key !== undefined && !Number.isNaN(fencingNumber) &&
        dependencies.executions.checkFencing(key, fencingNumber)
    ) {
        sendRefusal(response, requestId, 412);
        return;
    }
    startChat(dependencies, incoming, response, request, requestId, key);
}

function startChat(
    dependencies: ChatHandlerDependencies,
    incoming: IncomingMessage,
    response: ServerResponse,
    request: ChatRequest,
    requestId: string,
    key: string | undefined,
): void {
    const { faults, engine, settings } = dependencies;
    const text = request.messages.map(message => message.content).join("\n");
    const promptTokens = Math.ceil(Buffer.byteLength(text) * settings.promptTokensPerByte) +
        TemplateTokensPerMessage * request.messages.length;
    const naturalTokens = Number(request.metadata["outputTokens"] ?? DefaultOutputTokens);
    const priority = Number(incoming.headers["x-priority"] ?? DefaultPriority);
    if (engine.waitingCount >= settings.waitingLimit) {
        sendRefusal(response, requestId, 429);
        return;
    }
    const execution = dependencies.executions.start(requestId, key, promptTokens, priority);
    const chat: ChatExecution = {
        request,
        response,
        responseId: faults.consume("crossedRequests") ? `${requestId}-other` : requestId,
        execution,
        naturalTokens,
        isSilent: faults.consume("silentRequests"),
        dieAfterTokens: faults.consume("dyingRequests") ? faults.current.dieAfterTokens : Number.POSITIVE_INFINITY,
    };
    const task = engine.submit({
        priority,
        promptTokens,
        outputTokens: Math.max(1, Math.min(naturalTokens, request.max_tokens ?? naturalTokens)),
        prefixKey: text.slice(0, PrefixCharacters),
        execution,
        onToken: index => sendToken(engine, chat, () => task, index),
        onDone: () => finishChat(chat),
    });
    response.on("close", () => {
        if (task !== undefined) {
            engine.cancel(task);
        }
    });
}

function parseChat(body: string): ChatRequest | undefined {
    try {
        const parsed = ChatRequestSchema.safeParse(JSON.parse(body));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}

function singleHeader(incoming: IncomingMessage, name: string): string | undefined {
    const value = incoming.headers[name];
    return typeof value === "string" ? value : undefined;
}

/** Responds with an error status for a request that did not run. */
export function sendRefusal(response: ServerResponse, requestId: string, status: number): void {
    response.writeHead(status, { "content-type": "application/json", "x-request-id": requestId });
    response.end(JSON.stringify({ error: { message: `refused with status ${status}` } }));
}

function sendToken(
    engine: EngineSimulator,
    chat: ChatExecution,
    task: () => EngineTask | undefined,
    index: number,
): void {
    if (chat.isSilent) {
        return;
    }
    if (chat.request.stream) {
        writeChunk(chat, { choices: [{ index: 0, delta: { content: `w${index} ` }, finish_reason: null }] });
    }
    const current = task();
    if (index >= chat.dieAfterTokens && current !== undefined) {
        engine.cancel(current);
        chat.execution.state = "failed";
        chat.response.destroy();
    }
}

function writeChunk(chat: ChatExecution, fields: Record<string, unknown>): void {
    if (!chat.response.headersSent) {
        chat.response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": chat.responseId });
    }
    const chunk = {
        id: `chatcmpl-${chat.responseId}`,
        object: "chat.completion.chunk",
        model: chat.request.model,
        ...fields,
    };
    chat.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

function finishChat(chat: ChatExecution): void {
    if (chat.isSilent) {
        return;
    }
    const { promptTokens, outputTokens } = chat.execution;
    const usage = {
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        total_tokens: promptTokens + outputTokens,
    };
    const finishReason = outputTokens < chat.naturalTokens ? "length" : "stop";
    if (chat.request.stream) {
        writeChunk(chat, { choices: [{ index: 0, delta: {}, finish_reason: finishReason }] });
        if (chat.request.stream_options?.include_usage === true) {
            writeChunk(chat, { choices: [], usage });
        }
        chat.response.end("data: [DONE]\n\n");
        return;
    }
    const content = Array.from({ length: outputTokens }, (_, index) => `w${index + 1} `).join("");
    chat.response.writeHead(200, { "content-type": "application/json", "x-request-id": chat.responseId });
    chat.response.end(JSON.stringify({
        id: `chatcmpl-${chat.responseId}`,
        object: "chat.completion",
        model: chat.request.model,
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finishReason }],
        usage,
    }));
}
