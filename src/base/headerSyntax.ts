/** Syntax of HTTP headers. */

/** A token as RFC 9110, section 5.6.2, defines it. */
const TokenPattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** Characters that neither a field value (RFC 9110, section 5.5) nor a reason phrase may contain. */
const InvalidTextPattern = /[^\t\x20-\x7e\x80-\xff]/;

/** @returns Whether a text is a valid header name. */
export function isHeaderName(name: string): boolean {
    return TokenPattern.test(name);
}

/** @returns Whether a text, read as Latin-1, can stand in a header's value or a reason phrase. */
export function isHeaderText(text: string): boolean {
    return !InvalidTextPattern.test(text);
}

/**
 * Finds a header name that is not a token. Node's HTTP parser accepts some of them, such as names with a space before the colon. Other
 * readers may take such a header for the one without the space.
 * @param rawHeaders Alternating header names and values, as in Node's `rawHeaders`.
 * @returns The first invalid name; `undefined` if all are valid.
 */
export function findInvalidHeaderName(rawHeaders: readonly string[]): string | undefined {
    return rawHeaders.find((name, index) => index % 2 === 0 && !isHeaderName(name));
}
