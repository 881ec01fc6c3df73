/** Splits a stream of server-sent events into complete events. */

import { ResponseSyntaxError } from "./responseParser.js";

/** One complete event. */
export interface StreamEvent {
    /** The event as received, with the blank line that ends it. */
    readonly bytes: Buffer;
    /** Value of the `id` field; `undefined` when the event has none. */
    readonly id: string | undefined;
}

/** Maximum size of an event, in bytes: far more than the output tokens of one event need. */
const MaxEventBytes = 65_536;

const NoBytes = Buffer.alloc(0);
const AnyLineEnd = /\r\n|\n|\r/;
const IdField = /(?:^|\r?\n|\r)id:[ ]?([^\r\n]*)/;

/** Collects bytes until an event is complete, so that an interrupted event never reaches the caller. */
export class EventSplitter {
    #partial: Buffer = NoBytes;

    /**
     * Adds received bytes.
     * @param bytes Bytes as received.
     * @returns The events that are complete now.
     * @throws ResponseSyntaxError when an incomplete event exceeds the maximum size.
     */
    push(bytes: Buffer): StreamEvent[] {
        const data = this.#partial.length === 0 ? bytes : Buffer.concat([this.#partial, bytes]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(data, start); end >= 0; end = findEventEnd(data, start)) {
            const event = data.subarray(start, end);
            events.push({ bytes: event, id: IdField.exec(event.toString("latin1"))?.[1] });
            start = end;
        }
        this.#partial = start === data.length ? NoBytes : data.subarray(start);
        if (this.#partial.length > MaxEventBytes) {
            throw new ResponseSyntaxError("an event of the stream is too long");
        }
        return events;
    }

    /** @returns Bytes after the last complete event. */
    get partial(): Buffer {
        return this.#partial;
    }

    /** @returns Whether the bytes after the last blank line belong to an event; comments and blank lines do not. */
    get isInsideEvent(): boolean {
        const lines = this.#partial.toString("latin1").split(AnyLineEnd);
        const fieldIndex = lines.findLastIndex(line => line !== "" && !line.startsWith(":"));
        // The last element follows the last line end, so that an empty one is no blank line.
        return fieldIndex >= 0 && !lines.slice(fieldIndex, -1).includes("");
    }
}

/** @returns Index after the blank line that ends an event, or -1. */
function findEventEnd(data: Buffer, start: number): number {
    const lfEnd = data.indexOf("\n\n", start, "latin1");
    const crlfEnd = data.indexOf("\r\n\r\n", start, "latin1");
    if (crlfEnd >= 0 && (lfEnd < 0 || crlfEnd < lfEnd)) {
        return crlfEnd + 4;
    }
    return lfEnd < 0 ? -1 : lfEnd + 2;
}
