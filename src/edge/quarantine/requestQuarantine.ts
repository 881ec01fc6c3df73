/** The quarantine of prompt parts as one request uses it. */
import { log } from "../../base/log.js";
import type { ExecutionState } from "../../base/resultCodes.js";
import type { RequestMetadata } from "../edgeTypes.js";
import type { AttemptOutcome } from "../flow/attempt.js";
import type { EdgeFailure } from "../flow/callerResponse.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { Upstream } from "../upstream/upstream.js";
import type { PromptQuarantine } from "./promptQuarantine.js";

/** Retry-After of a request that comes before the recorded evidence is read, in milliseconds: about the time that the read takes. */
const UndecidedRetryMs = 200;

/** Checks one request before it is sent, and reports how its attempts end. */
export class RequestQuarantine {
    readonly #quarantine: PromptQuarantine;
    readonly #metadata: RequestMetadata;
    #eventsBeforeAttempt = 0;

    /** @param service Service to which the request goes. */
    constructor(quarantine: PromptQuarantine, metadata: RequestMetadata, service: string) {
        this.#quarantine = quarantine;
        this.#metadata = metadata;
        quarantine.recordRequest(service, metadata);
    }

    /**
     * @param ran Whether the request has run; if it may have, the refusal does not state that it has not.
     * @param maxRetryAfterMs Maximum Retry-After, in milliseconds.
     * @returns Refusal of a request with a quarantined part, with its cause for the log; `undefined` when it may be sent.
     */
    findRefusal(ran: ExecutionState, maxRetryAfterMs: number): { failure: EdgeFailure; cause: string; } | undefined {
        if (ran === "no" && this.#quarantine.isUndecided(this.#metadata)) {
            return {
                failure: { code: "NotReady", ran, retryAfterMs: Math.min(UndecidedRetryMs, maxRetryAfterMs) },
                cause: "the recorded evidence of crashes is not read yet",
            };
        }
        const verdict = this.#quarantine.findQuarantined(this.#metadata);
        if (verdict === undefined) {
            return undefined;
        }
        const retryAfterMs = Math.min(verdict.retryAfterMs, maxRetryAfterMs);
        return {
            failure: ran === "no" ? { code: "PartQuarantined", ran, retryAfterMs } : { code: "UpstreamFailed", ran },
            cause: `prompt part ${verdict.partId} is quarantined`,
        };
    }

    /** @returns Whether the request may be sent to another upstream although its attempt has not failed. */
    get mayRepeat(): boolean {
        return this.#quarantine.mayRepeat(this.#metadata);
    }

    /** Records the beginning of an attempt. @param eventCount Number of events relayed before it. */
    recordSend(eventCount: number): void {
        this.#eventsBeforeAttempt = eventCount;
    }

    /** Records a complete response. @param eventCount Number of events relayed so far. */
    recordResponse({ statusCode, isCloseDelimited }: ResponseHead, eventCount: number): void {
        if (statusCode < 400) {
            this.#quarantine.recordCompletion({
                metadata: this.#metadata,
                isCloseDelimited,
                eventCount: eventCount - this.#eventsBeforeAttempt,
            });
        }
    }

    /**
     * Examines the failure of an attempt, if its upstream may have crashed.
     * @param eventCount Number of events relayed so far.
     * @param onExamined Called, perhaps at once, with whether the prompt allows that the request is sent again; must not throw.
     */
    examineFailure(
        outcome: AttemptOutcome,
        upstream: Upstream,
        eventCount: number,
        onExamined: (mayRepeat: boolean) => void,
    ): void {
        const isBrokenOff = outcome.status === "interrupted" && outcome.reason === "brokenOff";
        const examination = isBrokenOff ?
            this.#quarantine.examineBreak({
                upstream,
                metadata: this.#metadata,
                eventCount: eventCount - this.#eventsBeforeAttempt,
            }) :
            undefined;
        if (examination === undefined) {
            onExamined(true);
            return;
        }
        examination.then(onExamined, (error: unknown) => {
            log.error("broken connection of an upstream not examined", { error: String(error) });
            onExamined(false);
        });
    }
}
