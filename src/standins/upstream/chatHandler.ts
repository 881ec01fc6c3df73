/** Answers `POST /v1/chat/completions` from the engine model. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { EngineSimulator, EngineTask } from "./engineSimulator.js";
import type { Execution, ExecutionLog } from "./executionLog.js";
import type { UpstreamFaultInjector, UpstreamStandInSettings } from "./upstreamSettings.js";

/** Output length of requests that name none. */
const DefaultOutputTokens = 16;

/** Priority of requests that name none. */
export const DefaultPriority = 1;

/** Tokens that a chat template adds per message. */
const TemplateTokensPerMessage = 4;

/** Length of the prompt prefix that the prefix cache compares. */
const PrefixCharacters = 256;

const ChatRequestSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
    max_tokens: z.number().int().positive().optional(),
    stream: z.boolean().default(false),
    stream_options: z.looseObject({ include_usage: z.boolean().default(false) }).optional(),
    /** `outputTokens` sets the natural length of the answer. */
    metadata: z.record(z.string(), z.string()).default({}),
});
type ChatRequest = z.infer<typeof ChatRequestSchema>;

/** What the handler works with. */
export interface ChatHandlerDependencies {
    readonly settings: UpstreamStandInSettings;
    readonly faults: UpstreamFaultInjector;
    readonly engine: EngineSimulator;
    readonly executions: ExecutionLog;
}

/** An accepted request with everything its answer needs. */
interface ChatAnswer {
    readonly request: ChatRequest;
    readonly response: ServerResponse;
    /** Id that the answer carries; wrong on purpose with the fault `crossedRequests`. */
    readonly answerId: string;
    readonly execution: Execution;
    readonly naturalTokens: number;
    readonly silent: boolean;
    readonly dieAfterTokens: number;
}

/**
 * Handles one chat request.
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
    const key = headerText(incoming, "idempotency-key");
    const fencingNumber = Number(incoming.headers["x-fencing-number"] ?? Number.NaN);
    if (
        dependencies.settings.checksFencing && key !== undefined && !Number.isNaN(fencingNumber) &&
        dependencies.executions.checkFencing(key, fencingNumber)
    ) {
        sendRefusal(response, requestId, 412);
        return;
    }
    start(dependencies, incoming, response, request, requestId, key);
}

function start(
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
    const answer: ChatAnswer = {
        request,
        response,
        answerId: faults.consume("crossedRequests") ? `${requestId}-other` : requestId,
        execution,
        naturalTokens,
        silent: faults.consume("silentRequests"),
        dieAfterTokens: faults.consume("dyingRequests") ? faults.current.dieAfterTokens : Number.POSITIVE_INFINITY,
    };
    const task = engine.submit({
        priority,
        promptTokens,
        outputTokens: Math.max(1, Math.min(naturalTokens, request.max_tokens ?? naturalTokens)),
        prefixKey: text.slice(0, PrefixCharacters),
        execution,
        onToken: index => onToken(engine, answer, () => task, index),
        onDone: () => finish(answer),
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

function headerText(incoming: IncomingMessage, name: string): string | undefined {
    const value = incoming.headers[name];
    return typeof value === "string" ? value : undefined;
}

/** Answers that the request did not run. */
export function sendRefusal(response: ServerResponse, requestId: string, status: number): void {
    response.writeHead(status, { "content-type": "application/json", "x-request-id": requestId });
    response.end(JSON.stringify({ error: { message: `refused with status ${status}` } }));
}

function onToken(engine: EngineSimulator, answer: ChatAnswer, task: () => EngineTask | undefined, index: number): void {
    if (answer.silent) {
        return;
    }
    if (answer.request.stream) {
        writeChunk(answer, { choices: [{ index: 0, delta: { content: `w${index} ` }, finish_reason: null }] });
    }
    const current = task();
    if (index >= answer.dieAfterTokens && current !== undefined) {
        engine.cancel(current);
        answer.execution.state = "failed";
        answer.response.destroy();
    }
}

function writeChunk(answer: ChatAnswer, fields: Record<string, unknown>): void {
    if (!answer.response.headersSent) {
        answer.response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": answer.answerId });
    }
    const chunk = {
        id: `chatcmpl-${answer.answerId}`,
        object: "chat.completion.chunk",
        model: answer.request.model,
        ...fields,
    };
    answer.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

function finish(answer: ChatAnswer): void {
    if (answer.silent) {
        return;
    }
    const { promptTokens, outputTokens } = answer.execution;
    const usage = {
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        total_tokens: promptTokens + outputTokens,
    };
    const finishReason = outputTokens < answer.naturalTokens ? "length" : "stop";
    if (answer.request.stream) {
        writeChunk(answer, { choices: [{ index: 0, delta: {}, finish_reason: finishReason }] });
        if (answer.request.stream_options?.include_usage === true) {
            writeChunk(answer, { choices: [], usage });
        }
        answer.response.end("data: [DONE]\n\n");
        return;
    }
    const content = Array.from({ length: outputTokens }, (_, index) => `w${index + 1} `).join("");
    answer.response.writeHead(200, { "content-type": "application/json", "x-request-id": answer.answerId });
    answer.response.end(JSON.stringify({
        id: `chatcmpl-${answer.answerId}`,
        object: "chat.completion",
        model: answer.request.model,
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finishReason }],
        usage,
    }));
}
