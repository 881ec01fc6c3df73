/** Responses whose status is not a number from 100 to 599, for tests of both request paths. */

const Statuses = ["000", "099", "600", "999", "0200"] as const;

const InterimResponses = [
    ["at once", ""],
    ["behind a 100", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["behind a 103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"],
] as const;

const Framings = [
    ["a length", "Content-Length: 2\r\n\r\nok"],
    ["the end of the connection", "\r\nok"],
] as const;

/** One response: interim responses before it, its status, and the rest from its last header on. */
export interface InvalidStatusCase {
    readonly status: string;
    /** Where the status line stands, for the name of the test. */
    readonly place: string;
    readonly interim: string;
    /** What ends the body, for the name of the test. */
    readonly framing: string;
    readonly rest: string;
}

/** All combinations of status, interim response and framing. */
export const InvalidStatusCases: readonly InvalidStatusCase[] = Statuses.flatMap(status =>
    InterimResponses.flatMap(([place, interim]) =>
        Framings.map(([framing, rest]) => ({ status, place, interim, framing, rest }))
    )
);
