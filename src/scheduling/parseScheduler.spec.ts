import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../base/clock.js";
import type { ParseAccount } from "../base/parseAccount.js";
import { SeededRandom } from "../base/random.js";
import { ParseScheduler } from "./parseScheduler.js";

const SliceMs = 0.5;
const SliceBytes = 2_048;
const Limits = { expensiveParseMs: 50, maxParseContentionMs: 3_000 };

describe("ParseScheduler", () => {
    let clock: ManualClock;
    let scheduler: ParseScheduler;
    let connections: SimulatedConnection[];

    /** A connection whose slices take a fixed time to parse. */
    class SimulatedConnection {
        readonly account: ParseAccount;
        /** Slices that have been received and not parsed; infinite for a body without end. */
        remaining = 0;
        parsedMs = 0;
        /** Monotonic time at which the latest slice was parsed, in milliseconds. */
        emptiedAtMs = 0;
        isEvicted = false;

        constructor(readonly canEvict = true) {
            this.account = scheduler.open({
                resume: () => process.nextTick(() => this.#parse()),
                evict: () => this.#evict(),
            });
            connections.push(this);
        }

        receive(slices: number): this {
            const wasEmpty = this.remaining === 0;
            this.remaining += slices;
            if (wasEmpty) {
                this.#parse();
            }
            return this;
        }

        close(): void {
            this.remaining = 0;
            this.account.close();
        }

        #parse(): void {
            while (this.remaining > 0 && !this.isEvicted) {
                if (!this.account.mayParse) {
                    this.account.waitForTurn();
                    return;
                }
                this.account.measureParsing(SliceBytes, () => clock.advance(SliceMs));
                this.remaining--;
                this.parsedMs += SliceMs;
                this.emptiedAtMs = clock.monotonicMs();
            }
        }

        #evict(): boolean {
            this.isEvicted = this.canEvict;
            return this.canEvict;
        }
    }

    const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

    async function turns(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            await turn();
        }
    }

    const endless = (canEvict = true): SimulatedConnection =>
        new SimulatedConnection(canEvict).receive(Number.POSITIVE_INFINITY);

    beforeEach(() => {
        clock = new ManualClock();
        scheduler = new ParseScheduler(clock, Limits);
        connections = [];
    });

    afterEach(() => connections.forEach(connection => connection.close()));

    describe("given one connection", () => {
        it("parses all that it sends, with turns for others (guards against a body that holds the event loop)", async () => {
            const connection = new SimulatedConnection().receive(100);
            expect(connection.parsedMs).toBeLessThan(2);
            await turns(50);
            expect(connection.remaining).toBe(0);
            expect(scheduler.waitingCount).toBe(0);
        });

        it("never evicts it (guards against a single expensive request that is refused in calm)", async () => {
            const connection = endless();
            await turns(10_000);
            expect(connection.parsedMs).toBeGreaterThan(2 * Limits.maxParseContentionMs);
            expect(connection.isEvicted).toBe(false);
        });

        it("passes errors on and counts the time (guards against work that fails for free)", () => {
            const { account } = new SimulatedConnection();
            expect(() =>
                account.measureParsing(SliceBytes, () => {
                    clock.advance(7);
                    throw new Error("invalid");
                })
            ).toThrow("invalid");
            expect(account.requestMs).toBe(7);
        });
    });

    describe("given a crowd of expensive connections", () => {
        beforeEach(() => {
            Array.from({ length: 60 }, () => endless());
        });

        it("bounds the time of a turn (guards against timers and sockets that wait for the whole crowd)", async () => {
            await turns(5);
            for (let index = 0; index < 50; index++) {
                const beganAtMs = clock.monotonicMs();
                await turn();
                expect(clock.monotonicMs() - beganAtMs).toBeLessThan(6);
            }
        });

        it("parses others first (guards against ordinary callers that wait in the crowd's queue)", async () => {
            await turns(500);
            const ordinary = new SimulatedConnection().receive(1);
            await turns(2);
            expect(ordinary.remaining).toBe(0);
        });

        it("shares the rest evenly (guards against uploads that starve)", async () => {
            await turns(500);
            const parsedMs = connections.map(connection => connection.parsedMs);
            expect(Math.max(...parsedMs) - Math.min(...parsedMs)).toBeLessThan(4);
        });

        it("forgets connections that close (guards against turns for nobody)", async () => {
            await turns(10);
            connections.forEach(connection => connection.close());
            expect(scheduler.waitingCount).toBe(0);
            const atMs = clock.monotonicMs();
            await turns(10);
            expect(clock.monotonicMs()).toBe(atMs);
        });
    });

    describe("given a contention that lasts", () => {
        const untilMs = async (atMs: number): Promise<void> => {
            while (clock.monotonicMs() < atMs) {
                clock.advance(0.1);
                await turn();
            }
        };

        it("evicts those that began last, until one is left (guards against uploads of which none completes)", async () => {
            for (let index = 0; index < 8; index++) {
                endless();
                clock.advance(1);
            }
            await untilMs(Limits.maxParseContentionMs - 500);
            expect(connections.some(({ isEvicted }) => isEvicted)).toBe(false);
            await untilMs(20_000);
            expect(connections.map(({ isEvicted }) => isEvicted)).toEqual([false, ...Array<boolean>(7).fill(true)]);
            expect(scheduler.evictedCount).toBe(7);
        });

        it("evicts no cheaper request (guards against callers who are refused on the crowd's account)", async () => {
            Array.from({ length: 4 }, () => endless());
            const cheap = new SimulatedConnection();
            for (let index = 0; index < 50; index++) {
                await untilMs(index * 200);
                cheap.receive(1);
                cheap.account.recordRequest();
            }
            expect(cheap.isEvicted).toBe(false);
            expect(scheduler.evictedCount).toBe(3);
        });

        it("leaves those with a request that may run (guards against a refusal of what has run)", async () => {
            const running = Array.from({ length: 3 }, () => endless(false));
            endless();
            await untilMs(10_000);
            expect(running.some(({ isEvicted }) => isEvicted)).toBe(false);
            expect(connections[3]!.isEvicted).toBe(true);
        });

        it("begins anew after a pause (guards against times that add up over a day)", async () => {
            for (let index = 0; index < 10; index++) {
                [new SimulatedConnection(), new SimulatedConnection()].forEach(connection => connection.receive(2_000));
                await turns(3_000);
                clock.advance(1_000);
            }
            expect(scheduler.evictedCount).toBe(0);
        });
    });

    describe.each([1, 2, 3, 4, 5])("given connections at random, seed %i", seed => {
        it("parses each ordinary request within two turns (guards against orders in which some wait)", async () => {
            const random = new SeededRandom(seed);
            const ordinary: { readonly connection: SimulatedConnection; readonly atMs: number; }[] = [];
            for (let index = 0; index < 2_000; index++) {
                if (random.next() < 0.05) {
                    endless();
                }
                if (random.next() < 0.1) {
                    ordinary.push({ connection: new SimulatedConnection().receive(1), atMs: clock.monotonicMs() });
                }
                if (random.next() < 0.04) {
                    const left = connections[Math.floor(random.next() * connections.length)];
                    if (left?.remaining === Number.POSITIVE_INFINITY) {
                        left.close();
                    }
                }
                await turn();
            }
            await turns(2);
            expect(ordinary.length).toBeGreaterThan(100);
            for (const { connection, atMs } of ordinary) {
                expect(connection.remaining).toBe(0);
                expect(connection.emptiedAtMs - atMs).toBeLessThan(16);
            }
        });
    });
});
