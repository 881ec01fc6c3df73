/** Exchange of the set of evacuated zones between hosts, so that hosts without the store know it too. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import type { Random } from "../../base/random.js";
import { EdgeCounterNames } from "../metrics.js";
import { FleetBroadcast, type FleetBroadcastDependencies } from "../peers/fleetBroadcast.js";
import type { EvacuationsMessage } from "./evacuationMessages.js";

/** Time from the last message of any host until a host repeats the set, in milliseconds: three repetitions come within 5 s. */
const RepeatMs = 1_500;
/** Random time by which the hosts' repetitions are spread, so that mostly one host sends, and not always the same, in milliseconds. */
const RepeatSpreadMs = 1_000;

/** Time within which an outdated set of another host is answered, in milliseconds, spread over the hosts that received it. */
const AnswerSpreadMs = 300;

/** Interval at which other hosts are asked, and number of hosts that are asked each time. */
const QueryIntervalMs = 100;
const QueriedHostCount = 3;

/** A set of evacuated zones with its version, and the time since the store confirmed it, in milliseconds. */
export interface StatedEvacuations {
    readonly zones: readonly string[];
    readonly version: number;
    readonly ageMs: number;
}

/** How a received set compares with the own one. */
export type ReceivedSet =
    /** Both are the same now. */
    | "agrees"
    /** The received one is older and lists other zones. */
    | "outdated";

/** Collaborators of {@link EvacuationExchange}, and the identity of this host. */
export interface EvacuationExchangeDependencies
    extends Pick<FleetBroadcastDependencies<EvacuationsMessage>, "channel" | "ownHost" | "incarnation" | "otherHosts"> {
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** Checks whether the host was suspended, which begins a new query. */
    observeClocks(): void;
    /** @returns The set to send; `undefined` while none is known. */
    ownSet(): StatedEvacuations | undefined;
    /** @returns The set with which a query may be answered; `undefined` if it is in doubt or the store confirmed it too long ago. */
    confirmedSet(): StatedEvacuations | undefined;
    /** Called with the set of another host. */
    onSet(set: StatedEvacuations): ReceivedSet;
    /** Called with the answer to the latest query. */
    onReply(set: StatedEvacuations): void;
}

/** Broadcasts the set, asks other hosts for theirs, and answers them. */
export class EvacuationExchange {
    readonly #dependencies: EvacuationExchangeDependencies;
    readonly #broadcast: FleetBroadcast<EvacuationsMessage>;
    #dueMs = Number.NEGATIVE_INFINITY;
    #answerDueMs: number | undefined;
    #repeatNumber = 0;
    #queryNumber = 0;
    #nextQueryMs = Number.NEGATIVE_INFINITY;

    constructor(dependencies: EvacuationExchangeDependencies) {
        this.#dependencies = dependencies;
        const { channel, counters, incarnation } = dependencies;
        this.#broadcast = new FleetBroadcast<EvacuationsMessage>({
            ...dependencies,
            kind: "ze",
            otherHosts: () => dependencies.otherHosts(),
            onMessage: message => this.#receive(message),
            onSent: count => counters.add(EdgeCounterNames.evacuationsSent, count),
        });
        channel.onMessage((message, sender) => {
            if (message.k === "zq") {
                this.#answer(message.i, message.n, sender);
            }
            else if (message.k === "zr" && message.i === incarnation) {
                dependencies.observeClocks();
                if (message.n === this.#queryNumber) {
                    dependencies.onReply({ zones: message.z, version: message.v, ageMs: message.a });
                }
            }
        });
    }

    /** Sends the set to all hosts at once, as it has changed in the store. */
    sendChange(): void {
        this.#send(undefined);
    }

    /** Sends what is due; called every few tens of milliseconds. @param isActive Whether the set is repeated. */
    tick(isActive: boolean): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const isAnswerDue = this.#answerDueMs !== undefined && nowMs >= this.#answerDueMs;
        if (isAnswerDue || (isActive && nowMs >= this.#dueMs)) {
            this.#send(this.#repeatNumber++);
        }
    }

    /** Begins a new query: replies to earlier ones, which may have waited in the socket during a suspension, no longer count. */
    startQuery(): void {
        this.#queryNumber++;
        this.#nextQueryMs = Number.NEGATIVE_INFINITY;
        this.continueQuery();
    }

    /** Asks some of the other hosts when that is due. */
    continueQuery(): void {
        const { clock, random, channel, incarnation } = this.#dependencies;
        const nowMs = clock.monotonicMs();
        if (nowMs < this.#nextQueryMs) {
            return;
        }
        this.#nextQueryMs = nowMs + QueryIntervalMs;
        const others = this.#dependencies.otherHosts() ?? [];
        const first = Math.floor(random.next() * others.length);
        for (let index = 0; index < Math.min(QueriedHostCount, others.length); index++) {
            const { peerAddress } = others[(first + index) % others.length]!;
            channel.send(peerAddress, { k: "zq", i: incarnation, n: this.#queryNumber });
        }
    }

    #send(repeatNumber: number | undefined): void {
        const set = this.#dependencies.ownSet();
        this.#scheduleRepetition();
        if (set !== undefined) {
            this.#broadcast.send({ v: set.version, z: [...set.zones], a: Math.round(set.ageMs) }, repeatNumber);
        }
    }

    #receive({ z: zones, v: version, a: ageMs }: EvacuationsMessage): void {
        if (this.#dependencies.onSet({ zones, version, ageMs }) === "agrees") {
            this.#scheduleRepetition();
        }
        else {
            const { clock, random } = this.#dependencies;
            this.#answerDueMs ??= clock.monotonicMs() + random.next() * AnswerSpreadMs;
        }
    }

    #scheduleRepetition(): void {
        const { clock, random } = this.#dependencies;
        this.#dueMs = clock.monotonicMs() + RepeatMs + random.next() * RepeatSpreadMs;
        this.#answerDueMs = undefined;
    }

    #answer(i: string, n: number, sender: string): void {
        const set = this.#dependencies.confirmedSet();
        if (set !== undefined) {
            const { version: v, zones, ageMs } = set;
            this.#dependencies.channel.send(sender, { k: "zr", i, n, v, z: [...zones], a: Math.round(ageMs) });
        }
    }
}
