/** Observation of a connection for a reset after the end of a response that ends with its connection. */
import type { Socket } from "node:net";
import { detectReset, ResetObservationMs } from "../base/resetDetection.js";
import { type ResponseTimeout, startResponseTimeout } from "../base/responseTimeout.js";

/** Keeps a connection open for {@link ResetObservationMs} and reports whether it was reset by then; then closes it. */
export class ResetObservation {
    readonly #socket: Socket;
    readonly #timer: ResponseTimeout;
    #isOver = false;

    /**
     * Begins the observation; called at the end of the response, before undici destroys the socket, which would hide a later reset.
     * @param onResult Called once unless cancelled: with the error, or `undefined` if the connection was not reset.
     */
    constructor(socket: Socket, onResult: (error: Error | undefined) => void) {
        this.#socket = socket;
        // undici destroys the socket at the end of such a response and has no setting for that.
        Object.defineProperty(socket, "destroy", { value: () => socket, configurable: true });
        this.#timer = startResponseTimeout(() => {
            detectReset(socket, error => {
                if (!this.#isOver) {
                    this.cancel();
                    onResult(error);
                }
            });
        }, ResetObservationMs);
    }

    /** Closes the connection without a result. */
    cancel(): void {
        if (this.#isOver) {
            return;
        }
        this.#isOver = true;
        this.#timer.cancel();
        Reflect.deleteProperty(this.#socket, "destroy");
        this.#socket.destroy();
    }
}
