import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { createBlackboard } from "../../kernel/blackboard.js";
import type { Effect, Notification } from "../../kernel/effects.js";
import type { RouterEvent } from "../../kernel/events.js";
import { EffectRunner, Kernel } from "../../kernel/kernel.js";
import type { PeerRequest } from "../../peer/peerMessages.js";
import { ObjectStore } from "../../standins/platform/objectStore.js";
import type { BillDraft } from "../budget/budgetTypes.js";
import { hostRecordKey } from "../journal/journalTypes.js";
import { createSealedRecord } from "../recovery/hostRecordMonitor.js";
import { IdempotencyController } from "./idempotencyController.js";
import { claimId, type ClaimOutcome, IdempotencySettingsSchema } from "./idempotencyTypes.js";

type StoreFault = "none" | "refuse" | "loseResult" | "delay";

const storedResponse = { httpStatus: 200, contentType: "application/json", body: "{\"sold\":1}" };

/** One host with an idempotency controller on a shared store. */
class TestHost extends EffectRunner {
    readonly clock: ManualClock;
    readonly notifications: Notification[] = [];
    readonly kernel: Kernel;
    readonly reversals: BillDraft[] = [];
    fault: StoreFault = "none";
    peers: TestHost[] = [];
    readonly #store: ObjectStore;
    readonly #queuedEvents: RouterEvent[] = [];
    readonly #delayedWrites: (() => void)[] = [];

    constructor(hostId: string, store: ObjectStore, clock: ManualClock, seed: number) {
        super();
        this.clock = clock;
        this.#store = store;
        this.kernel = new Kernel({
            board: createBlackboard(hostId, "1"),
            clock,
            random: new SeededRandom(seed),
            counters: new Counters(),
            createControllers: context => [
                new IdempotencyController(context, IdempotencySettingsSchema.parse({})),
            ],
        });
        this.kernel.board.journal.ticketLimit = 10;
        this.kernel.setEffectRunner(this);
    }

    override run(effect: Effect): void {
        if (effect.type === "notify") {
            this.notifications.push(effect.notification);
        }
        else if (effect.type === "storePut") {
            this.#runStorePut(effect);
        }
        else if (effect.type === "storeGet") {
            const outcome = this.fault === "none" ?
                this.#store.get(effect.key) :
                { status: "unavailable" as const, reason: "down" };
            this.#queuedEvents.push({ ...effect, type: "storeGetDone", outcome });
        }
        else if (effect.type === "peerCall") {
            this.#runPeerCall(effect);
        }
        else if (effect.type === "peerReply") {
            const caller = this.peers.find(peer => effect.exchangeId.startsWith(peer.kernel.board.journal.hostId));
            const callId = effect.exchangeId.split("/")[1]!;
            caller?.queueEvent({
                type: "peerCallDone",
                owner: "idempotency",
                callId,
                address: "",
                outcome: { status: "replied", reply: effect.reply },
            });
        }
    }

    queueEvent(event: RouterEvent): void {
        this.#queuedEvents.push(event);
    }

    /** Delivers queued events until none is left, without advancing the clock. */
    flush(): void {
        for (let event = this.#queuedEvents.shift(); event !== undefined; event = this.#queuedEvents.shift()) {
            this.kernel.post(event);
        }
    }

    advance(durationMs: number): void {
        this.clock.advance(durationMs);
        this.kernel.post({ type: "tick" });
        this.flush();
    }

    /** Applies the delayed writes and delivers their results. */
    applyDelayedWrites(): void {
        this.#delayedWrites.splice(0).forEach(write => write());
        this.flush();
    }

    claim(
        requestId: string,
        key: string,
        fields: { repeatable?: boolean; bodyHash?: string; } = {},
    ): ClaimOutcome | undefined {
        this.kernel.post({
            type: "claimRequested",
            claimId: claimId("team", key),
            idempotencyKey: key,
            requestId,
            bodyHash: fields.bodyHash ?? "body",
            repeatable: fields.repeatable ?? false,
        });
        this.flush();
        return this.findOutcome(requestId);
    }

    findOutcome(requestId: string): ClaimOutcome | undefined {
        const found = this.notifications.find(entry => entry.type === "claimDecided" && entry.requestId === requestId);
        return found?.type === "claimDecided" ? found.outcome : undefined;
    }

    complete(requestId: string, key: string, answer: typeof storedResponse | undefined = storedResponse): void {
        const id = claimId("team", key);
        this.kernel.post({ type: "claimCompleted", claimId: id, requestId, answer, interrupted: answer === undefined });
        this.flush();
    }

    issueTicket(): string {
        this.kernel.post({ type: "ticketRequested", requestId: "t" });
        const issued = this.notifications.findLast(entry => entry.type === "ticketIssued");
        return issued?.type === "ticketIssued" ? issued.ticket! : "";
    }

