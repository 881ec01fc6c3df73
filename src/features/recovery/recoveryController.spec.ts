import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { createBlackboard } from "../../kernel/blackboard.js";
import type { Effect } from "../../kernel/effects.js";
import { EffectRunner, Kernel } from "../../kernel/kernel.js";
import { hostRecordKey } from "../journal/journalTypes.js";
import { RecoveryController } from "./recoveryController.js";
import { RecoverySettingsSchema } from "./recoverySettings.js";

/** Notes the keys of store reads. */
class ReadNotes extends EffectRunner {
    readonly keys: string[] = [];

    override run(effect: Effect): void {
        if (effect.type === "storeGet") {
            this.keys.push(effect.key);
        }
    }
}

describe("RecoveryController", () => {
    let kernel: Kernel;
    let reads: ReadNotes;
    let clock: ManualClock;
    beforeEach(() => {
        clock = new ManualClock();
        reads = new ReadNotes();
        kernel = new Kernel({
            board: createBlackboard("h1", "1"),
            clock,
            random: new SeededRandom(1),
            counters: new Counters(),
            createControllers: context => [new RecoveryController(context, RecoverySettingsSchema.parse({}))],
        });
        kernel.attach(reads);
    });

    function see(incarnation: string): void {
        kernel.board.membership.members.set("h2", {
            hostId: "h2",
            incarnation,
            zone: "z",
            peerAddress: "127.0.0.1:1",
            operatorAddress: "",
            state: "live",
            heartbeat: 1,
            configVersion: 1,
            heardAtMs: 0,
        });
        kernel.post({ type: "tick" });
    }

    describe("when another incarnation of a host appears", () => {
        it("reads the record of the earlier one (guards against shares that never return)", () => {
            see("a");
            see("b");
            clock.advance(RecoverySettingsSchema.parse({}).sealerDelayMs);
            kernel.post({ type: "tick" });
            expect(reads.keys).toContain(hostRecordKey("h2~a"));
        });

        it("reads no record of a host that was only listed (guards against sealed records without an incarnation)", () => {
            see("");
            see("a");
            clock.advance(RecoverySettingsSchema.parse({}).sealerDelayMs);
            kernel.post({ type: "tick" });
            expect(reads.keys).toEqual([]);
        });
    });
});
