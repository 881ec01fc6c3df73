/** Sends seeded traffic to several routers, distributed as by a load balancer, and retries calls with idempotency keys. */
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import type { Random } from "../base/random.js";
import { ChaosCaller } from "./chaosCaller.js";
import type { ChaosDeployment, RouterSlot } from "./chaosDeployment.js";
import { type TeamName, Teams } from "./chaosResources.js";
import type { CallKind, CallRecord, PlannedCall } from "./chaosTypes.js";

/** Maximum number of calls with one key: the first and its retries. */
const MaxAttempts = 4;
/** Maximum number of calls in flight; no new calls start while it is reached. */
const MaxInFlight = 300;
/** Fraction of the calls that go to any router, whether the balancer considers it ready or not. */
const AnyRouterFraction = 0.1;
/** Fraction of the keyed calls that are repeated even after a complete response. */
const RepeatFraction = 0.15;

/** Fraction of each kind of calls. */
const CallMix: readonly (readonly [CallKind, number])[] = [
    ["chat", 0.25],
    ["stream", 0.3],
    ["keyedChat", 0.15],
    ["sale", 0.18],
    ["ticketSale", 0.12],
];

/** Sends calls and collects their records. */
export class ChaosTraffic {
    readonly calls: CallRecord[] = [];
    readonly #deployment: ChaosDeployment;
    readonly #caller: ChaosCaller;
    readonly #random: Random;
    readonly #maxCalls: number;
    readonly #inFlight = new Set<Promise<void>>();
    #started = 0;

    constructor(deployment: ChaosDeployment, random: Random, nowMs: () => number, maxCalls: number) {
        this.#deployment = deployment;
        this.#caller = new ChaosCaller(nowMs);
        this.#random = random;
        this.#maxCalls = maxCalls;
    }

    /**
     * Sends calls until the signal is aborted or the maximum number of calls is reached.
     * @param ratePerS Mean number of new calls per second, without retries.
     */
    async run(ratePerS: number, signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.#started < this.#maxCalls) {
            await sleep(-Math.log(1 - this.#random.next()) * 1_000 / ratePerS);
            if (this.#inFlight.size < MaxInFlight) {
                this.#startCall(this.#drawKind(), this.#pickRouter(undefined));
            }
        }
    }

    /** Starts streams at one router, so that a failure interrupts them. */
    startStreams(router: RouterSlot, count: number): void {
        for (let index = 0; index < count; index++) {
            this.#startCall("stream", router);
        }
    }

    /** Waits until all calls have ended, then closes the connections. */
    async finish(): Promise<void> {
        while (this.#inFlight.size > 0) {
            await Promise.all(this.#inFlight);
        }
        await this.#caller.close();
    }

    #startCall(kind: CallKind, router: RouterSlot): void {
        this.#started++;
        const done = this.#runCall(kind, router, this.#started).finally(() => this.#inFlight.delete(done));
        this.#inFlight.add(done);
    }

    async #runCall(kind: CallKind, first: RouterSlot, number: number): Promise<void> {
        const team = this.#drawTeam(kind);
        const body = this.#createBody(kind, number);
        const pausesMs = [300, 800, 2_000].map(maxMs => 50 + this.#random.integer(maxMs));
        const shouldRepeat = this.#random.next() < RepeatFraction;
        const plainKey = `key-${number}-${this.#random.hex(8)}`;
        const ticket = kind === "ticketSale" ? await this.#caller.fetchTicket(team, { ...first }) : undefined;
        const key = kind === "chat" || kind === "stream" ? undefined : ticket ?? plainKey;
        const call: PlannedCall = { kind, team, budget: Teams[team], key, body };
        let router = first;
        for (let attempt = 1; attempt <= MaxAttempts; attempt++) {
            const record = await this.#caller.send(call, { ...router });
            this.calls.push(record);
            if (key === undefined || (record.outcome === "complete" && (!shouldRepeat || record.replayed))) {
                return;
            }
            await sleep(pausesMs[attempt - 1] ?? 0);
            router = this.#pickRouter(router);
        }
    }

    #drawKind(): CallKind {
        let remaining = this.#random.next();
        return CallMix.find(([, fraction]) => (remaining -= fraction) < 0)?.[0] ?? "chat";
    }

    #drawTeam(kind: CallKind): TeamName {
        if (kind === "sale" || kind === "ticketSale") {
            return "till";
        }
        return this.#random.next() < 0.2 ? "small" : "large";
    }

    #createBody(kind: CallKind, number: number): string {
        const chat = (length: number): string =>
            JSON.stringify({
                model: "assistant",
                messages: [{ role: "user", content: `Is machine ${number} free at ${this.#random.hex(8)}?` }],
                stream: kind === "stream",
                max_tokens: length + 4,
                metadata: { outputTokens: String(length) },
            });
        return match(kind)
            .with("chat", "keyedChat", () => chat(2 + this.#random.integer(30)))
            .with("stream", () => chat(5 + this.#random.integer(115)))
            .with("sale", "ticketSale", () => `card=${number}&tokens=${1 + this.#random.integer(20)}`)
            .exhaustive();
    }

    #pickRouter(excluded: RouterSlot | undefined): RouterSlot {
        const all = this.#deployment.routers.filter(router => router !== excluded);
        const ready = all.filter(router => router.inRotation);
        const choices = ready.length === 0 || this.#random.next() < AnyRouterFraction ? all : ready;
        return choices[this.#random.integer(choices.length)]!;
    }
}
