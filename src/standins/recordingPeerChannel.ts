/** Peer channel for tests that records sent messages and lets a test inject received ones. */
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";

/** A peer channel without a network. */
export class RecordingPeerChannel extends PeerChannel {
    /** Messages that were sent, in their order. */
    readonly sent: { readonly address: string; readonly message: PeerMessage; }[] = [];
    readonly #listeners: PeerMessageListener[] = [];

    override send(address: string, message: PeerMessage): void {
        this.sent.push({ address, message });
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }

    /** Passes a message to the listeners as if another host had sent it. */
    receive(sender: string, message: PeerMessage): void {
        this.#listeners.forEach(listener => listener(message, sender));
    }
}
