import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { FaultyStore } from "../../standins/budgetTestFleet.js";
import { EvidenceRecordSync } from "./evidenceRecordSync.js";
import { QuarantineTracker } from "./quarantineTracker.js";

const Key = "quarantine/evidence";
const DeadPart = "deadbeef";

/** Wall clock of all hosts at the start, in Unix milliseconds. */
const StartWallMs = 1_700_000_000_000;

const StepMs = 20;
const CrashPauseMs = 2_500;

/** Events that start a quarantine. */
const QuarantineCrashes = 3;

/** One host: its tracker and its access to the record. */
class Host {
    readonly id: string;
    readonly clock: ManualClock;
    readonly tracker: QuarantineTracker;
    readonly sync: EvidenceRecordSync;

    constructor(id: string, store: FaultyStore, wallMs: number, isResponsible: () => boolean) {
        this.id = id;
        this.clock = new ManualClock(wallMs);
        this.tracker = new QuarantineTracker({
            ownHostId: id,
            isTrialHost: () => false,
            hasUpstreamEnded: () => false,
            onDecision: () => undefined,
        });
        this.sync = new EvidenceRecordSync({
            store,
            key: Key,
            clock: this.clock,
            tracker: this.tracker,
            isResponsible,
        });
        this.sync.start();
    }

    get nowMs(): number {
        return this.clock.monotonicMs();
    }

    isRefused(partId: string): boolean {
        return this.tracker.findQuarantined([partId], this.nowMs) !== undefined;
    }
}

/** Hosts with one store; evidence and clearances reach all others at once, unless {@link isCut}. */
class Fleet {
    readonly store = new FaultyStore();
    readonly #count: number;
    hosts: Host[] = [];
    isCut = false;
    /** Difference of each host's wall clock from the true time, in milliseconds. */
    skewMs: readonly number[] = [];
    /** Index of the host that is responsible for all parts. */
    responsible: number;
    #elapsedMs = 0;
    #crashCount = 0;

    constructor(count: number) {
        this.#count = count;
        this.responsible = count - 1;
    }

    /** Starts all hosts as new processes, in place of those before. */
    async start(): Promise<void> {
        this.hosts = Array.from({ length: this.#count }, (_, index) => {
            const wallMs = StartWallMs + this.#elapsedMs + (this.skewMs[index] ?? 0);
            return new Host(`host-${index}`, this.store, wallMs, () => index === this.responsible);
        });
        await this.advance(StepMs);
    }

