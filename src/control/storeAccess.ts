/** Reading whole prefixes, and writes that are repeated until their outcome is known. */
import { Result } from "true-myth";
import type { StoredObject } from "../platform/platformStore.js";
import { type CommandFailure, storeUnavailable } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";

const PageSize = 500;
const RetryPauseMs = 200;

/** Reads all objects below a prefix, in pages. */
export async function listAll(
    context: Pick<ControlContext, "store">,
    prefix: string,
): Promise<Result<StoredObject[], CommandFailure>> {
    const objects: StoredObject[] = [];
    for (let more = true; more;) {
        const page = await context.store.list(prefix, objects.at(-1)?.key ?? "", PageSize);
        if (page.status !== "listed") {
            return storeUnavailable(page.reason);
        }
        objects.push(...page.objects);
        more = page.more && page.objects.length > 0;
    }
    return Result.ok(objects);
}

/** A version that no object ever has. */
const ImpossibleVersion = Number.MAX_SAFE_INTEGER;

/**
 * Reads an object as it is now. Plain reads may be stale; a write that can only conflict shows the current object.
 * @returns The object, `undefined` when it is absent, or a failure.
 */
export async function readCurrent(
    context: ControlContext,
    key: string,
): Promise<Result<StoredObject | undefined, CommandFailure>> {
    const deadlineMs = context.clock.monotonicMs() + context.retryMs;
    for (;;) {
        const outcome = await context.store.put(key, {}, ImpossibleVersion);
        if (outcome.status === "conflict") {
            return Result.ok(outcome.current);
        }
        if (outcome.status === "applied" || context.clock.monotonicMs() >= deadlineMs) {
            return storeUnavailable(outcome.status === "applied" ? "a version check failed" : outcome.reason);
        }
        await context.sleep(RetryPauseMs);
    }
}

/** Outcome of a write that was repeated until it was known, or until the time was up. */
export type RetriedWriteOutcome =
    | { readonly status: "applied"; }
    | { readonly status: "conflict"; readonly current: StoredObject | undefined; }
    | {
        readonly status: "unavailable";
        readonly reason: string;
        /** Whether one of the attempts may still take effect. */
        readonly mayApply: boolean;
    };

/**
 * Repeats a write with the same expected version while it is refused or its outcome is unknown. A repetition cannot
 * take effect twice, because the first effect changes the version.
 * @param isOwn Whether a conflicting object already contains this write.
 */
export async function putWithRetries(
    context: ControlContext,
    key: string,
    value: unknown,
    expectedVersion: number,
    isOwn: (current: StoredObject) => boolean,
): Promise<RetriedWriteOutcome> {
    const deadlineMs = context.clock.monotonicMs() + context.retryMs;
    let mayApply = false;
    for (;;) {
        const outcome = await context.store.put(key, value, expectedVersion);
        if (outcome.status === "applied") {
            return { status: "applied" };
        }
        if (outcome.status === "conflict") {
            const { current } = outcome;
            return current !== undefined && isOwn(current) ? { status: "applied" } : { status: "conflict", current };
        }
        mayApply ||= outcome.status === "unknown";
        if (context.clock.monotonicMs() >= deadlineMs) {
            return { status: "unavailable", reason: outcome.reason, mayApply };
        }
        await context.sleep(RetryPauseMs);
    }
}
