/** Relays the events of one stream, which may come from several upstreams one after the other. */
import { EventSplitter } from "../transport/eventSplitter.js";
import type { ResponseHead } from "../transport/responseParser.js";
import type { CallerResponse } from "./callerResponse.js";

/** What became of a piece of the stream. */
export type StreamWriteOutcome = "written" | "callerIsSlow" | "outOfOrder" | "tooLong";

/** Events beyond one for each output token: the start and the end of a stream may have their own. */
const SpareEvents = 16;

/** Hands complete events to the caller in order. */
export class StreamRelay {
    readonly #answer: CallerResponse;
    readonly #mostEvents: number;
    #splitter = new EventSplitter();
    #head: ResponseHead | undefined;
    #isOpen = false;
    #eventCount = 0;
    #lastEventId: string | undefined;

    /**
     * @param lastEventId Event after which the caller resumes the stream.
     * @param maxOutputTokens Most output tokens of the request; each event holds one or more.
     */
    constructor(answer: CallerResponse, lastEventId: string | undefined, maxOutputTokens: number | undefined) {
        this.#answer = answer;
        this.#mostEvents = (maxOutputTokens ?? Number.POSITIVE_INFINITY) + SpareEvents;
        this.#lastEventId = lastEventId;
    }

    /** @returns Whether an upstream's stream is being relayed. */
    get isOpen(): boolean {
        return this.#isOpen;
    }

    /** @returns Whether events were relayed. */
    get hasRelayedEvents(): boolean {
        return this.#eventCount > 0;
    }

    /** @returns Events relayed. */
    get eventCount(): number {
        return this.#eventCount;
    }

    /** @returns Id of the last event that was relayed. */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /**
     * Begins or continues with the stream of an upstream. The caller gets the first upstream's head with the first
     * event, so that an upstream that fails before it costs nothing.
     */
    begin(head: ResponseHead): true {
        this.#head = this.#answer.isStarted ? this.#head : head;
        this.#splitter = new EventSplitter();
        this.#isOpen = true;
        return true;
    }

    /** Relays the events that are complete. */
    push(bytes: Buffer): StreamWriteOutcome {
        let outcome: StreamWriteOutcome = "written";
        for (const event of this.#splitter.push(bytes)) {
            if (!this.#isNext(event.id)) {
                this.#isOpen = false;
                return "outOfOrder";
            }
            if (this.#eventCount >= this.#mostEvents) {
                this.#isOpen = false;
                return "tooLong";
            }
            this.#start();
            this.#eventCount++;
            this.#lastEventId = event.id ?? this.#lastEventId;
            if (!this.#answer.write(event.bytes)) {
                outcome = "callerIsSlow";
            }
        }
        return outcome;
    }

    /** The upstream's stream is complete. */
    finish(): void {
        this.#isOpen = false;
        this.#start();
        const { partial } = this.#splitter;
        this.#eventCount += partial.length > 0 ? 1 : 0;
        this.#answer.end(partial.length > 0 ? partial : undefined);
    }

    /** The upstream's stream broke off; an incomplete event is dropped. */
    interrupt(): void {
        this.#isOpen = false;
    }

    #start(): void {
        if (!this.#answer.isStarted && this.#head !== undefined) {
            this.#answer.start(this.#head);
        }
    }

    /** Numeric ids must grow; a repeated one means that the upstream did not resume. */
    #isNext(id: string | undefined): boolean {
        if (id === undefined || this.#lastEventId === undefined) {
            return true;
        }
        const last = Number(this.#lastEventId);
        const next = Number(id);
        return !Number.isInteger(last) || !Number.isInteger(next) || next > last;
    }
}
