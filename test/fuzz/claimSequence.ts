/** Random sequences of keyed requests under faults, and the oracle for claims. */
import fc from "fast-check";
import { IdempotencyController } from "../../src/features/idempotency/idempotencyController.js";
import { IdempotencySettingsSchema } from "../../src/features/idempotency/idempotencyTypes.js";
import type { ControllerContext } from "../../src/kernel/controller.js";
import { type Command, CommandArbitrary, perform } from "./commands.js";
import { KeyedGateway, type KeyedRequest } from "./keyedGateway.js";
import { checkFinalState, checkInvariants, PropertyViolation } from "./oracle.js";
import { createBudgetControllers, TestFleet } from "./testFleet.js";

/** Number of keys of each kind that the callers of a sequence use. */
const KeyCount = 3;

const host = fc.nat({ max: 3 });
const Durations = fc.constantFrom(5, 300, 4_000);

const KeyedCommandArbitrary = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            type: fc.constant("sale" as const),
            host,
            key: fc.nat({ max: KeyCount - 1 }),
            durationMs: Durations,
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            type: fc.constant("keyedChat" as const),
            host,
            key: fc.nat({ max: KeyCount - 1 }),
            durationMs: Durations,
        }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("ticket" as const), host }) },
    {
        weight: 4,
        arbitrary: fc.record({
            type: fc.constant("ticketSale" as const),
            host,
            ticket: fc.nat({ max: 4 }),
            durationMs: Durations,
        }),
    },
);
type KeyedCommand = typeof KeyedCommandArbitrary extends fc.Arbitrary<infer C> ? C : never;

/** A sequence of commands, with the seed of the simulated fleet. */
export interface ClaimSequence {
    readonly seed: number;
    readonly commands: readonly (Command | KeyedCommand)[];
}

/** Generates any sequence. */
export const ClaimSequenceArbitrary: fc.Arbitrary<ClaimSequence> = fc.record({
    seed: fc.nat({ max: 1_000_000 }),
    commands: fc.array(
        fc.oneof({ weight: 2, arbitrary: CommandArbitrary }, { weight: 1, arbitrary: KeyedCommandArbitrary }),
        { minLength: 5, maxLength: 50, size: "max" },
    ),
});

/** Creates the idempotency controller of a host; deliberate breaks replace it. */
export type CreateIdempotency = (context: ControllerContext) => IdempotencyController;

/** @returns The real controller with default settings. */
export const createIdempotency: CreateIdempotency = context =>
    new IdempotencyController(context, IdempotencySettingsSchema.parse({}));

/** Runs a sequence; throws a {@link PropertyViolation} when a property does not hold. */
export function runClaimSequence(sequence: ClaimSequence, create = createIdempotency): KeyedGateway {
    let gateway: KeyedGateway | undefined;
    const fleet = new TestFleet({
        seed: sequence.seed,
        hostCount: 3,
        homesOnly: sequence.seed % 3 === 0,
        budgets: { b0: 20_000, b1: 500 },
        createGateway: (...args) => gateway = new KeyedGateway(...args),
        createControllers: (context, homesOnly) => {
            const observedContext: ControllerContext = {
                ...context,
                emit: effect => {
                    if (effect.type === "postEvent" && effect.event.type === "billReversed") {
                        gateway?.recordReversal(effect.event.bill.requestId);
                    }
                    context.emit(effect);
                },
            };
            return [...createBudgetControllers(context, homesOnly), create(observedContext)];
        },
    });
    const keyed = gateway!;
    fleet.scheduler.advance(1_500);
    for (const command of sequence.commands) {
        performKeyed(fleet, keyed, command);
        checkInvariants(fleet);
        checkClaims(keyed);
    }
    fleet.healAndWait();
    checkFinalState(fleet);
    checkClaims(keyed);
    checkOneBill(fleet, keyed);
    checkReplays(fleet, keyed);
    return keyed;
}

