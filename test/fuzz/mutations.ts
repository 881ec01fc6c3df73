/** Deliberate faults, one per property. A fuzz run with one of them must fail; the product has no switches for them. */
import { BudgetController } from "../../src/features/budget/budgetController.js";
import { JournalController } from "../../src/features/journal/journalController.js";
import { HostRecordPrefix } from "../../src/features/journal/journalTypes.js";
import { RecoveryController } from "../../src/features/recovery/recoveryController.js";
import type { Controller, ControllerContext } from "../../src/kernel/controller.js";
import type { Effect } from "../../src/kernel/effects.js";
import type { RouterEvent } from "../../src/kernel/events.js";
import type { TestFleetOverrides } from "./sequence.js";
import { createBudgetControllers } from "./testFleet.js";

/** Handles an event in place of a controller; `handle` is the original. */
type HandleReplacement = (event: RouterEvent, context: ControllerContext, handle: (event: RouterEvent) => void) => void;
/** Takes an effect in place of the kernel; `context.emit` passes it on. */
type EmitReplacement = (effect: Effect, context: ControllerContext) => void;
type ControllerType = typeof JournalController | typeof BudgetController | typeof RecoveryController;

/** Replaces how one controller handles events. */
function onHandle(type: ControllerType, replacement: HandleReplacement): TestFleetOverrides {
    return {
        createControllers: (context, homesOnly) => {
            const controllers = createBudgetControllers(context, homesOnly);
            const controller: Controller = controllers.find(candidate => candidate instanceof type)!;
            const original = controller.handle.bind(controller);
            controller.handle = event => replacement(event, context, original);
            return controllers;
        },
    };
}

/** Replaces what happens to the effects of all controllers. */
function onEmit(replacement: EmitReplacement): TestFleetOverrides {
    return {
        createControllers: (context, homesOnly) =>
            createBudgetControllers({ ...context, emit: effect => replacement(effect, context) }, homesOnly),
    };
}

/** Treats a write without a response as not applied. */
function assumeNotApplied(owner: "budget" | "journal", type: ControllerType): TestFleetOverrides {
    return onHandle(type, (event, _context, handle) => {
        const isUnknown = event.type === "storePutDone" && event.owner === owner && event.outcome.status === "unknown";
        handle(isUnknown ? { ...event, outcome: { status: "refused", reason: "assumed" } } : event);
    });
}

/** Reports a write as applied without performing it. */
function pretendApplied(isAffected: (key: string, value: unknown) => boolean): TestFleetOverrides {
    return onEmit((effect, context) => {
        if (effect.type === "storePut" && isAffected(effect.key, effect.value)) {
            const { owner, callId, key } = effect;
            const outcome = { status: "applied" as const, version: effect.expectedVersion + 1 };
            context.emit({ type: "postEvent", event: { type: "storePutDone", owner, callId, key, outcome } });
        }
        else {
            context.emit(effect);
        }
    });
}

/** Whether a write seals a host record. */
function isSeal(key: string, value: unknown): boolean {
    return key.startsWith(HostRecordPrefix) && (value as { state: string; }).state === "sealed";
}

/** The deliberate faults, by name. */
export const Mutations: Readonly<Record<string, TestFleetOverrides>> = {
    "limit counted before acknowledgement": onHandle(JournalController, (event, { board }, handle) => {
        handle(event);
        board.journal.limits = board.journal.highestLimits;
    }),
    "share lowered below the declared limit": onHandle(JournalController, (event, { board }, handle) => {
        handle(event);
        board.journal.highestLimits = new Map();
    }),
    "lost answer of a share write taken as not applied": assumeNotApplied("budget", BudgetController),
    "lost answer of a record write taken as not applied": assumeNotApplied("journal", JournalController),
    "settled twice": onHandle(BudgetController, (event, { board }, handle) => {
        handle(event);
        const bill = board.budget.bills.at(-1);
        if (event.type === "reservationSettled" && bill !== undefined) {
            board.budget.bills.push({ ...bill, ordinal: bill.ordinal + 0.5 });
        }
    }),
    "bill lines of a sealed incarnation dropped": pretendApplied(key => key.endsWith("/late")),
    "share returned on suspicion without a seal": pretendApplied(isSeal),
    "transfer credited twice": onHandle(BudgetController, (event, { board }, handle) => {
        handle(event);
        if (event.type === "peerCallDone" && event.outcome.status === "replied") {
            const { reply } = event.outcome;
            const entry = [...board.budget.entries.values()].find(candidate => candidate.receivedTokens > 0);
            if (reply.method === "TransferTokens" && entry !== undefined) {
                entry.receivedTokens += reply.body.givenTokens;
            }
        }
    }),
    "transfer not debited": onHandle(BudgetController, (event, { board }, handle) => {
        const sentTokensBefore = new Map([...board.budget.entries].map(([name, entry]) => [name, entry.sentTokens]));
        handle(event);
        if (event.type === "peerRequestReceived") {
            board.budget.entries.forEach((entry, name) => entry.sentTokens = sentTokensBefore.get(name) ?? 0);
        }
    }),
    "refused although dispatched": onEmit((effect, context) => {
        context.emit(effect);
        if (effect.type === "notify" && effect.notification.type === "reservationDecided") {
            const outcome = { status: "refused" as const, code: "BudgetUnavailable" as const, retryAfterMs: 0 };
            context.emit({ ...effect, notification: { ...effect.notification, outcome } });
        }
    }),
};
