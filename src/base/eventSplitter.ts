/** Splits a stream of server-sent events into complete events. */

/** One complete event. */
export interface StreamEvent {
    /** The event as received, with the blank line that ends it. */
    readonly bytes: Buffer;
    /** Value of the `id` field; `undefined` when the event has none. */
    readonly id: string | undefined;
}

/** Initial capacity for an incomplete event, in bytes; doubled when it does not suffice. */
const InitialCapacityBytes = 512;

const LineFeed = 0x0a;
const CarriageReturn = 0x0d;
const NoBytes = Buffer.alloc(0);
const AnyLineEnd = /\r\n|\n|\r/;
const IdField = /(?:^|\r?\n|\r)id:[ ]?([^\r\n]*)/;

/**
 * Collects bytes until an event is complete, so that an interrupted event never reaches the caller. Each byte is examined once, however
 * the events are cut into pieces, as the upstream decides on both.
 */
export class EventSplitter {
    readonly #maxEventBytes: number;
    /** Bytes of the incomplete event, followed by spare capacity. */
    #buffer: Buffer = NoBytes;
    #partialBytes = 0;

    /** @param maxEventBytes Maximum size of an incomplete event, in bytes. */
    constructor(maxEventBytes: number) {
        this.#maxEventBytes = maxEventBytes;
    }

    /**
     * Adds received bytes.
     * @param bytes Bytes as received.
     * @returns The events that are complete now.
     */
    push(bytes: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let index = bytes.indexOf(LineFeed); index >= 0; index = bytes.indexOf(LineFeed, index + 1)) {
            if (this.#endsEvent(bytes, start, index)) {
                events.push(this.#takeEvent(bytes.subarray(start, index + 1)));
                start = index + 1;
            }
        }
        this.#append(bytes.subarray(start));
        return events;
    }

    /** @returns Bytes after the last complete event. */
    get partial(): Buffer {
        return this.#buffer.subarray(0, this.#partialBytes);
    }

    /** @returns Whether the incomplete event exceeds the maximum size. */
    get isEventTooLong(): boolean {
        return this.#partialBytes > this.#maxEventBytes;
    }

    /** @returns Whether the line feed at an index ends a blank line, and with it the event that began at `start` or before. */
    #endsEvent(bytes: Buffer, start: number, index: number): boolean {
        const before = (count: number): number | undefined => {
            const position = index - count;
            return position >= start ? bytes[position] : this.partial.at(position - start);
        };
        return before(1) === LineFeed ||
            (before(1) === CarriageReturn && before(2) === LineFeed && before(3) === CarriageReturn);
    }

    /** @returns The event that ends with the given bytes. */
    #takeEvent(last: Buffer): StreamEvent {
        const bytes = this.#partialBytes === 0 ? last : Buffer.concat([this.partial, last]);
        this.#partialBytes = 0;
        return { bytes, id: IdField.exec(bytes.toString("latin1"))?.[1] };
    }

    #append(bytes: Buffer): void {
        const neededBytes = this.#partialBytes + bytes.length;
        if (neededBytes > this.#buffer.length) {
            const grown = Buffer.allocUnsafe(Math.max(InitialCapacityBytes, neededBytes, this.#buffer.length * 2));
            this.partial.copy(grown);
            this.#buffer = grown;
        }
        bytes.copy(this.#buffer, this.#partialBytes);
        this.#partialBytes = neededBytes;
    }

    /** @returns Whether the bytes after the last blank line belong to an event; comments and blank lines do not. */
    get isInsideEvent(): boolean {
        const lines = this.partial.toString("latin1").split(AnyLineEnd);
        const fieldIndex = lines.findLastIndex(line => line !== "" && !line.startsWith(":"));
        // The last element follows the last line end, so that an empty one is no blank line.
        return fieldIndex >= 0 && !lines.slice(fieldIndex, -1).includes("");
    }
}
