/** Sends one call and records what its caller sees. */
import { Agent, type Dispatcher, request } from "undici";
import type { ExecutionState } from "../base/resultCodes.js";
import { SseReader } from "../load/sseReader.js";
import { keyOfTeam } from "./chaosResources.js";
import type { CallOutcome, CallRecord, PlannedCall } from "./chaosTypes.js";

/** Callers give up on JSON answers while a paused router holds them, and retry elsewhere. */
const JsonTimeoutMs = 8_000;
const StreamTimeoutMs = 25_000;
/** Path of the service. */
const SalePath = "/services/till/sales";

/** Router process that a call is sent to. */
export interface CallTarget {
    readonly hostId: string;
    readonly generation: number;
    readonly callerUrl: string;
}

type AnswerFacts = Omit<CallRecord, keyof PlannedCall | "hostId" | "generation" | "startMs" | "endMs">;

interface JsonAnswer {
    readonly id?: string;
    readonly echo?: string;
    readonly executed?: number;
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number; };
    readonly error?: { readonly name?: string; readonly ran?: ExecutionState; };
}

const NoFacts: AnswerFacts = {
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

/** Sends calls, each over its own connection, so that a closed idle connection is never taken for a lost call. */
export class ChaosCaller {
    readonly #agent = new Agent({ pipelining: 0 });
    readonly #nowMs: () => number;

    /** @param nowMs Time since the start of the run. */
    constructor(nowMs: () => number) {
        this.#nowMs = nowMs;
    }

    /** Sends a call. Never throws. */
    async send(call: PlannedCall, target: CallTarget): Promise<CallRecord> {
        const startMs = this.#nowMs();
        const facts = await this.#exchange(call, target);
        const { hostId, generation } = target;
        return { ...call, hostId, generation, startMs, endMs: this.#nowMs(), ...facts };
    }

    /** @returns A ticket, or `undefined` when the router gave none. */
    async fetchTicket(team: string, target: CallTarget): Promise<string | undefined> {
        try {
            const answer = await request(`${target.callerUrl}/v1/tickets`, {
                method: "POST",
                dispatcher: this.#agent,
                headers: { authorization: `Bearer ${keyOfTeam(team)}` },
                signal: AbortSignal.timeout(JsonTimeoutMs),
            });
            return (await answer.body.json() as { ticket?: string; }).ticket;
        }
        catch {
            return undefined;
        }
    }

    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #exchange(call: PlannedCall, target: CallTarget): Promise<AnswerFacts> {
        const isSale = call.kind === "sale" || call.kind === "ticketSale";
        const timeout = AbortSignal.timeout(call.kind === "stream" ? StreamTimeoutMs : JsonTimeoutMs);
        let answer: Dispatcher.ResponseData;
        try {
            answer = await request(`${target.callerUrl}${isSale ? SalePath : "/v1/chat/completions"}`, {
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
            return { ...NoFacts, outcome: outcomeOf(error, timeout) };
        }
        const requestId = String(answer.headers["x-request-id"] ?? "");
        const replayed = answer.headers["idempotent-replay"] === "true";
        const { text, failure } = await readBody(answer, timeout);
        const isStream = call.kind === "stream" && answer.statusCode === 200;
        const facts = isStream ? streamFacts(text, failure) : jsonFacts(text, answer.statusCode, failure);
        return { ...facts, requestId, replayed };
    }
}

async function readBody(
    answer: Dispatcher.ResponseData,
    timeout: AbortSignal,
): Promise<{ readonly text: string; readonly failure: CallOutcome | undefined; }> {
    const pieces: Buffer[] = [];
    let failure: CallOutcome | undefined;
    try {
        for await (const piece of answer.body) {
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

function streamFacts(text: string, failure: CallOutcome | undefined): AnswerFacts {
    const reader = new SseReader();
    reader.push(text);
    const { done, tokens, promptTokens, outputTokens, errorName, errorRan } = reader.facts;
    const answerIds = [...new Set([...text.matchAll(/^data: \{"id":"([^"]*)"/gm)].map(found => found[1]!))];
    const ended = done && errorName === undefined ? "complete" : errorName === undefined ? "broken" : "cut";
    const outcome = failure === "abandoned" || failure !== undefined && errorName === undefined ? failure : ended;
    const ran = errorRan as ExecutionState | undefined;
    return { ...NoFacts, outcome, errorName, ran, answerIds, done, contentChunks: tokens, promptTokens, outputTokens };
}

function jsonFacts(text: string, httpStatus: number, failure: CallOutcome | undefined): AnswerFacts {
    if (failure !== undefined) {
        return { ...NoFacts, outcome: failure };
    }
    let body: JsonAnswer;
    try {
        body = JSON.parse(text) as JsonAnswer;
    }
    catch {
        return NoFacts;
    }
    if (httpStatus !== 200) {
        return { ...NoFacts, outcome: "refused", errorName: body.error?.name, ran: body.error?.ran };
    }
    return {
        ...NoFacts,
        outcome: "complete",
        answerIds: body.id === undefined ? [] : [body.id],
        promptTokens: body.usage?.prompt_tokens,
        outputTokens: body.usage?.completion_tokens,
        echo: body.echo,
        executionNumber: body.executed,
    };
}
