/** Writes lines to a file descriptor without blocking, with a bounded buffer. */
import { write } from "node:fs";
import { sleep } from "./sleep.js";

/** Default maximum of buffered bytes. While a reader stalls for seconds, lines are dropped and the process is not delayed. */
const MaxBufferedBytes = 1_048_576;

/** Time for which lines are collected before they are written, so that a busy process makes few system calls; in milliseconds. */
const BatchIntervalMs = 50;

/** Starts one write and returns at once; calls back with the error, or with the number of bytes written. */
export type WriteBytes = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/**
 * Buffers lines and writes them in the background, in batches. Lines that exceed the buffer are dropped; a later log line states
 * how many. A batch whose write fails counts as dropped too, except that a write is repeated after EAGAIN.
 */
export class LineWriter {
    readonly #write: WriteBytes;
    readonly #maxBufferedBytes: number;
    #lines: string[] = [];
    #bufferedBytes = 0;
    #droppedLines = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;
    /** Called when no line is buffered or being written any more. */
    #onEmpty: () => void = () => undefined;

    /**
     * @param write Starts a write.
     * @param maxBufferedBytes Maximum size of the lines that are buffered or being written, in bytes.
     */
    constructor(write: WriteBytes, maxBufferedBytes = MaxBufferedBytes) {
        this.#write = write;
        this.#maxBufferedBytes = maxBufferedBytes;
    }

    /** Adds a line, given without its line end; drops it if the buffer is full. */
    add(line: string): void {
        const bytes = Buffer.byteLength(line) + 1;
        if (this.#bufferedBytes + bytes > this.#maxBufferedBytes) {
            this.#droppedLines++;
            return;
        }
        this.#lines.push(line);
        this.#bufferedBytes += bytes;
        this.#timer ??= setTimeout(() => this.flush(), BatchIntervalMs).unref();
    }

    /** Starts to write the buffered lines, unless a write is in progress. */
    flush(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        if (this.#isWriting || this.#lines.length === 0) {
            return;
        }
        if (this.#droppedLines > 0) {
            this.#lines.push(
                JSON.stringify({ level: "warn", message: "log lines dropped", count: this.#droppedLines }),
            );
            this.#droppedLines = 0;
        }
        const bytes = Buffer.from(`${this.#lines.join("\n")}\n`);
        const lineCount = this.#lines.length;
        this.#lines = [];
        this.#writeAll(bytes, { bytes: bytes.length, lines: lineCount });
    }

    /**
     * Writes the buffered lines, for the end of the process.
     * @param maxMs Maximum time to wait for the reader, in milliseconds.
     * @returns Resolves with whether all lines are written.
     */
    async drain(maxMs: number): Promise<boolean> {
        this.flush();
        if (this.#isWriting) {
            await Promise.race([new Promise<void>(resolve => this.#onEmpty = resolve), sleep(maxMs)]);
        }
        return !this.#isWriting && this.#lines.length === 0;
    }

    #writeAll(bytes: Buffer, batch: { readonly bytes: number; readonly lines: number; }): void {
        this.#isWriting = true;
        this.#write(bytes, (error, writtenBytes) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.#writeAll(bytes, batch), BatchIntervalMs).unref();
                return;
            }
            if (error === null && writtenBytes < bytes.length) {
                this.#writeAll(bytes.subarray(writtenBytes), batch);
                return;
            }
            this.#isWriting = false;
            this.#bufferedBytes = Math.max(0, this.#bufferedBytes - batch.bytes);
            if (error !== null) {
                this.#droppedLines += batch.lines;
            }
            this.flush();
            if (!this.#isWriting) {
                this.#onEmpty();
            }
        });
    }
}

/** @returns A writer for standard output. */
export function standardOutputWriter(): LineWriter {
    const standardOutput = 1;
    return new LineWriter((bytes, done) => write(standardOutput, bytes, done));
}
