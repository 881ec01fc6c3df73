/** Writes lines to a file descriptor without blocking, with a bound on what waits. */
import { write } from "node:fs";

/** Bytes that may wait to be written. A reader that stalls for seconds costs lines, never time. */
const MaxWaitingBytes = 1_048_576;

/** Lines are gathered for this long, so that a busy process makes few system calls, in milliseconds. */
const GatherMs = 50;

/** Starts one write; calls back with the error and the bytes written. */
export type WriteBytes = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/** Gathers lines and writes them in the background. Lines beyond the bound are dropped and counted in a line. */
export class LineWriter {
    readonly #write: WriteBytes;
    readonly #maxWaitingBytes: number;
    #lines: string[] = [];
    #waitingBytes = 0;
    #droppedLines = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;

    /** @param write Writes bytes; returns at once. */
    constructor(write: WriteBytes, maxWaitingBytes = MaxWaitingBytes) {
        this.#write = write;
        this.#maxWaitingBytes = maxWaitingBytes;
    }

    /** Adds a line, without its line end. */
    add(line: string): void {
        if (this.#waitingBytes + line.length > this.#maxWaitingBytes) {
            this.#droppedLines++;
            return;
        }
        this.#lines.push(line);
        this.#waitingBytes += line.length + 1;
        this.#timer ??= setTimeout(() => this.flush(), GatherMs).unref();
    }

    /** Starts to write what waits. */
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
        this.#lines = [];
        this.#writeAll(bytes, bytes.length);
    }

    #writeAll(bytes: Buffer, waitingBytes: number): void {
        this.#isWriting = true;
        this.#write(bytes, (error, writtenBytes) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.#writeAll(bytes, waitingBytes), GatherMs).unref();
                return;
            }
            if (error === null && writtenBytes < bytes.length) {
                this.#writeAll(bytes.subarray(writtenBytes), waitingBytes);
                return;
            }
            this.#isWriting = false;
            this.#waitingBytes = Math.max(0, this.#waitingBytes - waitingBytes);
            this.flush();
        });
    }
}

/** @returns A writer for standard output. */
export function standardOutputWriter(): LineWriter {
    const standardOutput = 1;
    return new LineWriter((bytes, done) => write(standardOutput, bytes, done));
}
