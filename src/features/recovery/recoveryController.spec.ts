import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { createBlackboard } from "../../kernel/blackboard.js";
import type { Effect } from "../../kernel/effects.js";
import { Kernel } from "../../kernel/kernel.js";
import type { KnownMember } from "../membership/membershipBoard.js";
import { RecoveryController } from "./recoveryController.js";
import { RecoverySettingsSchema } from "./recoverySettings.js";

describe("RecoveryController", () => {
    function runWithPeerIncarnations(...incarnations: string[]): string[] {
        const clock = new ManualClock();
        const board = createBlackboard("h0", "i0");
        const effects: Effect[] = [];
        const kernel = new Kernel({
            board,
            clock,
            random: new SeededRandom(1),
            counters: new Counters(),
            createControllers: context => [new RecoveryController(context, RecoverySettingsSchema.parse({}))],
        });
        kernel.setEffectRunner({ run: effect => effects.push(effect) });
        for (const incarnation of incarnations) {
            const member: KnownMember = {
                hostId: "h1",
                incarnation,
                zone: "",
                peerAddress: "127.0.0.1:1",
                operatorAddress: "",
                state: "live",
                heartbeat: 1,
                configVersion: 0,
                heardAtMs: 0,
            };
            board.membership.members.set("h1", member);
            for (let step = 0; step < 40; step++) {
                clock.advance(250);
                kernel.post({ type: "tick" });
            }
        }
        return effects.map(effect => effect.type === "storeGet" ? effect.key : effect.type);
    }

    describe("when a peer's incarnation changes", () => {
        it("reads the record of the old one (guards against shares that are never returned after a restart)", () => {
            expect(runWithPeerIncarnations("i1", "i2")).toContain("host/h1~i1");
        });

        it("reads nothing when the old one was unknown (guards against sealing a record that no host owns)", () => {
            expect(runWithPeerIncarnations("", "i1")).toEqual([]);
        });
    });
});
