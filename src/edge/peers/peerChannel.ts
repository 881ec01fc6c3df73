/** Datagrams between hosts. A lost, late or repeated one costs accuracy or time, never tokens of a budget. */
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import { splitAddress } from "../../base/address.js";
import { log } from "../../base/log.js";
import { LoanPendingSchema, LoanReplySchema, LoanReportSchema, LoanRequestSchema } from "../budget/loanMessages.js";
import { LoadReportSchema } from "./peerLoadTracker.js";

/** Largest datagram, in bytes; stays within one packet on common links. */
export const MaxDatagramBytes = 1_400;

/** What hosts tell each other; `k` names the kind. */
export const PeerMessageSchema = z.discriminatedUnion("k", [
    LoadReportSchema,
    LoanRequestSchema,
    LoanReplySchema,
    LoanPendingSchema,
    LoanReportSchema,
]);
export type PeerMessage = z.infer<typeof PeerMessageSchema>;

/** Receives a message of another host. */
export type PeerMessageListener = (message: PeerMessage, senderAddress: string) => void;

/** Sends messages to other hosts and hands theirs over. */
export abstract class PeerChannel {
    /** @param address `IP:port` of the receiver. */
    abstract send(address: string, message: PeerMessage): void;

    /** Adds a listener; all listeners get all messages. */
    abstract onMessage(listener: PeerMessageListener): void;
}

/** Channel over UDP. */
export class UdpPeerChannel extends PeerChannel {
    readonly #isHost: (address: string) => boolean;
    readonly #onStranger: () => void;
    readonly #listeners: PeerMessageListener[] = [];
    #socket: Socket | undefined;
    #hasDroppedLarge = false;

    /**
     * @param isHost Tells whether an address is another host's; no other sender is believed.
     * @param onStranger Called when another sender's message arrives.
     */
    constructor(isHost: (address: string) => boolean, onStranger: () => void) {
        super();
        this.#isHost = isHost;
        this.#onStranger = onStranger;
    }

    /** Opens the socket. */
    start(host: string, port: number): void {
        const socket = createSocket("udp4");
        this.#socket = socket;
        socket.on("error", error => log.warn("peer messages cannot be exchanged", { error: error.message }));
        socket.on("message", (bytes, sender) => this.#receive(bytes, `${sender.address}:${sender.port}`));
        socket.bind(port, host);
    }

    /** Closes the socket. */
    stop(): void {
        this.#socket?.close();
        this.#socket = undefined;
    }

    override send(address: string, message: PeerMessage): void {
        const bytes = Buffer.from(JSON.stringify(message));
        if (bytes.length > MaxDatagramBytes) {
            if (!this.#hasDroppedLarge) {
                this.#hasDroppedLarge = true;
                log.warn("peer message too large to send", { kind: message.k, bytes: bytes.length });
            }
            return;
        }
        const { host, port } = splitAddress(address);
        this.#socket?.send(bytes, port, host, error => {
            if (error !== null) {
                log.debug("peer message not sent", { address, error: error.message });
            }
        });
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }

    #receive(bytes: Buffer, sender: string): void {
        if (!this.#isHost(sender)) {
            this.#onStranger();
            return;
        }
        const message = parseMessage(bytes);
        if (message !== undefined) {
            this.#listeners.forEach(listener => listener(message, sender));
        }
    }
}

function parseMessage(bytes: Buffer): PeerMessage | undefined {
    try {
        const message = PeerMessageSchema.safeParse(JSON.parse(bytes.toString("utf8")));
        return message.success ? message.data : undefined;
    }
    catch (error) {
        log.debug("peer message not readable", { error: String(error) });
        return undefined;
    }
}
