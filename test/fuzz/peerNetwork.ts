/** Calls between hosts, with partitions, delays and lost replies. */
import type { Random } from "../../src/base/random.js";
import type { PeerOutcome, PeerReply, PeerRequest } from "../../src/peer/peerMessages.js";
import type { HostProcess } from "./hostProcess.js";
import type { Scheduler } from "./scheduler.js";

/** Network of the hosts. */
export class PeerNetwork {
    latencyMs = 3;
    lostReplyRatio = 0;
    readonly #cuts = new Set<string>();
    readonly #open = new Map<string, (reply: PeerReply) => void>();
    readonly #scheduler: Scheduler;
    readonly #random: Random;
    readonly #resolve: (address: string) => HostProcess | undefined;
    #lastExchange = 0;

    constructor(scheduler: Scheduler, random: Random, resolve: (address: string) => HostProcess | undefined) {
        this.#scheduler = scheduler;
        this.#random = random;
        this.#resolve = resolve;
    }

    /** Separates two hosts. */
    partition(a: string, b: string): void {
        if (a !== b) {
            this.#cuts.add([a, b].sort().join("|"));
        }
    }

    /** Removes all partitions. */
    heal(): void {
        this.#cuts.clear();
    }

    /** @returns Whether any two hosts are separated. */
    get hasPartitions(): boolean {
        return this.#cuts.size > 0;
    }

    isPartitioned(a: string, b: string): boolean {
        return this.#cuts.has([a, b].sort().join("|"));
    }

    /** Calls a peer; the outcome arrives later, once. */
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
        this.#open.set(exchangeId, reply => {
            this.#open.delete(exchangeId);
            if (!this.isPartitioned(from, address) && this.#random.next() >= this.lostReplyRatio) {
                this.#scheduler.after(this.#delay(), () => finish({ status: "replied", reply }));
            }
        });
        if (!this.isPartitioned(from, address)) {
            this.#scheduler.after(
                this.#delay(),
                () => this.#resolve(address)?.post({ type: "peerRequested", exchangeId, request }),
            );
        }
    }

    /** Takes a host's answer. */
    reply(exchangeId: string, reply: PeerReply): void {
        this.#open.get(exchangeId)?.(reply);
    }

    #delay(): number {
        return 1 + this.#random.integer(this.latencyMs);
    }
}