    async advance(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += StepMs) {
            this.#elapsedMs += StepMs;
            for (const host of this.hosts) {
                host.clock.advance(StepMs);
                host.sync.tick();
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Ends an upstream under a request with the parts at one host. */
    crash(index: number, ...partIds: string[]): void {
        const witness = this.hosts[index]!;
        const upstream = { upstreamId: `i-${this.#crashCount % 8}`, startedAtMs: ++this.#crashCount };
        witness.tracker.recordCrash({ ...upstream, crashedAtMs: witness.nowMs }, partIds, witness.id, witness.nowMs);
        for (const host of this.isCut ? [] : this.hosts.filter(other => other !== witness)) {
            for (const partId of partIds) {
                host.tracker.recordEvidence({ partId, crashes: [{ ...upstream, ageMs: 1 }] }, witness.id, host.nowMs);
            }
        }
    }

    /** Lets crashes come at the hosts in turn. */
    async crashes(count: number, ...partIds: string[]): Promise<void> {
        for (let index = 0; index < count; index++) {
            this.crash(index % 2, ...partIds);
            await this.advance(CrashPauseMs);
        }
    }

    complete(index: number, partId: string): void {
        const host = this.hosts[index]!;
        host.tracker.recordCompletion([partId], host.nowMs);
        this.hosts.filter(other => other !== host)
            .forEach(other => other.tracker.recordClearance(partId, other.nowMs, other.nowMs));
    }

    refusals(partId = DeadPart): number {
        return this.hosts.filter(host => host.isRefused(partId)).length;
    }

    get recordedPartIds(): string[] {
        const value = this.store.copy().get(Key)?.value as { parts: { partId: string; }[]; } | undefined;
        return (value?.parts ?? []).map(({ partId }) => partId);
    }
}

describe("EvidenceRecordSync", () => {
    let fleet: Fleet;

    beforeEach(async () => {
        fleet = new Fleet(3);
        await fleet.start();
    });

    describe("given a kill of all hosts", () => {
        it.each([3, 8, 65, 195, 403])(
            "keeps a part in quarantine, %d hosts (guards against a part that crashes upstreams again after each kill)",
            async count => {
                fleet = new Fleet(count);
                await fleet.start();
                await fleet.crashes(QuarantineCrashes, DeadPart);
                expect(fleet.refusals()).toBe(count);
                for (let kill = 0; kill < 2; kill++) {
                    await fleet.start();
                    expect(fleet.hosts.every(({ sync }) => sync.isInformed)).toBe(true);
                    expect(fleet.refusals()).toBe(count);
                }
            },
        );

        it("keeps what a suspicion counts (guards against crashes that are forgotten before they suffice)", async () => {
            await fleet.crashes(2, DeadPart);
            await fleet.start();
            expect(fleet.hosts.every(({ tracker, nowMs }) => !tracker.mayRepeat([DeadPart], nowMs))).toBe(true);
            await fleet.crashes(1, DeadPart);
            expect(fleet.refusals()).toBe(3);
        });

        it("ends the quarantine when it would have ended (guards against refusals that a restart prolongs)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            await fleet.advance(40_000);
            await fleet.start();
            const verdict = fleet.hosts[0]!.tracker.findQuarantined([DeadPart], fleet.hosts[0]!.nowMs);
            expect(verdict?.retryAfterMs).toBeGreaterThan(10_000);
            expect(verdict?.retryAfterMs).toBeLessThan(20_000);
        });

        it("forgets a record that nobody renews (guards against refusals for good)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            await fleet.start();
            fleet.skewMs = [1, 1, 1].map(() => 3_600_000);
            await fleet.start();
            await fleet.advance(2_000);
            expect(fleet.recordedPartIds).toEqual([]);
            const { calls } = fleet.store;
            await fleet.advance(5_000);
            expect(fleet.store.calls).toBe(calls);
            expect(fleet.hosts.every(({ tracker, nowMs }) => tracker.mayRepeat([DeadPart], nowMs))).toBe(true);
        });

        it("does not quarantine what an outage exempted (guards against sound parts that are refused after a kill)", async () => {
            fleet.crash(0, DeadPart);
            fleet.crash(0, "b");
            await fleet.advance(600);
            fleet.crash(1, DeadPart);
            fleet.crash(1, "c");
            await fleet.advance(600);
            fleet.crash(1, DeadPart);
            fleet.crash(1, "d");
            await fleet.advance(1_000);
            expect(fleet.refusals()).toBe(0);
            await fleet.start();
            expect(fleet.refusals()).toBe(0);
        });
    });

    describe("given the price of calls", () => {
        it("calls the store for nothing but the start at single crashes (guards against a price for ordinary crashes)", async () => {
            const { calls } = fleet.store;
            expect(calls).toBe(3);
            await fleet.crashes(1, "a", "b");
            await fleet.crashes(1, "c");
            expect(fleet.store.calls).toBe(calls);
        });

        it.each([8, 65, 195, 403])(
            "makes at most four calls for a crash, %d hosts (guards against calls that grow with the fleet)",
            async count => {
                fleet = new Fleet(count);
                await fleet.start();
                expect(fleet.store.calls).toBe(count);
                await fleet.crashes(6, DeadPart);
                expect(fleet.store.calls - count).toBeLessThanOrEqual(4 * 6);
            },
        );
    });

    describe("given a part that turned out sound", () => {
        it("removes it from the record (guards against sound requests that are refused after a kill)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            expect(fleet.recordedPartIds).toEqual([DeadPart]);
            fleet.complete(0, DeadPart);
            await fleet.advance(1_500);
            expect(fleet.recordedPartIds).toEqual([]);
            await fleet.start();
            expect(fleet.refusals()).toBe(0);
        });
    });

    describe("given a store that does not answer", () => {
        it("judges no request before the record is read, for a time (guards against requests sent without the evidence)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            fleet.store.fault = "down";
            await fleet.start();
            expect(fleet.hosts.some(({ sync }) => sync.isInformed)).toBe(false);
            await fleet.advance(3_000);
            expect(fleet.hosts.every(({ sync }) => sync.isInformed)).toBe(true);
            expect(fleet.refusals()).toBe(0);
            fleet.store.fault = "none";
            await fleet.advance(1_000);
            expect(fleet.refusals()).toBe(3);
        });

        it.each(["down", "lost", "late"] as const)(
            "writes the evidence when it answers again: %s (guards against evidence that only the processes know)",
            async fault => {
                fleet.store.fault = fault;
                await fleet.crashes(QuarantineCrashes, DeadPart);
                fleet.store.fault = "none";
                fleet.store.applyLateWrites();
                await fleet.advance(1_500);
                expect(fleet.recordedPartIds).toEqual([DeadPart]);
                await fleet.start();
                expect(fleet.refusals()).toBe(3);
            },
        );
    });