    #runStorePut(effect: Extract<Effect, { type: "storePut"; }>): void {
        const { key, value, expectedVersion } = effect;
        if (this.fault === "refuse") {
            this.#queuedEvents.push({
                ...effect,
                type: "storePutDone",
                outcome: { status: "refused", reason: "down" },
            });
            return;
        }
        if (this.fault === "delay") {
            this.#delayedWrites.push(() => {
                const outcome = this.#store.put(key, value, expectedVersion);
                this.#queuedEvents.push({ ...effect, type: "storePutDone", outcome });
            });
            return;
        }
        const outcome = this.#store.put(key, value, expectedVersion);
        const reportedOutcome = this.fault === "loseResult" ? { status: "unknown" as const, reason: "lost" } : outcome;
        this.#queuedEvents.push({ ...effect, type: "storePutDone", outcome: reportedOutcome });
    }

    #runPeerCall(effect: Extract<Effect, { type: "peerCall"; }>): void {
        const request: PeerRequest = effect.request;
        const peer = this.peers.find(host => host.kernel.board.journal.hostId === effect.address);
        const exchangeId = `${this.kernel.board.journal.hostId}/${effect.callId}`;
        peer?.kernel.post({ type: "peerRequestReceived", exchangeId, request });
    }
}

function addAsPeers(left: TestHost, right: TestHost): void {
    for (const [host, other] of [[left, right], [right, left]] as const) {
        const { hostId, incarnation } = other.kernel.board.journal;
        host.peers.push(other);
        host.kernel.board.membership.members.set(hostId, {
            hostId,
            incarnation,
            zone: "z1",
            peerAddress: hostId,
            operatorAddress: "",
            state: "live",
            heartbeat: 1,
            configVersion: 1,
            heardAtMs: 0,
        });
    }
}

