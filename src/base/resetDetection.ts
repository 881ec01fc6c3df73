/** Detection of resets on connections whose peer has ended its side, by which a truncated response differs from a complete one. */
import type { Socket } from "node:net";

/**
 * Time after the end of a response without a length for which a reset shows that it was truncated, in milliseconds. A process that dies
 * with a part of the request unread may end its side of the connection first: resets were seen 40 ms after such ends.
 */
export const ResetObservationMs = 100;

/** Written to detect a reset: an empty line, which servers ignore before a request. */
const ResetProbe = "\r\n";

/**
 * Finds out whether a connection was reset. A reset that arrives together with data, or after the end, is not reported to a reader (libuv
 * treats a hang-up after a partial read as the end of the file). Only a write can distinguish them: it fails on a connection that was
 * reset. It may be made only once, as a peer that has closed its connection in an orderly way resets it in reply.
 * @param onResult Called with the error of the write; `undefined` if the connection was not reset.
 */
export function detectReset(socket: Socket, onResult: (error: Error | undefined) => void): void {
    socket.write(ResetProbe, error => onResult(error ?? undefined));
}
