/** Channel for tests: records what is sent and hands over what a test receives. */
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";

/** A channel without a network. */
export class RecordingPeerChannel extends PeerChannel {
    readonly sent: { readonly address: string; readonly message: PeerMessage; }[] = [];
    readonly #listeners: PeerMessageListener[] = [];

    override send(address: string, message: PeerMessage): void {
        this.sent.push({ address, message });
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }

    /** Hands a message of another host over. */
    receive(sender: string, message: PeerMessage): void {
        this.#listeners.forEach(listener => listener(message, sender));
    }
}
