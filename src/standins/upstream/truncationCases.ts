/** Ways in which an upstream ends a response without a length early, for tests of both request paths. */
import type { Socket } from "node:net";

/** Name of the test, and what the upstream does after it has written the first part of its response. */
export type TruncationCase = readonly [name: string, end: (socket: Socket) => unknown];

/** @param secondPart Part of the response that is written before some of the ends. */
export function truncationCases(secondPart: string): readonly TruncationCase[] {
    return [
        ["a reset at once", socket => socket.resetAndDestroy()],
        ["a reset after 30 ms", socket => setTimeout(() => socket.resetAndDestroy(), 30)],
        [
            "a reset behind a second part",
            socket => setTimeout(() => socket.write(secondPart, () => socket.resetAndDestroy()), 30),
        ],
        [
            "a reset between two parts",
            socket =>
                setTimeout(() => socket.write(secondPart, () => setTimeout(() => socket.resetAndDestroy(), 15)), 15),
        ],
        ...[10, 40].map((delayMs): TruncationCase => [
            `an end, and a reset ${delayMs} ms later`,
            socket => socket.end(() => setTimeout(() => socket.resetAndDestroy(), delayMs)),
        ]),
    ];
}
