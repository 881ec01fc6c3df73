/** Relays the events of one stream, which may come from several upstreams in succession. */
import { EventSplitter, type StreamEvent } from "../../base/eventSplitter.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { AttemptOutcome } from "./attempt.js";
import type { CallerResponse } from "./callerResponse.js";

/** Why a stream cannot be relayed any further. */
export type StreamFault = "outOfOrder" | "tooManyEvents" | "eventTooLong";

/** Result of relaying a piece of the stream; after a fault the stream is closed. */
export type StreamWriteOutcome = "written" | "callerIsSlow" | StreamFault;

/** Events allowed beyond one for each output token, as the start and the end of a stream may have events of their own. */
const ExtraEvents = 16;

/** Maximum size of an event, in bytes: far more than the output tokens of one event need. */
const MaxEventBytes = 65_536;

const DataField = /(?:^|[\r\n])data[:\r\n]/;

/** Writes complete events to the caller, in order. */
export class StreamRelay {
    readonly #response: CallerResponse;
    readonly #maxEvents: number;
    #splitter = new EventSplitter(MaxEventBytes);
    #head: ResponseHead | undefined;
    #isOpen = false;
    /** Whether the upstream has yet to show, by the id of an event, that it continues the stream. */
    #isContinuationUnproven = false;
    #eventCount = 0;
    /** Number of events relayed before the stream of the present upstream. */
    #eventsBeforeUpstream = 0;
    #lastEventId: string | undefined;

    /**
     * @param lastEventId Id of the event after which the caller resumes the stream; `undefined` for a new one.
     * @param maxOutputTokens Maximum number of output tokens of the request; each event holds one or more. `undefined`
     * for no limit.
     */
    constructor(response: CallerResponse, lastEventId: string | undefined, maxOutputTokens: number | undefined) {
        this.#response = response;
        this.#maxEvents = (maxOutputTokens ?? Number.POSITIVE_INFINITY) + ExtraEvents;
        this.#lastEventId = lastEventId;
    }

    /** @returns Whether an upstream's stream is being relayed. */
    get isOpen(): boolean {
        return this.#isOpen;
    }

    /**
     * @returns Whether the stream that is being relayed is broken off if its response ends now: within an event or, where nothing but the
     * end of the connection ends it, before the first one. Such an end does not differ from that of the upstream's process.
     */
    isBrokenOffByEnd({ isCloseDelimited }: ResponseHead): boolean {
        const hasEvent = this.#eventCount > this.#eventsBeforeUpstream;
        return this.#isOpen && (this.#splitter.isInsideEvent || (isCloseDelimited && !hasEvent));
    }

    /** @returns Whether any events were relayed. */
    get hasRelayedEvents(): boolean {
        return this.#eventCount > 0;
    }

    /** @returns Number of events relayed. */
    get eventCount(): number {
        return this.#eventCount;
    }

    /** @returns Id of the last event relayed, or that from which the caller resumes. */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /**
     * Begins or continues with the stream of an upstream. The caller gets the head of the response with the first
     * event, so that an upstream that fails before its first event has no effect on the caller.
     * @returns Always `true`, as the body of a stream is relayed as it arrives.
     */
    begin(head: ResponseHead): true {
        this.#head = this.#response.isStarted ? this.#head : head;
        this.#isContinuationUnproven = this.hasRelayedEvents;
        this.#splitter = new EventSplitter(MaxEventBytes);
        this.#isOpen = true;
        this.#eventsBeforeUpstream = this.#eventCount;
        return true;
    }

    /** Relays the events that are complete now, also those before a fault. */
    push(bytes: Buffer): StreamWriteOutcome {
        const accepted: Buffer[] = [];
        let fault: StreamFault | undefined;
        for (const event of this.#splitter.push(bytes)) {
            fault = this.#findFault(event);
            if (fault !== undefined) {
                break;
            }
            accepted.push(event.bytes);
            this.#eventCount++;
            this.#lastEventId = event.id ?? this.#lastEventId;
        }
        fault ??= this.#splitter.isEventTooLong ? "eventTooLong" : undefined;
        // One write for all events of a piece: one for each of many small events would take most of the time.
        const isSlow = accepted.length > 0 && !this.#write(accepted);
        if (fault !== undefined) {
            this.#isOpen = false;
            return fault;
        }
        return isSlow ? "callerIsSlow" : "written";
    }

    /** Completes the response after the upstream's stream; comments and blank lines after its last event are relayed as they are. */
    finish(): void {
        this.#isOpen = false;
        this.#start();
        const { partial } = this.#splitter;
        this.#eventCount += partial.length > 0 ? 1 : 0;
        this.#response.end(partial.length > 0 ? partial : undefined);
    }

    /** Handles a broken stream: drops an incomplete event and waits for the next upstream. */
    interrupt(): void {
        this.#isOpen = false;
    }

    #findFault(event: StreamEvent): StreamFault | undefined {
        if (!this.#isNext(event)) {
            return "outOfOrder";
        }
        return this.#eventCount >= this.#maxEvents ? "tooManyEvents" : undefined;
    }

    /** @returns Whether the caller keeps up. */
    #write(events: readonly Buffer[]): boolean {
        this.#start();
        const [first] = events;
        return this.#response.write(events.length === 1 ? first! : Buffer.concat(events));
    }

    #start(): void {
        if (!this.#response.isStarted && this.#head !== undefined) {
            this.#response.start(withoutLength(this.#head));
        }
    }

    /**
     * Numeric ids must increase; a repeated id means that the upstream did not resume the stream. So may data without an
     * id before the first event with one.
     */
    #isNext({ id, bytes }: StreamEvent): boolean {
        if (id === undefined) {
            return !this.#isContinuationUnproven || !DataField.test(bytes.toString("latin1"));
        }
        this.#isContinuationUnproven = false;
        if (this.#lastEventId === undefined) {
            return true;
        }
        const last = Number(this.#lastEventId);
        const next = Number(id);
        return !Number.isInteger(last) || !Number.isInteger(next) || next > last;
    }
}

/** @returns Whether a response is a successful stream of events. */
export function isStream({ statusCode, headersByName }: ResponseHead): boolean {
    return statusCode < 300 && headersByName.get("content-type")?.startsWith("text/event-stream") === true;
}

/** @returns The outcome; that of an attempt that broke off if the end of the response breaks its stream off. */
export function checkStreamEnd(outcome: AttemptOutcome, relay: StreamRelay): AttemptOutcome {
    return outcome.status === "answered" && relay.isBrokenOffByEnd(outcome.head) ?
        { status: "interrupted", reason: "brokenOff", detail: "the stream ended before or within an event" } :
        outcome;
}

/** @returns The head without `Content-Length`, as the events of another upstream may follow. */
function withoutLength(head: ResponseHead): ResponseHead {
    return { ...head, headers: head.headers.filter(([name]) => name.toLowerCase() !== "content-length") };
}
