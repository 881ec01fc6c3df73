/** Calls between hosts, with partitions, delays and lost replies. */
import type { Random } from "../../src/base/random.js";
import type { PeerOutcome, PeerReply, PeerRequest } from "../../src/peer/peerMessages.js";
import type { HostProcess } from "./hostProcess.js";
import type { Scheduler } from "./scheduler.js";

/** Simulated network between hosts: calls by address, with a delay, a reply loss ratio (0 to 1) and partitions. */
export class PeerNetwork {
    latencyMs = 3;
    lostReplyRatio = 0;
    readonly #partitions = new Set<string>();
    readonly #openExchanges = new Map<string, (reply: PeerReply) => void>();
    readonly #scheduler: Scheduler;
    readonly #random: Random;
    readonly #resolve: (address: string) => HostProcess | undefined;
    #lastExchange = 0;

    constructor(scheduler: Scheduler, random: Random, resolve: (address: string) => HostProcess | undefined) {
        this.#scheduler = scheduler;
        this.#random = random;
        this.#resolve = resolve;
    }

    /** Cuts the connection between two hosts, in both directions. */
    partition(a: string, b: string): void {
        if (a !== b) {
            this.#partitions.add([a, b].sort().join("|"));
        }
    }

    /** Removes all partitions. */
    heal(): void {
        this.#partitions.clear();
    }

    /** @returns Whether any two hosts are separated. */
    get hasPartitions(): boolean {
        return this.#partitions.size > 0;
    }

    /** @returns Whether two hosts are separated. */
    isPartitioned(a: string, b: string): boolean {
        return this.#partitions.has([a, b].sort().join("|"));
    }

    /** Calls a peer. `done` is called once, with the reply or with `failed` after the timeout. */
    call(
        from: string,
        address: string,
        request: PeerRequest,
        timeoutMs: number,
        done: (outcome: PeerOutcome) => void,
    ): void {
        let pending = true;
        const finish = (outcome: PeerOutcome): void => {
            if (pending) {
                pending = false;
                done(outcome);
            }
        };
        const exchangeId = `x${++this.#lastExchange}`;
        this.#scheduler.after(timeoutMs, () => finish({ status: "failed", reason: "timeout" }));
        this.#openExchanges.set(exchangeId, reply => {
            this.#openExchanges.delete(exchangeId);
            if (!this.isPartitioned(from, address) && this.#random.next() >= this.lostReplyRatio) {
                this.#scheduler.after(this.#delay(), () => finish({ status: "replied", reply }));
            }
        });
        if (!this.isPartitioned(from, address)) {
            this.#scheduler.after(
                this.#delay(),
                () => this.#resolve(address)?.post({ type: "peerRequestReceived", exchangeId, request }),
            );
        }
    }

    /** Delivers a host's reply to the caller of the exchange. */
    reply(exchangeId: string, reply: PeerReply): void {
        this.#openExchanges.get(exchangeId)?.(reply);
    }

    #delay(): number {
        return 1 + this.#random.integer(this.latencyMs);
    }
}
