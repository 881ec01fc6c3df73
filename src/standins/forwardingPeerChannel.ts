/** Peer channel of one host of a test fleet, which passes the sent messages to the fleet. */
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";

/** A peer channel over the messages of a fleet in one process. */
export class ForwardingPeerChannel extends PeerChannel {
    readonly #onSend: (address: string, message: PeerMessage) => void;
    readonly #listeners: PeerMessageListener[] = [];

    /** @param onSend Called with each message that the host sends, and its receiver. */
    constructor(onSend: (address: string, message: PeerMessage) => void) {
        super();
        this.#onSend = onSend;
    }

    override send(address: string, message: PeerMessage): void {
        this.#onSend(address, message);
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }

    /** Passes a message of another host to the listeners. */
    deliver(message: PeerMessage, sender: string): void {
        this.#listeners.forEach(listener => listener(message, sender));
    }
}
