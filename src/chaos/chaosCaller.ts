/** Sends calls and records their results for the caller. */
import { Agent, type Dispatcher, request } from "undici";
import type { ExecutionState } from "../base/resultCodes.js";
import { SseReader } from "../load/sseReader.js";
import { keyOfTeam } from "./chaosResources.js";
import type { CallOutcome, CallRecord, PlannedCall } from "./chaosTypes.js";

/** Timeout of calls with JSON responses, in milliseconds: callers cancel calls to a paused router and retry elsewhere. */
const JsonTimeoutMs = 8_000;
/** Timeout of streamed calls, in milliseconds. */
const StreamTimeoutMs = 25_000;
/** Path of sales at the plain service. */
const SalePath = "/services/till/sales";

/** Router process that a call is sent to. */
export interface CallTarget {
    readonly hostId: string;
    readonly generation: number;
    readonly callerUrl: string;
}

/** Fields of a record that the response determines. */
type ResponseSummary = Omit<CallRecord, keyof PlannedCall | "hostId" | "generation" | "startMs" | "endMs">;

/** Fields of a JSON body that the caller reads. */
interface JsonResponse {
    readonly id?: string;
    readonly echo?: string;
    readonly executed?: number;
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly name?: string; readonly ran?: ExecutionState; };
}

const EmptySummary: ResponseSummary = {
    outcome: "broken",
    requestId: "",
    errorName: undefined,
    ran: undefined,
    replayed: false,
    answerIds: [],
    done: false,
    contentChunks: 0,
    promptTokens: undefined,
    outputTokens: undefined,
    echo: undefined,
    executionNumber: undefined,
};

/** Sends each call over its own connection, so that no call fails because the router closed an idle connection. */
export class ChaosCaller {
    readonly #agent = new Agent({ pipelining: 0 });
    readonly #nowMs: () => number;

    /** @param nowMs Time since the start of the run, in milliseconds. */
    constructor(nowMs: () => number) {
        this.#nowMs = nowMs;
    }

    /** Sends a call and waits for its end. Never throws: failures are in the record. */
    async send(call: PlannedCall, target: CallTarget): Promise<CallRecord> {
        const startMs = this.#nowMs();
        const summary = await this.#exchange(call, target);
        const { hostId, generation } = target;
        return { ...call, hostId, generation, startMs, endMs: this.#nowMs(), ...summary };
    }

    /** @returns A ticket for a sale, or `undefined` when the router did not return one. */
    async fetchTicket(team: string, target: CallTarget): Promise<string | undefined> {
        try {
            const response = await request(`${target.callerUrl}/v1/tickets`, {
                method: "POST",
                dispatcher: this.#agent,
                headers: { authorization: `Bearer ${keyOfTeam(team)}` },
                signal: AbortSignal.timeout(JsonTimeoutMs),
            });
            return (await response.body.json() as { ticket?: string; }).ticket;
        }
        catch {
            return undefined;
        }
    }

    /** Closes all connections; calls that are still open fail. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #exchange(call: PlannedCall, target: CallTarget): Promise<ResponseSummary> {
        const isSale = call.kind === "sale" || call.kind === "ticketSale";
        const timeout = AbortSignal.timeout(call.kind === "stream" ? StreamTimeoutMs : JsonTimeoutMs);
        let response: Dispatcher.ResponseData;
        try {
            response = await request(`${target.callerUrl}${isSale ? SalePath : "/v1/chat/completions"}`, {
                method: "POST",
                dispatcher: this.#agent,
                headers: {
                    "authorization": `Bearer ${keyOfTeam(call.team)}`,
                    "content-type": "application/json",
                    ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
                },
                body: call.body,
                signal: timeout,
            });
        }
        catch (error) {
            return { ...EmptySummary, outcome: outcomeOf(error, timeout) };
        }
        const requestId = String(response.headers["x-request-id"] ?? "");
        const replayed = response.headers["idempotent-replay"] === "true";
        const { text, failure } = await readBody(response, timeout);
        const isStream = call.kind === "stream" && response.statusCode === 200;
        const summary = isStream ?
            readStreamSummary(text, failure) :
            readJsonSummary(text, response.statusCode, failure);
        return { ...summary, requestId, replayed };
    }
}

async function readBody(
    response: Dispatcher.ResponseData,
    timeout: AbortSignal,
): Promise<{ readonly text: string; readonly failure: CallOutcome | undefined; }> {
    const pieces: Buffer[] = [];
    let failure: CallOutcome | undefined;
    try {
        for await (const piece of response.body) {
            pieces.push(piece as Buffer);
        }
    }
    catch (error) {
        failure = outcomeOf(error, timeout);
    }
    return { text: Buffer.concat(pieces).toString(), failure };
}

function outcomeOf(error: unknown, timeout: AbortSignal): CallOutcome {
    if (timeout.aborted) {
        return "abandoned";
    }
    return (error as { code?: string; }).code === "ECONNREFUSED" ? "unreached" : "broken";
}

function readStreamSummary(text: string, failure: CallOutcome | undefined): ResponseSummary {
    const reader = new SseReader();
    reader.push(text);
    const { done, tokens, promptTokens, outputTokens, errorName, errorRan } = reader.summary;
    const answerIds = [...new Set([...text.matchAll(/^data: \{"id":"([^"]*)"/gm)].map(found => found[1]!))];
    const streamOutcome = done && errorName === undefined ? "complete" : errorName === undefined ? "broken" : "cut";
    const outcome = failure === "abandoned" || failure !== undefined && errorName === undefined ?
        failure :
        streamOutcome;
    const ran = errorRan as ExecutionState | undefined;
    return {
        ...EmptySummary,
        outcome,
        errorName,
        ran,
        answerIds,
        done,
        contentChunks: tokens,
        promptTokens,
        outputTokens,
    };
}

function readJsonSummary(text: string, httpStatus: number, failure: CallOutcome | undefined): ResponseSummary {
    if (failure !== undefined) {
        return { ...EmptySummary, outcome: failure };
    }
    let body: JsonResponse;
    try {
        body = JSON.parse(text) as JsonResponse;
    }
    catch {
        return EmptySummary;
    }
    if (httpStatus !== 200) {
        return { ...EmptySummary, outcome: "refused", errorName: body.error?.name, ran: body.error?.ran };
    }
    return {
        ...EmptySummary,
        outcome: "complete",
        answerIds: body.id === undefined ? [] : [body.id],
        promptTokens: body.usage?.prompt_tokens,
        outputTokens: body.usage?.completion_tokens,
        echo: body.echo,
        executionNumber: body.executed,
    };
}
