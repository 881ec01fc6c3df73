/** Random commands against a {@link TestFleet}. */
import fc from "fast-check";
import { match } from "ts-pattern";
import type { TestFleet } from "./testFleet.js";

const host = fc.nat({ max: 3 });
const budget = fc.nat({ max: 1 });

/** Commands with their weights. Hosts and budgets are given by number. */
const Commands = [
    { weight: 14, arbitrary: request("request") },
    { weight: 4, arbitrary: request("burst") },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("topUp" as const), budget, tokens: fc.nat({ max: 600 }) }) },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("cutPeers" as const), host, other: host }) },
    { weight: 3, arbitrary: fc.record({ type: fc.constant("cutStore" as const), host }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("heal" as const) }) },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("outage" as const), isDown: fc.boolean() }) },
    {
        weight: 1,
        arbitrary: fc.record({ type: fc.constant("slowStore" as const), latencyMs: fc.integer({ min: 1, max: 900 }) }),
    },
    { weight: 2, arbitrary: share("lostAnswers") },
    { weight: 2, arbitrary: share("lateWrites") },
    { weight: 2, arbitrary: share("staleReads") },
    { weight: 1, arbitrary: share("lostReplies") },
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

function request<T extends "request" | "burst">(type: T) {
    return fc.record({
        type: fc.constant(type),
        host,
        budget,
        costTokens: fc.integer({ min: 1, max: 160 }),
        usedShare: fc.integer({ min: 0, max: 4 }),
        durationMs: fc.constantFrom(5, 300, 4_000),
    });
}

function share<T extends string>(type: T) {
    return fc.record({ type: fc.constant(type), share: fc.constantFrom(0, 0.1, 0.4, 1) });
}

/** Any command. */
export const CommandArbitrary = fc.oneof(...Commands);
export type Command = typeof CommandArbitrary extends fc.Arbitrary<infer C> ? C : never;

/** Requests of a burst. */
const BurstCount = 6;

/** Time that passes with each command. */
const StepMs = 5;

/** Performs a command. */
export function perform(world: TestFleet, command: Command): void {
    const hostOf = (index: number): string => world.hostIds[index % world.hostIds.length]!;
    const budgetOf = (index: number): string => world.budgets[index % world.budgets.length]!;
    const { faults } = world.store;
    match(command)
        .with({ type: "request" }, plan => startRequests(world, hostOf(plan.host), budgetOf(plan.budget), plan, 1))
        .with(
            { type: "burst" },
            plan => startRequests(world, hostOf(plan.host), budgetOf(plan.budget), plan, BurstCount),
        )
        .with({ type: "topUp" }, topUp => world.topUp(budgetOf(topUp.budget), topUp.tokens))
        .with({ type: "cutPeers" }, cut => world.network.partition(hostOf(cut.host), hostOf(cut.other)))
        .with({ type: "cutStore" }, cut => void world.store.disconnectedHosts.add(hostOf(cut.host)))
        .with({ type: "heal" }, () => {
            world.network.heal();
            world.store.disconnectedHosts.clear();
        })
        .with({ type: "outage" }, ({ isDown }) => void (faults.outage = isDown))
        .with({ type: "slowStore" }, ({ latencyMs }) => void (faults.latencyMs = latencyMs))
        .with({ type: "lostAnswers" }, ({ share }) => void (faults.lostResponseRatio = share))
        .with({ type: "lateWrites" }, ({ share }) => void (faults.lateWriteRatio = share))
        .with({ type: "staleReads" }, ({ share }) => void (faults.staleReadRatio = share))
        .with({ type: "lostReplies" }, ({ share }) => void (world.network.lostReplyRatio = share))
        .with({ type: "kill" }, ({ host }) => world.kill(hostOf(host)))
        .with({ type: "pause" }, ({ host, durationMs }) => world.processOf(hostOf(host))?.pause(durationMs))
        .with({ type: "restart" }, ({ host }) => world.restart(hostOf(host)))
        .with({ type: "shutdown" }, ({ host }) => world.shutdown(hostOf(host)))
        .with({ type: "cutStream" }, () => [...world.gateway.interruptions.values()].at(-1)?.())
        .with({ type: "wait" }, ({ durationMs }) => world.scheduler.advance(durationMs))
        .exhaustive();
    world.scheduler.advance(StepMs);
}

function startRequests(
    world: TestFleet,
    hostId: string,
    budget: string,
    plan: { readonly costTokens: number; readonly usedShare: number; readonly durationMs: number; },
    count: number,
): void {
    const process = world.processOf(hostId);
    for (let index = 0; process !== undefined && index < count; index++) {
        world.gateway.start(process, {
            budget,
            costTokens: plan.costTokens,
            usedTokens: Math.floor(plan.costTokens * plan.usedShare / 4),
            durationMs: plan.durationMs,
        });
    }
}
