/** Datagrams between hosts. A lost, late or repeated datagram costs accuracy or time, never tokens of a budget. */
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import { splitAddress } from "../../base/address.js";
import { describeError } from "../../base/callbackGuard.js";
import { log } from "../../base/log.js";
import {
    HandoverSchema,
    LoanPendingSchema,
    LoanReplySchema,
    LoanReportSchema,
    LoanRequestSchema,
} from "../budget/loanMessages.js";
import {
    EvacuationConfirmationSchema,
    EvacuationQuerySchema,
    EvacuationReplySchema,
    EvacuationsSchema,
    EvacuationStatementSchema,
} from "../evacuation/evacuationMessages.js";
import { EvidenceSchema } from "../quarantine/evidenceMessages.js";
import { LimitStatementsSchema, SlotReplySchema, SlotRequestSchema } from "../rateLimit/slotMessages.js";
import { FleetSumSchema, ZoneSumSchema } from "./loadSums.js";
import { LoadReportSchema } from "./peerLoadTracker.js";

/** Maximum size of a datagram, in bytes; it fits into one packet on common links. */
export const MaxDatagramBytes = 1_400;

/** Minimum time between two log lines about messages whose handling failed, in milliseconds: hosts send several messages a second. */
const MinErrorLogIntervalMs = 1_000;

/** A message between hosts; `k` is the kind. */
export const PeerMessageSchema = z.discriminatedUnion("k", [
    LoadReportSchema,
    LoanRequestSchema,
    LoanReplySchema,
    LoanPendingSchema,
    LoanReportSchema,
    HandoverSchema,
    ZoneSumSchema,
    FleetSumSchema,
    EvidenceSchema,
    EvacuationsSchema,
    EvacuationQuerySchema,
    EvacuationReplySchema,
    EvacuationStatementSchema,
    EvacuationConfirmationSchema,
    LimitStatementsSchema,
    SlotRequestSchema,
    SlotReplySchema,
]);
export type PeerMessage = z.infer<typeof PeerMessageSchema>;

/** Receives a message of another host, with the sender's `IP:port`. */
export type PeerMessageListener = (message: PeerMessage, senderAddress: string) => void;

/** Sends messages to other hosts and passes their messages to listeners. Delivery is not guaranteed. */
export abstract class PeerChannel {
    /**
     * Sends a message without waiting for its delivery.
     * @param address `IP:port` of the receiver.
     */
    abstract send(address: string, message: PeerMessage): void;

    /** Adds a listener; all listeners get all messages. */
    abstract onMessage(listener: PeerMessageListener): void;
}

/** Channel over UDP. Messages larger than {@link MaxDatagramBytes} are dropped; the first of them is logged. */
export class UdpPeerChannel extends PeerChannel {
    readonly #isKnownHost: (address: string) => boolean;
    readonly #onUnknownSender: () => void;
    readonly #listeners: PeerMessageListener[] = [];
    #socket: Socket | undefined;
    #hasLoggedTooLarge = false;
    #errorCount = 0;
    #errorLoggedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param isKnownHost Returns whether an address belongs to another host; messages of other senders are dropped.
     * @param onUnknownSender Called when a message of an unknown sender arrives.
     */
    constructor(isKnownHost: (address: string) => boolean, onUnknownSender: () => void) {
        super();
        this.#isKnownHost = isKnownHost;
        this.#onUnknownSender = onUnknownSender;
    }

    /** Opens the socket. Errors, also of binding, are logged. */
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
            if (!this.#hasLoggedTooLarge) {
                this.#hasLoggedTooLarge = true;
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
        if (!this.#isKnownHost(sender)) {
            this.#onUnknownSender();
            return;
        }
        const message = parseMessage(bytes);
        if (message !== undefined) {
            this.#listeners.forEach(listener => this.#notify(listener, message, sender));
        }
    }

    /** An error in the handling of one message must not end the process. */
    #notify(listener: PeerMessageListener, message: PeerMessage, sender: string): void {
        try {
            listener(message, sender);
        }
        catch (error) {
            this.#errorCount++;
            const nowMs = performance.now();
            if (nowMs - this.#errorLoggedAtMs >= MinErrorLogIntervalMs) {
                this.#errorLoggedAtMs = nowMs;
                const count = this.#errorCount;
                log.error("peer message not handled", { kind: message.k, sender, count, error: describeError(error) });
            }
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
