/**
 * Messages from one host to all others. In a large fleet the gatherers of load reports pass them on: those of the own zone to the
 * hosts of their zone and to the gatherers of other zones, and these to the hosts of theirs.
 */
import { setBounded } from "../../base/boundedMap.js";
import { type BroadcastEnvelope, BroadcastStage } from "./broadcastMessages.js";
import { determineGatheringRole, type GatheringRole, type ReportingHost } from "./loadGatherers.js";
import type { PeerChannel, PeerMessage } from "./peerChannel.js";

/** Maximum number of messages by which repeated ones are recognised. */
const MaxKnownMessages = 5_000;

/** A message between hosts that is broadcast. */
type BroadcastMessage = PeerMessage & BroadcastEnvelope;

/** Collaborators of {@link FleetBroadcast}, and the identity of this host. */
export interface FleetBroadcastDependencies<Message extends BroadcastMessage> {
    readonly channel: PeerChannel;
    /** Kind of the messages. */
    readonly kind: Message["k"];
    readonly ownHost: ReportingHost;
    /** Id of this start of the process. */
    readonly incarnation: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly ReportingHost[] | undefined;
    /** Called once for each message of another host. */
    onMessage(message: Message): void;
    /** Called with the number of datagrams that carry a message on, of this host or of another one. */
    onSent(datagramCount: number): void;
}

/** Sends messages of one kind to all other hosts, and receives and passes on those of other hosts. */
export class FleetBroadcast<Message extends BroadcastMessage> {
    readonly #dependencies: FleetBroadcastDependencies<Message>;
    readonly #receivedMessages = new Map<string, true>();
    readonly #forwardedMessages = new Map<string, true>();
    #cachedRole: { readonly others: readonly ReportingHost[]; readonly role: GatheringRole | undefined; } | undefined;
    #messageNumber = 0;

    constructor(dependencies: FleetBroadcastDependencies<Message>) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage((message, sender) => {
            if (this.#isOfOtherHost(message)) {
                this.#receive(message, sender);
            }
        });
    }

    /**
     * Sends a message.
     * @param payload Fields of the message without those of the envelope.
     * @param repeatNumber Number of the repetition, by which gatherers take turns; `undefined` for a change, which all pass on.
     */
    send(payload: Omit<Message, keyof BroadcastEnvelope | "k">, repeatNumber: number | undefined): void {
        const { ownHost, incarnation, kind } = this.#dependencies;
        const message = {
            k: kind,
            h: ownHost.hostId,
            i: incarnation,
            n: ++this.#messageNumber,
            s: BroadcastStage.final,
            ...repeatNumber === undefined ? {} : { r: repeatNumber },
            ...payload,
        } as unknown as Message;
        const role = this.#role;
        if (role === undefined) {
            const others = this.#dependencies.otherHosts() ?? [];
            this.#sendTo(others.map(({ peerAddress }) => peerAddress), message, BroadcastStage.final);
            return;
        }
        this.#sendTo(role.zoneGatherers, message, BroadcastStage.toGatherers);
        if (role.rank !== undefined) {
            this.#forward(message, BroadcastStage.toGatherers, ownHost.peerAddress);
        }
    }

    #isOfOtherHost(message: PeerMessage): message is Message {
        const { kind, ownHost } = this.#dependencies;
        return message.k === kind && (message as Message).h !== ownHost.hostId;
    }

    #receive(message: Message, sender: string): void {
        const key = `${message.h}/${message.i}/${message.n}`;
        if (message.s < BroadcastStage.final && !this.#forwardedMessages.has(key)) {
            setBounded(this.#forwardedMessages, key, true, MaxKnownMessages, () => false);
            this.#forward(message, message.s, sender);
        }
        if (!this.#receivedMessages.has(key)) {
            setBounded(this.#receivedMessages, key, true, MaxKnownMessages, () => false);
            this.#dependencies.onMessage(message);
        }
    }

    /**
     * Passes a message on. Both gatherers of a zone pass on a change, each to the gatherer of its own rank in other zones, so that
     * one of them may fail; repetitions they pass on in turn.
     */
    #forward(message: Message, stage: number, sender: string): void {
        const role = this.#role;
        const rank = role?.rank ?? 0;
        const isAlone = role?.zoneGatherers.length === 0;
        if (role === undefined || (message.r !== undefined && message.r % 2 !== rank && !isAlone)) {
            return;
        }
        if (stage === BroadcastStage.toGatherers) {
            const gatherers = [...role.gatherersElsewhere.values()].flatMap(([first, second]) =>
                (rank === 0 ? first : second ?? first) ?? []
            );
            this.#sendTo(gatherers, message, BroadcastStage.betweenZones);
        }
        const zoneHosts = [...role.assignedAddresses, ...role.unassignedAddresses];
        this.#sendTo(zoneHosts.filter(address => address !== sender), message, BroadcastStage.final);
    }

    #sendTo(addresses: readonly string[], message: Message, stage: number): void {
        this.#dependencies.onSent(addresses.length);
        const staged = { ...message, s: stage };
        addresses.forEach(address => this.#dependencies.channel.send(address, staged));
    }

    get #role(): GatheringRole | undefined {
        const { ownHost } = this.#dependencies;
        const others = this.#dependencies.otherHosts();
        if (others === undefined) {
            return undefined;
        }
        if (this.#cachedRole?.others !== others) {
            this.#cachedRole = { others, role: determineGatheringRole([...others, ownHost], ownHost) };
        }
        return this.#cachedRole.role;
    }
}
