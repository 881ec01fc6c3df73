/** Strict incremental parser of HTTP/1.1 responses. */
import { isHeaderName, isHeaderText } from "../../base/headerSyntax.js";

/**
 * Head of a response. Header names keep the case in which the upstream sent them. Status, reason phrase and headers can be written to a
 * caller as they are; the parser rejects any others.
 */
export interface ResponseHead {
    readonly statusCode: number;
    readonly reasonPhrase: string;
    /** Name and value pairs in wire order. */
    readonly headers: readonly (readonly [string, string])[];
    /** First value by lower-case name. */
    readonly headersByName: ReadonlyMap<string, string>;
    /** Length of the body in bytes, 0 when there is none; `undefined` when it is not known in advance. */
    readonly contentLength: number | undefined;
    readonly isChunked: boolean;
    /** Whether the body ends when the connection closes. */
    readonly isCloseDelimited: boolean;
    /** Whether the connection may carry another request after this response. */
    readonly isKeepAlive: boolean;
}

/** Receives the head, the body and the end of a response, in this order. */
export interface ResponseListener {
    onHead(head: ResponseHead): void;
    onBody(bytes: Buffer): void;
    onEnd(): void;
}

/** Thrown when the upstream sends bytes that are not a valid response. */
export class ResponseSyntaxError extends Error {}

/** Maximum size of a head, chunk line or trailer, in bytes; equals the default of Node's own parser. */
const MaxHeadBytes = 16_384;

/** Maximum number of interim responses before the final one; no server in use sends more than two. */
const MaxInterimResponses = 8;

/** Status by which an upstream changes to another protocol, which no request here asks for. */
const SwitchingProtocolsStatus = 101;
/** Statuses whose responses have no body, whatever their headers state (RFC 9112, section 6.3). */
const NoContentStatus = 204;
const NotModifiedStatus = 304;

const HeadEnd = Buffer.from("\r\n\r\n");
const LineEnd = Buffer.from("\r\n");
const StatusLine = /^HTTP\/1\.([01]) ([1-5][0-9][0-9])(?: ([^\r\n]*))?$/;
/** Occurs within a head only if the head was cut off and another response follows it on the connection. */
const JoinedStatusLine = /.HTTP\/1\.[01] [1-5][0-9][0-9]/s;
const SurroundingSpace = /^[ \t]+|[ \t]+$/g;
const ChunkSize = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;
const NoBytes = Buffer.alloc(0);

type State = "head" | "length" | "untilClose" | "chunkSize" | "chunkData" | "chunkEnd" | "trailer" | "done";

/** Parses one response after another; the body is passed on as it arrives. */
export class ResponseParser {
    readonly #listener: ResponseListener;
    #state: State = "head";
    #buffered: Buffer = NoBytes;
    #remainingBytes = 0;
    #hasBody = true;
    #interimResponseCount = 0;
    #trailerBytes = 0;
    /** Bytes of chunk framing beyond the bytes of the chunks' contents; bounds streams of tiny chunks. */
    #excessFramingBytes = 0;

    constructor(listener: ResponseListener) {
        this.#listener = listener;
    }

    /**
     * Prepares for the response to the next request; bytes that are not parsed yet are kept.
     * @param method Method of the request; a response to HEAD has no body.
     */
    expectResponse(method: string): void {
        this.#state = "head";
        this.#hasBody = method !== "HEAD";
        this.#interimResponseCount = 0;
        this.#trailerBytes = 0;
        this.#excessFramingBytes = 0;
    }

    /** @returns Whether received bytes have not been parsed yet. */
    get hasUnparsedBytes(): boolean {
        return this.#buffered.length > 0;
    }

    /** @returns Whether the body being read ends when the connection closes. */
    get isReadingUntilClose(): boolean {
        return this.#state === "untilClose";
    }

