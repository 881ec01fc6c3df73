import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { RecordSync } from "./recordSync.js";
import type { HostBudgetState } from "./spendingRecord.js";
import type { TeamAccount } from "./teamAccount.js";
import { TeamAccounts } from "./teamAccounts.js";
import { WriteSequencer } from "./writeSequencer.js";

/** A store with one object, whose writes take effect but get no response while `acknowledgesWrites` is false. */
class OneObjectStore extends PlatformStore {
    value: unknown;
    version = 0;
    acknowledgesWrites = true;
    puts = 0;

    override get(): Promise<ReadOutcome> {
        return Promise.resolve(
            this.version === 0 ? { status: "absent" } : {
                status: "found",
                object: { key: "host-a", version: this.version, revision: this.version, value: this.value },
            },
        );
    }

    override put(_key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.puts++;
        if (expectedVersion !== this.version) {
            return Promise.resolve({ status: "conflict", current: undefined });
        }
        this.value = JSON.parse(JSON.stringify(value));
        this.version++;
        return Promise.resolve(
            this.acknowledgesWrites ?
                { status: "applied", version: this.version } :
                { status: "unknown", reason: "lost" },
        );
    }

    override delete(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override list(): Promise<ListOutcome> {
        throw new Error("not used");
    }

    override watch(): Promise<WatchOutcome> {
        throw new Error("not used");
    }
}

describe("RecordSync", () => {
    let clock: ManualClock;
    let store: OneObjectStore;
    let account: TeamAccount;
    let sync: RecordSync;
    let requiredLedgerNames: string[];

    function start(incarnation: string): void {
        const accounts = new TeamAccounts(clock);
        account = accounts.getOrCreate("t");
        const sequencer = new WriteSequencer(incarnation, accounts, () => clock.monotonicMs());
        sync = new RecordSync({
            store,
            key: "host-a",
            incarnation,
            counters: new Counters(),
            sequencer,
            requiredLedgers: () => requiredLedgerNames,
        }, accounts);
    }

    async function tick(): Promise<void> {
        clock.advance(1_000);
        sync.tick(true);
        for (let turn = 0; turn < 10; turn++) {
            await Promise.resolve();
        }
    }

    beforeEach(async () => {
        clock = new ManualClock();
        requiredLedgerNames = ["t"];
        store = new OneObjectStore();
        start("first");
        await tick();
        account.acknowledgeGrant(100_000);
        account.acknowledgeBound({
            limitTokens: 50_000,
            releaseTokensPerS: 0,
            burstTokens: 0,
            sequence: 0,
            createdAtMs: clock.monotonicMs(),
        });
        account.recordDemand(5_000, clock.monotonicMs());
        account.tryReserve(5_000, clock.monotonicMs());
    });

    describe("given a write without a response", () => {
        it("applies its bound while it may have taken effect (guards against a successor that allows less than was spent)", async () => {
            store.acknowledgesWrites = false;
            await tick();
            const { record } = store.value as HostBudgetState;
            expect(account.availableTokens(clock.monotonicMs())).toBe(record!.teams["t"]!.limitTokens - 5_000);
        });

        it("detects with the next read that it took effect", async () => {
            store.acknowledgesWrites = false;
            await tick();
            store.acknowledgesWrites = true;
            const before = store.version;
            account.tryReserve(1, clock.monotonicMs());
            await tick();
            expect(store.version).toBe(before + 1);
            expect(sync.isFailing).toBe(false);
        });
    });

    describe("on a restart", () => {
        it("keeps the predecessor's record on takeover (guards against a second kill before the shares are closed)", async () => {
            await tick();
            start("second");
            await tick();
            expect(sync.predecessorRecord?.incarnation).toBe("first");
            start("third");
            await tick();
            expect(sync.predecessorRecord?.incarnation).toBe("first");
        });
    });

    describe("given a ledger in which the host needs a share", () => {
        it("lists it before the share is written, next to the predecessor's (guards against shares that no successor closes)", async () => {
            start("second");
            requiredLedgerNames = ["u"];
            expect(sync.isLedgerListed("u")).toBe(false);
            sync.tick(false);
            expect(sync.isLedgerListed("u")).toBe(false);
            await tick();
            expect((store.value as HostBudgetState).ledgers).toEqual(["t", "u"]);
            expect([sync.isLedgerListed("u"), sync.inheritedLedgers]).toEqual([true, ["t"]]);
        });

        it("does not take the object back from another process (guards against two owners)", async () => {
            await tick();
            requiredLedgerNames = ["t", "u"];
            store.value = { owner: "other", ledgers: [] } satisfies HostBudgetState;
            store.version++;
            for (let turn = 0; turn < 3; turn++) {
                clock.advance(1_000);
                sync.tick(false);
                for (let call = 0; call < 10; call++) {
                    await Promise.resolve();
                }
            }
            expect((store.value as HostBudgetState).owner).toBe("other");
            expect(sync.isLedgerListed("u")).toBe(false);
        });
    });

    describe("given an object that another process took over", () => {
        it("stops writing (guards against two processes that overwrite each other's records)", async () => {
            await tick();
            store.value = { owner: "other", ledgers: [] } satisfies HostBudgetState;
            store.version++;
            account.tryReserve(1, clock.monotonicMs());
            await tick();
            await tick();
            const puts = store.puts;
            await tick();
            expect(store.puts).toBe(puts);
            expect((store.value as HostBudgetState).owner).toBe("other");
        });
    });
});
