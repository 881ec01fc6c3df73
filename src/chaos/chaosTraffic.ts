/** Seeded traffic through several routers, as a balancer would spread it, with retries of keyed calls. */
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import type { Random } from "../base/random.js";
import { ChaosCaller } from "./chaosCaller.js";
import type { ChaosDeployment, RouterSlot } from "./chaosDeployment.js";
import { type TeamName, Teams } from "./chaosResources.js";
import type { CallKind, CallRecord, PlannedCall } from "./chaosTypes.js";

/** Calls of one key: the first and its retries. */
const MaxTries = 4;
/** Calls that are waiting for answers; no more are sent then. */
const MaxInFlight = 300;
/** Share of the calls that ignore the balancer's view of the routers. */
const AnyRouterShare = 0.1;
/** Share of the complete keyed calls that are repeated nevertheless. */
const RepeatShare = 0.15;

const CallMix: readonly (readonly [CallKind, number])[] = [
    ["chat", 0.25],
    ["stream", 0.3],
    ["keyedChat", 0.15],
    ["sale", 0.18],
    ["ticketSale", 0.12],
];

/** Sends calls and keeps their records. */
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
     * Sends calls until the signal.
     * @param ratePerS Mean rate of new calls; retries come on top.
     */
    async run(ratePerS: number, signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.#started < this.#maxCalls) {
            await sleep(-Math.log(1 - this.#random.next()) * 1_000 / ratePerS);
            if (this.#inFlight.size < MaxInFlight) {
                this.#begin(this.#drawKind(), this.#pickRouter(undefined));
            }
        }
    }

    /** Starts streams at one router, so that a failure meets them in the middle. */
    startStreams(router: RouterSlot, count: number): void {
        for (let index = 0; index < count; index++) {
            this.#begin("stream", router);
        }
    }

    /** Waits for all answers. */
    async finish(): Promise<void> {
        while (this.#inFlight.size > 0) {
            await Promise.all(this.#inFlight);
        }
        await this.#caller.close();
    }

    #begin(kind: CallKind, router: RouterSlot): void {
        this.#started++;
        const done = this.#runCall(kind, router, this.#started).finally(() => this.#inFlight.delete(done));
        this.#inFlight.add(done);
    }

    async #runCall(kind: CallKind, first: RouterSlot, number: number): Promise<void> {
        const team = this.#drawTeam(kind);
        const body = this.#createBody(kind, number);
        const pause = [300, 800, 2_000].map(longestMs => 50 + this.#random.integer(longestMs));
        const repeats = this.#random.next() < RepeatShare;
        const plainKey = `key-${number}-${this.#random.hex(8)}`;
        const ticket = kind === "ticketSale" ? await this.#caller.fetchTicket(team, { ...first }) : undefined;
        const key = kind === "chat" || kind === "stream" ? undefined : ticket ?? plainKey;
        const call: PlannedCall = { kind, team, budget: Teams[team], key, body };
        let router = first;
        for (let tries = 1; tries <= MaxTries; tries++) {
            const record = await this.#caller.send(call, { ...router });
            this.calls.push(record);
            if (key === undefined || (record.outcome === "complete" && (!repeats || record.replayed))) {
                return;
            }
            await sleep(pause[tries - 1] ?? 0);
            router = this.#pickRouter(router);
        }
    }

    #drawKind(): CallKind {
        let rest = this.#random.next();
        return CallMix.find(([, share]) => (rest -= share) < 0)?.[0] ?? "chat";
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

    #pickRouter(not: RouterSlot | undefined): RouterSlot {
        const all = this.#deployment.routers.filter(router => router !== not);
        const ready = all.filter(router => router.inRotation);
        const choices = ready.length === 0 || this.#random.next() < AnyRouterShare ? all : ready;
        return choices[this.#random.integer(choices.length)]!;
    }
}