    /**
     * Parses received bytes and reports to the listener.
     * @param bytes Bytes as received.
     * @throws ResponseSyntaxError when the bytes are not a valid response.
     */
    push(bytes: Buffer): void {
        this.#buffered = this.#buffered.length === 0 ? bytes : Buffer.concat([this.#buffered, bytes]);
        while (this.#state !== "done" && this.#buffered.length > 0 && this.#step()) {
            // Each step consumes one complete element: a head, a line or a piece of the body.
        }
    }

    /** Handles an orderly close by the upstream, which completes a body without a length. */
    finish(): void {
        if (this.isReadingUntilClose) {
            this.#end();
        }
    }

    #step(): boolean {
        switch (this.#state) {
            case "head":
                return this.#readHead();
            case "length":
            case "chunkData":
                return this.#readSizedBody();
            case "untilClose":
                this.#emit(this.#take(this.#buffered.length));
                return true;
            case "chunkSize":
                return this.#readChunkSize();
            case "chunkEnd":
                return this.#readChunkEnd();
            case "trailer":
                return this.#readTrailer();
            case "done":
                return false;
        }
    }

    #take(count: number): Buffer {
        const taken = this.#buffered.subarray(0, count);
        this.#buffered = count === this.#buffered.length ? NoBytes : this.#buffered.subarray(count);
        return taken;
    }

    #readHead(): boolean {
        const end = this.#buffered.indexOf(HeadEnd);
        if (end < 0) {
            this.#checkLineLength();
            // Without this check, the parser would wait until the deadline for the end of a head that is not HTTP.
            if (this.#buffered.length >= 5 && !this.#buffered.subarray(0, 5).equals(Buffer.from("HTTP/"))) {
                throw new ResponseSyntaxError("the response does not begin with a status line");
            }
            return false;
        }
        const head = parseHead(this.#take(end + HeadEnd.length).subarray(0, end).toString("latin1"), this.#hasBody);
        if (head.statusCode < 200) {
            this.#interimResponseCount++;
            if (this.#interimResponseCount > MaxInterimResponses) {
                throw new ResponseSyntaxError("no final response after many interim ones");
            }
            return true;
        }
        this.#listener.onHead(head);
        if (head.isChunked) {
            this.#state = "chunkSize";
        }
        else if (head.isCloseDelimited) {
            this.#state = "untilClose";
        }
        else {
            this.#remainingBytes = head.contentLength ?? 0;
            this.#state = "length";
            if (this.#remainingBytes === 0) {
                this.#end();
            }
        }
        return true;
    }

    #readSizedBody(): boolean {
        const bytes = this.#take(Math.min(this.#remainingBytes, this.#buffered.length));
        this.#remainingBytes -= bytes.length;
        this.#emit(bytes);
        if (this.#remainingBytes === 0) {
            if (this.#state === "length") {
                this.#end();
            }
            else {
                this.#state = "chunkEnd";
            }
        }
        return true;
    }

    #readChunkSize(): boolean {
        const line = this.#readLine();
        if (line === undefined) {
            return false;
        }
        const size = ChunkSize.exec(line)?.[1];
        if (size === undefined) {
            throw new ResponseSyntaxError("a chunk has no valid size");
        }
        this.#remainingBytes = Number.parseInt(size, 16);
        const framingBytes = line.length + 2 * LineEnd.length;
        this.#excessFramingBytes = Math.max(0, this.#excessFramingBytes + framingBytes - this.#remainingBytes);
        if (this.#excessFramingBytes > MaxHeadBytes) {
            throw new ResponseSyntaxError("the chunks of the body are too small");
        }
        this.#state = this.#remainingBytes === 0 ? "trailer" : "chunkData";
        return true;
    }

    #readChunkEnd(): boolean {
        if (this.#buffered.length < LineEnd.length) {
            return false;
        }
        if (!this.#take(LineEnd.length).equals(LineEnd)) {
            throw new ResponseSyntaxError("a chunk is longer than its size");
        }
        this.#state = "chunkSize";
        return true;
    }

    #readTrailer(): boolean {
        const line = this.#readLine();
        if (line === undefined) {
            return false;
        }
        if (line === "") {
            this.#end();
            return true;
        }
        this.#trailerBytes += line.length;
        if (this.#trailerBytes > MaxHeadBytes) {
            throw new ResponseSyntaxError("the trailer is too long");
        }
        return true;
    }

    #readLine(): string | undefined {
        const end = this.#buffered.indexOf(LineEnd);
        if (end < 0) {
            this.#checkLineLength();
            return undefined;
        }
        return this.#take(end + LineEnd.length).subarray(0, end).toString("latin1");
    }

    #checkLineLength(): void {
        if (this.#buffered.length > MaxHeadBytes) {
            throw new ResponseSyntaxError("a head or chunk line is too long");
        }
    }

    #emit(bytes: Buffer): void {
        this.#listener.onBody(bytes);
    }

    #end(): void {
        this.#state = "done";
        this.#listener.onEnd();
    }
}

