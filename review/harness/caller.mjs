// Stand-in for clients: sends one streaming request on a new connection and counts the events that it gets.
import { randomBytes } from "node:crypto";
import { request as httpRequest } from "node:http";

/** Sends a request. @returns Its id, its status (0 without one), whether the answer was complete, and the number of events. */
export function sendStream(front, { host, path, key, model = "m", inputTokens, outputTokens, deadlineMs, body = "" }) {
    const id = randomBytes(8).toString("hex");
    const sentAtMs = Date.now();
    const headers = {
        "Host": host,
        "Toucanjunction-Request-Id": id,
        "Toucanjunction-Model": model,
        "Toucanjunction-Token-Counts": `${inputTokens},${outputTokens}`,
        "Toucanjunction-Prefix-Hash": `${randomBytes(4).toString("hex")}:${inputTokens}`,
        "Toucanjunction-Request-Deadline": String(deadlineMs),
        "Authorization": `Bearer ${key}`,
        "Content-Length": Buffer.byteLength(body),
        "Connection": "close",
    };
    return new Promise(resolve => {
        const result = { id, sentAtMs, status: 0, isComplete: false, events: 0, retryAfterS: undefined };
        const finish = () => {
            clearTimeout(timer);
            call.destroy();
            resolve(result);
        };
        const call = httpRequest({ ...front, method: "POST", path, headers, agent: false }, response => {
            result.status = response.statusCode;
            result.retryAfterS = response.headers["retry-after"];
            result.signature = response.headers["toucanjunction-server-signature"];
            let text = "";
            response.on("data", bytes => {
                text += bytes.toString("latin1");
                const parts = text.split("\n\n");
                result.events += result.signature === undefined ? 0 : parts.length - 1;
                text = parts.at(-1);
            });
            response.on("end", () => {
                result.isComplete = response.complete;
                finish();
            });
            response.on("error", finish);
        });
        const timer = setTimeout(finish, deadlineMs);
        call.on("error", finish);
        call.end(body);
    });
}
