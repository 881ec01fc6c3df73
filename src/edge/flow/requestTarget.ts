/** Targets of requests: a path with a query, or a whole URL, as clients send it that take the host for a proxy. */

/** The target of a request. */
export interface RequestTarget {
    /** Host and port that the request is for; `undefined` if it names none. */
    readonly host: string | undefined;
    /** Path and query. */
    readonly path: string;
}

const SchemePattern = /^[a-z][a-z0-9+.-]*:\/\//i;
const UrlPattern = /^https?:\/\/([^/?#@]+)([/?][^#]*)?$/i;

/**
 * Reads the target of a request line (RFC 9112, section 3.2).
 * @param host Value of the `Host` header; a URL in the request line goes before it.
 * @returns The target; `undefined` for a URL of another scheme, without a host, with a user or with a fragment.
 */
export function readTarget(requestTarget: string, host: string | undefined): RequestTarget | undefined {
    if (!SchemePattern.test(requestTarget)) {
        return { host, path: requestTarget };
    }
    const match = UrlPattern.exec(requestTarget);
    if (match === null) {
        return undefined;
    }
    const [, authority, path = "/"] = match;
    return { host: authority, path: path.startsWith("?") ? `/${path}` : path };
}

/** @returns Alternating names and values of headers, of which the `Host` header has the value given. */
export function replaceHost(rawHeaders: readonly string[], host: string): readonly string[] {
    return rawHeaders.map((text, index) =>
        index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === "host" ? host : text
    );
}
