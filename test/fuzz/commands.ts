/** Random commands against a {@link TestFleet}. */
import fc from "fast-check";
import { match } from "ts-pattern";
import type { TestFleet } from "./testFleet.js";

const host = fc.nat({ max: 3 });
const budget = fc.nat({ max: 1 });

/** Commands with their weights. Hosts and budgets are given by index, modulo their count. */
const Commands = [
    { weight: 14, arbitrary: requestCommand("request") },
    { weight: 4, arbitrary: requestCommand("burst") },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("topUp" as const), budget, tokens: fc.nat({ max: 600 }) }) },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("cutPeers" as const), host, other: host }) },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("cutStore" as const), host }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("heal" as const) }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("outage" as const), isDown: fc.boolean() }) },
    {
        weight: 1,
        arbitrary: fc.record({ type: fc.constant("slowStore" as const), latencyMs: fc.integer({ min: 1, max: 900 }) }),
    },
    { weight: 2, arbitrary: faultRatioCommand("lostAnswers") },
    { weight: 2, arbitrary: faultRatioCommand("lateWrites") },
    { weight: 2, arbitrary: faultRatioCommand("staleReads") },
    { weight: 1, arbitrary: faultRatioCommand("lostReplies") },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("kill" as const), host }) },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("pause" as const),
            host,
            durationMs: fc.integer({ min: 100, max: 12_000 }),
        }),
    },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("restart" as const), host }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("shutdown" as const), host }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("cutStream" as const) }) },
    {
        weight: 10,
        arbitrary: fc.record({ type: fc.constant("wait" as const), durationMs: fc.integer({ min: 1, max: 1_500 }) }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("wait" as const),
            durationMs: fc.integer({ min: 1_500, max: 8_000 }),
        }),
    },
] as const;

function requestCommand<T extends "request" | "burst">(type: T) {
    return fc.record({
        type: fc.constant(type),
        host,
        budget,
        costTokens: fc.integer({ min: 1, max: 160 }),
        usedShare: fc.integer({ min: 0, max: 4 }),
        durationMs: fc.constantFrom(5, 300, 4_000),
    });
}

function faultRatioCommand<T extends string>(type: T) {
    return fc.record({ type: fc.constant(type), share: fc.constantFrom(0, 0.1, 0.4, 1) });
}

/** Generates any command. Field names are those of the stored sequences. */
export const CommandArbitrary = fc.oneof(...Commands);
/** A request, a top-up, a fault or a wait. */
export type Command = typeof CommandArbitrary extends fc.Arbitrary<infer C> ? C : never;

/** Number of requests in a burst. */
const BurstCount = 6;

/** Simulated time that passes after each command. */
const StepMs = 5;

/** Performs a command and advances the simulated time by {@link StepMs}. */
export function perform(fleet: TestFleet, command: Command): void {
    const hostOf = (index: number): string => fleet.hostIds[index % fleet.hostIds.length]!;
    const budgetOf = (index: number): string => fleet.budgets[index % fleet.budgets.length]!;
    const { faults } = fleet.store;
    match(command)
        .with({ type: "request" }, plan => startRequests(fleet, hostOf(plan.host), budgetOf(plan.budget), plan, 1))
        .with(
            { type: "burst" },
            plan => startRequests(fleet, hostOf(plan.host), budgetOf(plan.budget), plan, BurstCount),
        )
        .with({ type: "topUp" }, topUp => fleet.topUp(budgetOf(topUp.budget), topUp.tokens))
        .with({ type: "cutPeers" }, cut => fleet.network.partition(hostOf(cut.host), hostOf(cut.other)))
        .with({ type: "cutStore" }, cut => void fleet.store.disconnectedHosts.add(hostOf(cut.host)))
        .with({ type: "heal" }, () => {
            fleet.network.heal();
            fleet.store.disconnectedHosts.clear();
        })
        .with({ type: "outage" }, ({ isDown }) => void (faults.outage = isDown))
        .with({ type: "slowStore" }, ({ latencyMs }) => void (faults.latencyMs = latencyMs))
        .with({ type: "lostAnswers" }, ({ share }) => void (faults.lostResponseRatio = share))
        .with({ type: "lateWrites" }, ({ share }) => void (faults.lateWriteRatio = share))
        .with({ type: "staleReads" }, ({ share }) => void (faults.staleReadRatio = share))
        .with({ type: "lostReplies" }, ({ share }) => void (fleet.network.lostReplyRatio = share))
        .with({ type: "kill" }, ({ host }) => fleet.kill(hostOf(host)))
        .with({ type: "pause" }, ({ host, durationMs }) => fleet.processOf(hostOf(host))?.pause(durationMs))
        .with({ type: "restart" }, ({ host }) => fleet.restart(hostOf(host)))
        .with({ type: "shutdown" }, ({ host }) => fleet.shutdown(hostOf(host)))
        .with({ type: "cutStream" }, () => [...fleet.gateway.interruptions.values()].at(-1)?.())
        .with({ type: "wait" }, ({ durationMs }) => fleet.scheduler.advance(durationMs))
        .exhaustive();
    fleet.scheduler.advance(StepMs);
}

function startRequests(
    fleet: TestFleet,
    hostId: string,
    budget: string,
    plan: { readonly costTokens: number; readonly usedShare: number; readonly durationMs: number; },
    count: number,
): void {
    const process = fleet.processOf(hostId);
    for (let index = 0; process !== undefined && index < count; index++) {
        fleet.gateway.start(process, {
            budget,
            costTokens: plan.costTokens,
            usedTokens: Math.floor(plan.costTokens * plan.usedShare / 4),
            durationMs: plan.durationMs,
        });
    }
}