function parseHead(text: string, expectsBody: boolean): ResponseHead {
    const [statusLine, ...lines] = text.split("\r\n");
    const status = StatusLine.exec(statusLine ?? "");
    if (status === null) {
        throw new ResponseSyntaxError("the status line is not valid");
    }
    if (JoinedStatusLine.test(text)) {
        throw new ResponseSyntaxError("the head contains the status line of another response");
    }
    const reasonPhrase = status[3] ?? "";
    if (!isHeaderText(reasonPhrase)) {
        throw new ResponseSyntaxError("the reason phrase has a control character");
    }
    const headers = lines.map(parseHeader);
    const byName = new Map<string, string>();
    for (const [name, value] of headers) {
        const key = name.toLowerCase();
        if (byName.has(key) && (key === "content-length" || key === "transfer-encoding")) {
            throw new ResponseSyntaxError(`the header ${key} is repeated`);
        }
        byName.set(key, byName.get(key) ?? value);
    }
    return buildHead(Number(status[2]), reasonPhrase, status[1] === "1", headers, byName, expectsBody);
}

function buildHead(
    statusCode: number,
    reasonPhrase: string,
    isVersion11: boolean,
    headers: readonly (readonly [string, string])[],
    headersByName: ReadonlyMap<string, string>,
    expectsBody: boolean,
): ResponseHead {
    if (statusCode === SwitchingProtocolsStatus) {
        throw new ResponseSyntaxError("the response changes to another protocol");
    }
    const encoding = headersByName.get("transfer-encoding");
    const length = headersByName.get("content-length");
    if (encoding !== undefined && (encoding.toLowerCase() !== "chunked" || length !== undefined)) {
        throw new ResponseSyntaxError("the framing of the response is ambiguous");
    }
    if (length !== undefined && !/^[0-9]{1,15}$/.test(length)) {
        throw new ResponseSyntaxError("the content length is not a number");
    }
    if (statusCode === NoContentStatus && (encoding !== undefined || Number(length ?? 0) > 0)) {
        throw new ResponseSyntaxError("a response without content announces a body");
    }
    const hasBody = expectsBody && statusCode >= 200 && statusCode !== NoContentStatus &&
        statusCode !== NotModifiedStatus;
    const isChunked = hasBody && encoding !== undefined;
    const isCloseDelimited = hasBody && !isChunked && length === undefined;
    const connection = headersByName.get("connection")?.toLowerCase() ?? "";
    const isKeepAlive = isVersion11 && !connection.includes("close") && !isCloseDelimited;
    return {
        statusCode,
        reasonPhrase,
        headers,
        headersByName,
        contentLength: hasBody && length !== undefined ? Number(length) : hasBody ? undefined : 0,
        isChunked,
        isCloseDelimited,
        isKeepAlive,
    };
}

function parseHeader(line: string): readonly [string, string] {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon);
    const value = line.slice(colon + 1).replace(SurroundingSpace, "");
    if (colon < 1 || !isHeaderName(name) || !isHeaderText(value)) {
        throw new ResponseSyntaxError("a header line is not valid");
    }
    return [name, value];
}
