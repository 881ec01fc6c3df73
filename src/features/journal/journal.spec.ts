import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { MatchAllSelector } from "../../base/labels.js";
import { SeededRandom } from "../../base/random.js";
import { createBlackboard } from "../../kernel/blackboard.js";
import type { Effect } from "../../kernel/effects.js";
import { EffectRunner, Kernel } from "../../kernel/kernel.js";
import { ObjectStore } from "../../standins/platform/objectStore.js";
import { BudgetController } from "../budget/budgetController.js";
import { BudgetSettingsSchema } from "../budget/budgetSettings.js";
import type { KnownMember } from "../membership/membershipBoard.js";
import { JournalController } from "./journalController.js";
import { JournalSettingsSchema } from "./journalSettings.js";

const TickMs = 50;

/** One idle host with a journal and budgets on a store without faults. */
class IdleHost extends EffectRunner {
    readonly counts = { reads: 0, writes: 0 };
    readonly kernel: Kernel;
    readonly #clock = new ManualClock();
    readonly #store = new ObjectStore();

    constructor(peerCount: number, budgets: readonly string[]) {
        super();
        const board = createBlackboard("h0", "1");
        this.kernel = new Kernel({
            board,
            clock: this.#clock,
            random: new SeededRandom(1),
            counters: new Counters(),
            createControllers: context => [
                new JournalController(context, JournalSettingsSchema.parse({})),
                new BudgetController(context, BudgetSettingsSchema.parse({})),
            ],
        });
        this.kernel.setEffectRunner(this);
        const resources = new Map(budgets.map(name => [name, { labels: {}, teams: MatchAllSelector }]));
        board.config.resources = { ...board.config.resources, budgets: resources };
        board.config.version = 1;
        board.lifecycle.phase = "serving";
        for (let index = 1; index <= peerCount; index++) {
            board.membership.members.set(`h${index}`, createMember(`h${index}`));
        }
    }

    override run(effect: Effect): void {
        if (effect.type === "storePut") {
            this.counts.writes++;
            const outcome = this.#store.put(effect.key, effect.value, effect.expectedVersion);
            queueMicrotask(() => this.kernel.post({ ...effect, type: "storePutDone", outcome }));
        }
        else if (effect.type === "storeGet") {
            this.counts.reads++;
            const outcome = this.#store.get(effect.key);
            queueMicrotask(() => this.kernel.post({ ...effect, type: "storeGetDone", outcome }));
        }
    }

    async advance(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TickMs) {
            this.#clock.advance(TickMs);
            this.kernel.post({ type: "tick" });
            await Promise.resolve();
        }
    }
}

function createMember(hostId: string): KnownMember {
    return {
        hostId,
        incarnation: "1",
        zone: "z",
        peerAddress: "",
        operatorAddress: "",
        state: "live",
        heartbeat: 1,
        configVersion: 1,
        heardAtMs: 0,
    };
}

describe("store calls of an idle host", () => {
    describe("when the fleet is small", () => {
        it("writes its record every 2 s (guards against late heartbeats)", async () => {
            const host = new IdleHost(7, []);
            await host.advance(60_000);
            expect(host.counts.writes).toBeGreaterThanOrEqual(29);
            expect(host.counts.writes).toBeLessThanOrEqual(31);
        });
    });

    describe("when the fleet has 400 hosts", () => {
        it("writes its record every 5 s (guards against record writes that use the whole capacity of the store)", async () => {
            const host = new IdleHost(399, []);
            await host.advance(60_000);
            expect(host.counts.writes).toBeLessThanOrEqual(13);
            expect(host.counts.writes).toBeGreaterThanOrEqual(12);
        });
    });

    describe("when budgets have no prepaid tokens", () => {
        it("reads each once and rarely again (guards against reads that never stop)", async () => {
            const budgets = Array.from({ length: 10 }, (_, index) => `b${index}`);
            const host = new IdleHost(7, budgets);
            await host.advance(90_000);
            expect(host.counts.reads).toBe(budgets.length);
            await host.advance(90_000);
            expect(host.counts.reads).toBe(2 * budgets.length);
        });
    });
});