function performKeyed(fleet: TestFleet, gateway: KeyedGateway, command: Command | KeyedCommand): void {
    if (command.type === "sale" || command.type === "keyedChat" || command.type === "ticketSale") {
        startKeyedRequest(fleet, gateway, command);
    }
    else if (command.type === "ticket") {
        const process = fleet.processOf(hostName(fleet, command.host));
        if (process !== undefined) {
            gateway.requestTicket(process);
        }
    }
    else {
        perform(fleet, command);
        return;
    }
    fleet.scheduler.advance(5);
}

function startKeyedRequest(
    fleet: TestFleet,
    gateway: KeyedGateway,
    command: Extract<KeyedCommand, { type: "sale" | "keyedChat" | "ticketSale"; }>,
): void {
    const key = command.type === "ticketSale" ? gateway.tickets[command.ticket] : `${command.type}-${command.key}`;
    const process = fleet.processOf(hostName(fleet, command.host));
    if (key !== undefined && process !== undefined) {
        const plan = { budget: "b0", costTokens: 20, usedTokens: 15, durationMs: command.durationMs };
        gateway.startKeyed(process, key, command.type === "keyedChat", plan);
    }
}

function hostName(fleet: TestFleet, index: number): string {
    return fleet.hostIds[index % fleet.hostIds.length]!;
}

function groupByKey(gateway: KeyedGateway): Map<string, KeyedRequest[]> {
    const keys = new Map<string, KeyedRequest[]>();
    for (const request of gateway.keyed.values()) {
        keys.set(request.key, [...(keys.get(request.key) ?? []), request]);
    }
    return keys;
}

/** Checks that non-repeatable work ran at most once, and that each replay is the response of a complete run of its key. */
function checkClaims(gateway: KeyedGateway): void {
    for (const [key, requests] of groupByKey(gateway)) {
        const runs = gateway.runsOf(key);
        if (!requests[0]!.repeatable && runs.length > 1) {
            throw new PropertyViolation("P5 ran twice", `${key}: ${runs.map(run => run.requestId).join(" ")}`);
        }
        for (const request of requests) {
            checkOutcome(request, runs.filter(run => run.settled && !run.cut).map(run => run.requestId));
        }
    }
}

function checkOutcome({ outcome, requestId, key, repeatable }: KeyedRequest, completeRuns: readonly string[]): void {
    if (outcome?.status === "replay" && !completeRuns.includes(outcome.answer.body)) {
        throw new PropertyViolation("P3 wrong answer", `${requestId} with ${key} got that of ${outcome.answer.body}`);
    }
    if (outcome?.status === "deferred" && !repeatable) {
        throw new PropertyViolation("P5 ran without a claim", requestId);
    }
}

/** Checks that at most one bill of a key remains. Not checked if a process was killed: it may not have cancelled its bill. */
function checkOneBill(fleet: TestFleet, gateway: KeyedGateway): void {
    if (fleet.processes.some(process => process.end === "killed")) {
        return;
    }
    for (const key of groupByKey(gateway).keys()) {
        const billed = gateway.runsOf(key).filter(run => run.settled && !run.reversed);
        if (billed.length > 1) {
            throw new PropertyViolation("P2 key billed twice", `${key}: ${billed.map(run => run.requestId).join(" ")}`);
        }
    }
}

/** Checks, after everything has settled, that any host can replay the response of each complete run of a live process. */
function checkReplays(fleet: TestFleet, gateway: KeyedGateway): void {
    const finished = [...groupByKey(gateway).keys()].flatMap(key =>
        gateway.runsOf(key).filter(run => run.settled && !run.cut && !run.reversed && run.process.isAlive).map(run => ({
            key,
            run,
        }))
    );
    for (const { key, run } of finished) {
        const process = fleet.processOf(hostName(fleet, fleet.random.integer(3)))!;
        const retry = gateway.startKeyed(process, key, false, run);
        fleet.scheduler.advance(4_000);
        if (retry.outcome?.status !== "replay") {
            const detail = `${key} of ${run.requestId} at ${process.hostId}: ${JSON.stringify(retry.outcome)}`;
            throw new PropertyViolation("answer is lost", detail);
        }
    }
    checkClaims(gateway);
}
