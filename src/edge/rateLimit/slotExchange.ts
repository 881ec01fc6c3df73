/** Requests for slots of other hosts: a host whose own slots are used may send a request in a slot that its owner does not need. */
import type { Clock } from "../../base/clock.js";
import type { PeerChannel } from "../peers/peerChannel.js";

/** Time after which the owner of a slot counts as unreachable, in milliseconds; hosts answer each other within a few. */
const ReplyTimeoutMs = 60;

/** Maximum number of requests that wait for replies. */
const MaxPendingRequests = 1_000;

/** A request of another host for a slot of this one. */
export interface ReceivedSlotRequest {
    /** Id and start time of the upstream. */
    readonly upstreamId: string;
    readonly startedAtMs: number;
    readonly rank: number;
}

/** Reply of the owner of a slot; `unreachable` when none has arrived in time. */
export type SlotReply = "granted" | "refused" | "unreachable";

interface PendingRequest {
    readonly address: string;
    readonly dueMs: number;
    /** By the wall clock, which also counts the time for which the host is suspended. */
    readonly dueWallMs: number;
    readonly onReply: (reply: SlotReply) => void;
}

/** Collaborators of {@link SlotExchange}. */
export interface SlotExchangeDependencies {
    readonly clock: Clock;
    readonly channel: PeerChannel;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns Whether a slot of this host is given away. */
    giveSlot(request: ReceivedSlotRequest): boolean;
}

/** Sends requests for slots and answers those of other hosts. A reply that arrives too late is ignored; its slot remains unused. */
export class SlotExchange {
    readonly #dependencies: SlotExchangeDependencies;
    readonly #pending = new Map<number, PendingRequest>();
    #requestNumber = 0;

    constructor(dependencies: SlotExchangeDependencies) {
        this.#dependencies = dependencies;
        const { channel, incarnation } = dependencies;
        channel.onMessage((message, sender) => {
            if (message.k === "sq") {
                const { i, n, u: upstreamId, b: startedAtMs, p: rank } = message;
                const isGranted = dependencies.giveSlot({ upstreamId, startedAtMs, rank });
                channel.send(sender, { k: "sr", i, n, g: isGranted });
            }
            else if (message.k === "sr" && message.i === incarnation) {
                this.#receiveReply(message.n, message.g, sender);
            }
        });
    }

    /**
     * Asks the owner of a slot of an upstream.
     * @param address `IP:port` of the owner.
     * @param onReply Called once, later.
     */
    request(address: string, request: ReceivedSlotRequest, onReply: (reply: SlotReply) => void): void {
        const { clock, channel, incarnation } = this.#dependencies;
        if (this.#pending.size >= MaxPendingRequests) {
            onReply("unreachable");
            return;
        }
        const number = ++this.#requestNumber;
        this.#pending.set(number, {
            address,
            dueMs: clock.monotonicMs() + ReplyTimeoutMs,
            dueWallMs: clock.wallMs() + ReplyTimeoutMs,
            onReply,
        });
        const { upstreamId, startedAtMs, rank } = request;
        channel.send(address, { k: "sq", i: incarnation, n: number, u: upstreamId, b: startedAtMs, p: rank });
    }

    /** Ends requests whose replies are overdue; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        for (const [number, { dueMs, onReply }] of this.#pending) {
            if (nowMs >= dueMs) {
                this.#pending.delete(number);
                onReply("unreachable");
            }
        }
    }

    #receiveReply(number: number, isGranted: boolean, sender: string): void {
        const pending = this.#pending.get(number);
        if (pending === undefined || pending.address !== sender) {
            return;
        }
        this.#pending.delete(number);
        const isLate = this.#dependencies.clock.wallMs() > pending.dueWallMs;
        pending.onReply(isLate ? "unreachable" : isGranted ? "granted" : "refused");
    }
}
