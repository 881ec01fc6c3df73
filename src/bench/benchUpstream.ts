/** A lightweight upstream for measuring the router: it responds without delay and streams at a fixed rate. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Number of chunks of a stream, and the interval between two chunks in milliseconds. */
export interface StreamShape {
    readonly chunkCount: number;
    readonly chunkIntervalMs: number;
}

function chunkText(requestId: string, content: string | undefined, finishReason: string | undefined): string {
    return `data: ${
        JSON.stringify({
            id: `chatcmpl-${requestId}`,
            object: "chat.completion.chunk",
            created: 1_700_000_000,
            model: "assistant",
            choices: [{
                index: 0,
                delta: content === undefined ? {} : { content },
                finish_reason: finishReason ?? null,
            }],
        })
    }\n\n`;
}

/** Sends a stream. Each chunk is written separately, as by engines. */
function sendStream(response: ServerResponse, requestId: string, shape: StreamShape): void {
    response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": requestId });
    const startedAtMs = performance.now();
    let sentCount = 0;
    const timer = setInterval(() => {
        const dueCount = Math.min(
            shape.chunkCount,
            Math.floor((performance.now() - startedAtMs) / shape.chunkIntervalMs),
        );
        if (sentCount < dueCount) {
            sentCount++;
            response.write(chunkText(requestId, `w${sentCount} `, undefined));
        }
        if (sentCount >= shape.chunkCount) {
            clearInterval(timer);
            response.end(`${chunkText(requestId, undefined, "stop")}data: [DONE]\n\n`);
        }
    }, shape.chunkIntervalMs);
    response.on("close", () => clearInterval(timer));
}

function respond(request: IncomingMessage, response: ServerResponse, body: string, shape: StreamShape): void {
    const requestId = String(request.headers["x-request-id"] ?? "");
    if (body.includes("\"stream\":true")) {
        sendStream(response, requestId, shape);
        return;
    }
    const text = JSON.stringify({
        id: `chatcmpl-${requestId}`,
        object: "chat.completion",
        model: "assistant",
        choices: [{ index: 0, message: { role: "assistant", content: "w1 w2 w3 " }, finish_reason: "stop" }],
        usage: { prompt_tokens: 12, completion_tokens: 3, total_tokens: 15 },
    });
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "x-request-id": requestId,
    });
    response.end(text);
}

/**
 * Starts an upstream on a free port of 127.0.0.1; it ends with the process.
 * @returns Base URL of the upstream.
 */
export async function startBenchUpstream(shape: StreamShape): Promise<string> {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        const pieces: Buffer[] = [];
        request.on("data", (piece: Buffer) => pieces.push(piece));
        request.on("end", () => respond(request, response, Buffer.concat(pieces).toString(), shape));
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
