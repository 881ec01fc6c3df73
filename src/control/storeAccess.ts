/** Store access of commands: listing a prefix in pages, reading current objects, and writes with retries. */
import { Result } from "true-myth";
import type { StoredObject } from "../platform/platformStore.js";
import { type CommandFailure, storeUnavailable } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";

/** Objects per page of a listing. */
const PageSize = 500;
const RetryPauseMs = 200;

/** Reads all objects whose keys start with a prefix, page by page. */
export async function listAll(
    context: Pick<ControlContext, "store">,
    prefix: string,
): Promise<Result<StoredObject[], CommandFailure>> {
    const objects: StoredObject[] = [];
    for (let hasMore = true; hasMore;) {
        const page = await context.store.list(prefix, objects.at(-1)?.key ?? "", PageSize);
        if (page.status !== "listed") {
            return storeUnavailable(page.reason);
        }
        objects.push(...page.objects);
        hasMore = page.more && page.objects.length > 0;
    }
    return Result.ok(objects);
}

/** A version that no object ever has, so that a write expecting it always conflicts. */
const ImpossibleVersion = Number.MAX_SAFE_INTEGER;

/**
 * Reads the current version of an object. Plain reads may be stale, but a conflicting write returns the current object;
 * this function attempts a write that always conflicts.
 * @returns The object, `undefined` if it does not exist, or a failure if the store stays unavailable for `retryMs`.
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

/** Outcome of a write that was retried until the outcome was known, or until `retryMs` was over. */
export type RetriedWriteOutcome =
    | { readonly status: "applied"; }
    | { readonly status: "conflict"; readonly current: StoredObject | undefined; }
    | {
        readonly status: "unavailable";
        readonly reason: string;
        /** Whether one of the attempts may still take effect, because its outcome is unknown. */
        readonly mayApply: boolean;
    };

/**
 * Writes an object and retries with the same expected version while the write is refused or its outcome is unknown. The
 * write cannot take effect twice, because the first effect changes the version.
 * @param isOwn Whether a conflicting object already contains this write, which then counts as applied.
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