describe("IdempotencyController", () => {
    let store: ObjectStore;
    let clock: ManualClock;
    let first: TestHost;
    let second: TestHost;
    beforeEach(() => {
        store = new ObjectStore();
        clock = new ManualClock();
        first = new TestHost("h1", store, clock, 1);
        second = new TestHost("h2", store, clock, 2);
        addAsPeers(first, second);
    });

    describe("when the same key arrives at two hosts", () => {
        it("lets one run and refuses the other as running (guards against a sale that runs twice)", () => {
            expect(first.claim("r1", "k")).toMatchObject({ status: "held", fencingNumber: 1 });
            expect(second.claim("r2", "k")).toMatchObject({ status: "refused", code: "RequestRunning" });
        });

        it("replays the stored response at the other host (guards against a lost response)", () => {
            first.claim("r1", "k");
            first.complete("r1", "k");
            expect(second.claim("r2", "k")).toEqual({ status: "replay", answer: storedResponse });
            expect(first.claim("r3", "k")).toEqual({ status: "replay", answer: storedResponse });
        });

        it("refuses another body with the same key", () => {
            first.claim("r1", "k");
            expect(first.claim("r2", "k", { bodyHash: "x" })).toMatchObject({ code: "KeyReused" });
            expect(second.claim("r3", "k", { bodyHash: "x" })).toMatchObject({ code: "KeyReused" });
        });

        it("reports an unknown outcome when the holder is sealed (guards against a second run after a host died)", () => {
            first.claim("r1", "k");
            const record = {
                hostId: "h1",
                incarnation: "1",
                zone: "z1",
                state: "sealed",
                sequence: 1,
                configVersion: 1,
                entries: {},
                bills: [],
                billSegments: 0,
                ticketLimit: 0,
            };
            store.put(hostRecordKey("h1~1"), record, 0);
            expect(second.claim("r2", "k")).toMatchObject({ status: "refused", code: "OutcomeUnknown" });
        });
    });

    describe("when the result of the claiming write is lost", () => {
        it("recognises its own claim when it repeats the write (guards against a sale that blocks itself)", () => {
            first.fault = "loseResult";
            expect(first.claim("r1", "k")).toBeUndefined();
            first.fault = "none";
            first.advance(100);
            expect(first.findOutcome("r1")).toMatchObject({ status: "held" });
        });
    });

    describe("when the store is down", () => {
        it("refuses work that may not be repeated and frees the key (guards against a key that stays blocked)", () => {
            first.fault = "delay";
            first.claim("r1", "k");
            first.advance(2_001);
            expect(first.findOutcome("r1")).toMatchObject({ status: "refused", code: "ClaimUnavailable" });
            first.fault = "none";
            first.applyDelayedWrites();
            expect(second.claim("r2", "k")).toMatchObject({ status: "held" });
        });

        it("lets repeatable work run and stores its response later", () => {
            first.fault = "refuse";
            first.claim("r1", "k", { repeatable: true });
            first.advance(301);
            expect(first.findOutcome("r1")).toEqual({ status: "deferred" });
            first.complete("r1", "k");
            first.fault = "none";
            first.advance(1_000);
            expect(second.claim("r2", "k", { repeatable: true })).toEqual({ status: "replay", answer: storedResponse });
        });

        describe("and another host claimed the key of a request that ran without a claim", () => {
            beforeEach(() => {
                first.fault = "refuse";
                first.claim("r1", "k", { repeatable: true });
                first.advance(301);
                expect(second.claim("r2", "k", { repeatable: true })).toMatchObject({ status: "held" });
            });

            /** Ends the request of the first host and makes the store available to it again. */
            function settleAtFirstHost(tokens: number): void {
                const bill: BillDraft = {
                    requestId: "r1",
                    billId: claimId("team", "k"),
                    team: "team",
                    budget: "b",
                    model: "m",
                    promptTokens: tokens,
                    outputTokens: 0,
                    tokens,
                    requestKind: "chat",
                    upstream: "u",
                    outcome: tokens > 0 ? "complete" : "cut",
                };
                first.kernel.post({ type: "reservationSettled", reservationId: "r1", bill });
                first.complete("r1", "k");
                first.fault = "none";
                first.advance(1_000);
            }

            const reversals = (): number => first.kernel.counters.get("idempotency.reversals");

            it("reverses its bill when the other host ran the key (guards against a request billed twice)", () => {
                settleAtFirstHost(7);
                expect(reversals()).toBe(0);
                second.complete("r2", "k");
                first.advance(4_000);
                expect(reversals()).toBe(1);
                first.advance(4_000);
                expect(reversals()).toBe(1);
            });

            it("reverses a bill of 0 tokens too (guards against a request with two bill lines)", () => {
                second.complete("r2", "k");
                settleAtFirstHost(0);
                expect(reversals()).toBe(1);
            });

            it("keeps its bill when the other host releases the key (guards against a complete request without a bill)", () => {
                settleAtFirstHost(7);
                second.kernel.post({ type: "claimReleased", claimId: claimId("team", "k"), requestId: "r2" });
                second.flush();
                first.advance(4_000);
                first.advance(4_000);
                expect(reversals()).toBe(0);
                expect(second.claim("r3", "k", { repeatable: true })).toEqual({
                    status: "replay",
                    answer: storedResponse,
                });
            });

            it("reverses its bill when the other host is sealed, whose at-risk tokens cover the request", () => {
                settleAtFirstHost(7);
                const record = {
                    ...createSealedRecord(undefined, second.kernel.board.journal.hostKey),
                    state: "sealed",
                };
                store.put(hostRecordKey(second.kernel.board.journal.hostKey), record, 0);
                first.advance(4_000);
                expect(reversals()).toBe(1);
            });
        });
    });

    describe("when the release of a claim conflicts with the finished claim of another host", () => {
        it("replays that host's response (guards against a sale that runs again over a finished one)", () => {
            first.claim("r1", "k");
            first.fault = "loseResult";
            first.kernel.post({ type: "claimReleased", claimId: claimId("team", "k"), requestId: "r1" });
            first.flush();
            expect(second.claim("r2", "k")).toMatchObject({ status: "held" });
            second.complete("r2", "k");
            first.fault = "none";
            first.advance(1_000);
            expect(first.claim("r3", "k")).toEqual({ status: "replay", answer: storedResponse });
        });
    });

    describe("when a request is released before it ran", () => {
        it("can be claimed again, also on the same host (guards against a refusal that blocks the key)", () => {
            first.claim("r1", "k");
            first.kernel.post({ type: "claimReleased", claimId: claimId("team", "k"), requestId: "r1" });
            first.flush();
            expect(second.claim("r2", "k")).toMatchObject({ status: "held", fencingNumber: 3 });
            expect(first.claim("r3", "k")).toMatchObject({ status: "refused", code: "RequestRunning" });
        });
    });

    describe("when the key is a ticket", () => {
        it("runs once during a store outage (guards against sales that stop with the store)", () => {
            first.fault = "refuse";
            const ticket = first.issueTicket();
            expect(first.claim("r1", ticket)).toMatchObject({ status: "held" });
            expect(first.claim("r2", ticket)).toMatchObject({ code: "RequestRunning" });
            first.complete("r1", ticket);
            expect(first.claim("r3", ticket)).toEqual({ status: "replay", answer: storedResponse });
        });

        it("is handed over once to the host where it arrives", () => {
            second.fault = "refuse";
            const ticket = first.issueTicket();
            second.claim("r1", ticket);
            expect(second.findOutcome("r1")).toMatchObject({ status: "held" });
            expect(first.claim("r2", ticket)).toMatchObject({ code: "OutcomeUnknown" });
        });

        it("has an unknown outcome when its issuer cannot be reached (guards against a second run)", () => {
            const ticket = first.issueTicket();
            second.kernel.board.membership.members.clear();
            expect(second.claim("r1", ticket)).toMatchObject({ status: "refused", code: "OutcomeUnknown" });
        });

        it("is not issued beyond the declared limit, and not accepted when forged", () => {
            const tickets = Array.from({ length: 11 }, () => first.issueTicket());
            expect(tickets.filter(ticket => ticket !== undefined)).toHaveLength(10);
            const forged = tickets[0]!.replace(/.$/, digit => digit === "0" ? "1" : "0");
            expect(first.claim("r1", forged)).toMatchObject({ code: "OutcomeUnknown" });
        });
    });
});