    describe("given a store that comes back from a copy", () => {
        it("states the evidence again (guards against a record that the copy lacks)", async () => {
            const copy = fleet.store.copy();
            await fleet.crashes(QuarantineCrashes, DeadPart);
            fleet.store.restore(copy);
            fleet.hosts.forEach(({ sync }) => sync.onStoreRestored());
            await fleet.advance(1_500);
            expect(fleet.recordedPartIds).toEqual([DeadPart]);
        });

        it("states what was being written again (guards against a write that the copy lacks)", async () => {
            const copy = fleet.store.copy();
            fleet.responsible = -1;
            await fleet.crashes(1, DeadPart);
            fleet.crash(0, DeadPart);
            const [witness] = fleet.hosts;
            witness!.clock.advance(CrashPauseMs);
            witness!.sync.tick();
            expect(fleet.recordedPartIds).toEqual([DeadPart]);
            fleet.store.restore(copy);
            fleet.hosts.forEach(({ sync }) => sync.onStoreRestored());
            await fleet.advance(1_500);
            expect(fleet.recordedPartIds).toEqual([DeadPart]);
        });

        it("removes what the copy holds of a sound part (guards against a record that was removed since)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            const copy = fleet.store.copy();
            fleet.complete(0, DeadPart);
            await fleet.crashes(QuarantineCrashes, "other");
            fleet.store.restore(copy);
            fleet.hosts.forEach(({ sync }) => sync.onStoreRestored());
            await fleet.advance(1_500);
            expect(fleet.recordedPartIds).toEqual(["other"]);
        });
    });

    describe("given hosts that write at once", () => {
        it("keeps the evidence of both (guards against a write that replaces another one)", async () => {
            fleet.isCut = true;
            await Promise.all([0, 1].map(async index => {
                for (let crash = 0; crash < QuarantineCrashes; crash++) {
                    fleet.crash(index, `part-${index}`);
                    await fleet.advance(CrashPauseMs / 2);
                }
            }));
            await fleet.advance(1_000);
            expect(fleet.recordedPartIds.sort()).toEqual(["part-0", "part-1"]);
        });
    });

    describe("given an entry that cannot be read", () => {
        it.each([["a text", "x"], ["no parts", {}], ["an odd part", { parts: [{ partId: 7 }] }]])(
            "writes the evidence over it: %s (guards against an odd entry that keeps hosts from starting)",
            async (_name, value) => {
                await fleet.store.put(Key, value, 0);
                await fleet.start();
                expect(fleet.hosts.every(({ sync }) => sync.isInformed)).toBe(true);
                await fleet.crashes(QuarantineCrashes, DeadPart);
                expect(fleet.recordedPartIds).toEqual([DeadPart]);
            },
        );

        it("uses the parts that can be read (guards against one odd part that hides the others)", async () => {
            await fleet.crashes(QuarantineCrashes, DeadPart);
            const { value, number } = fleet.store.copy().get(Key)!;
            const { parts } = value as { parts: unknown[]; };
            await fleet.store.put(Key, { parts: [{ partId: "later", crashes: "none" }, ...parts], later: 1 }, number);
            await fleet.start();
            expect(fleet.refusals()).toBe(3);
        });
    });

    describe("given hosts with clocks apart", () => {
        it.each([-30_000, 30_000])(
            "keeps the part in quarantine, %d ms (guards against times that one host's clock moves)",
            async skewMs => {
                await fleet.crashes(QuarantineCrashes, DeadPart);
                for (let round = 0; round < 4; round++) {
                    fleet.skewMs = round % 2 === 0 ? [skewMs, 0, 0] : [0, skewMs, skewMs];
                    await fleet.start();
                    expect(fleet.refusals()).toBe(3);
                    await fleet.advance(1_000);
                }
            },
        );
    });
});
