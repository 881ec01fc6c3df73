/** Deliberate faults in claims. A run with one of them must fail; the product has no switches for them. */
import { ClaimSchema, type StoredResponse } from "../../src/features/idempotency/idempotencyTypes.js";
import type { ControllerContext } from "../../src/kernel/controller.js";
import type { RouterEvent } from "../../src/kernel/events.js";
import { type CreateIdempotency, createIdempotency } from "./claimSequence.js";

/** Handles an event in place of the controller; `handle` is the original. */
type HandleReplacement = (event: RouterEvent, handle: (event: RouterEvent) => void) => void;

/** Replaces how the controller handles events. */
function onHandle(createHandle: () => HandleReplacement): CreateIdempotency {
    return context => {
        const controller = createIdempotency(context);
        const original = controller.handle.bind(controller);
        const replacement = createHandle();
        controller.handle = event => replacement(event, original);
        return controller;
    };
}

/** Treats a claim write without a response as applied. */
function assumeApplied(event: RouterEvent, handle: (event: RouterEvent) => void): void {
    const isUnknown = event.type === "storePutDone" && event.owner === "idempotency" &&
        event.outcome.status === "unknown";
    handle(isUnknown ? { ...event, outcome: { status: "applied", version: 1 } } : event);
}

/** Reports a conflict with a running claim as one with a released claim. */
function takeOverRunningClaim(event: RouterEvent, handle: (event: RouterEvent) => void): void {
    if (event.type !== "storePutDone" || event.owner !== "idempotency" || event.outcome.status !== "conflict") {
        handle(event);
        return;
    }
    const { current } = event.outcome;
    const claim = ClaimSchema.safeParse(current?.value);
    const isRunning = claim.success && claim.data.state === "claimed";
    const value = isRunning ? { ...claim.data, state: "released" } : current?.value;
    handle({ ...event, outcome: { status: "conflict", current: current && { ...current, value } } });
}

/** Releases each claim right after it is requested, although the request runs. */
function releaseImmediately(event: RouterEvent, handle: (event: RouterEvent) => void): void {
    handle(event);
    if (event.type === "claimRequested") {
        handle({ type: "claimReleased", claimId: event.claimId, requestId: event.requestId });
    }
}

/** Stores the response of the previous request instead of the current one. */
function swapResponses(): HandleReplacement {
    let previous: StoredResponse | undefined;
    return (event, handle) => {
        if (event.type !== "claimCompleted") {
            handle(event);
            return;
        }
        handle({ ...event, answer: previous ?? event.answer });
        previous = event.answer;
    };
}

/** Drops all events that the controller posts, which are those that cancel duplicate bills. */
function withoutReversals(context: ControllerContext): ReturnType<CreateIdempotency> {
    return createIdempotency({
        ...context,
        emit: effect => {
            if (effect.type !== "postEvent") {
                context.emit(effect);
            }
        },
    });
}

/** The deliberate faults, by name. */
export const ClaimMutations: Readonly<Record<string, CreateIdempotency>> = {
    claimWithoutAnswerCountsAsHeld: onHandle(() => assumeApplied),
    runningClaimIsTakenOver: onHandle(() => takeOverRunningClaim),
    claimIsReleasedAlthoughDispatched: onHandle(() => releaseImmediately),
    answersAreSwapped: onHandle(swapResponses),
    duplicateIsNotReversed: withoutReversals,
};
