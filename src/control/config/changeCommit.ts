/** Commits edits to the change log. Each version is one create-if-absent write, with rebase and conflict detection. */
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { ExitCodes } from "../../base/exitCodes.js";
import {
    loadConfiguration,
    type LoadedConfiguration,
    readChanges,
    SnapshotIntervalVersions,
    writeSnapshot,
} from "../../features/config/configSnapshot.js";
import {
    type ConfigChange,
    configChangeKey,
    ConfigChangeSchema,
    type ResourceEdit,
} from "../../features/config/configTypes.js";
import { AbsentVersion, type StoredObject } from "../../platform/platformStore.js";
import { type CommandFailure, fail, storeUnavailable } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { putWithRetries, readCurrent } from "../storeAccess.js";
import { editOf, ResourceSet } from "./resourceSet.js";
import { findNewErrors, formatProblem, validateResources } from "./validation.js";

/** Maximum size of a change, in bytes of JSON. Routers send changes to each other in messages of at most 256 KB. */
export const MaxChangeBytes = 200_000;
/** Versions after which a missing snapshot is written by another commit, in case the tool that was to write it stopped. */
const SnapshotDelayVersions = 16;

/** A request to edit the configuration. */
export interface EditRequest {
    /** Id that stays the same when the command is repeated. */
    readonly operationId: string;
    /** Whether the operation may have been sent before; if so, the change log is searched for it. */
    readonly mayHaveBeenSent: boolean;
    readonly message: string;
    /** @returns The edits to make to the given resources, which are those of `version`. */
    readonly plan: (set: ResourceSet, version: number) => Result<ResourceEdit[], CommandFailure>;
}

/** Result of a commit. `repeated`: an earlier run of the operation committed it. `unchanged`: no edit had an effect. */
export interface CommitResult {
    readonly status: "committed" | "repeated" | "unchanged";
    /** Version that contains the edits; the current version if nothing changed. */
    readonly version: number;
    readonly edits: readonly ResourceEdit[];
}

/** A resource that two operators changed: the common base and the value of each side; `null` if there is none. */
export interface EditConflict {
    readonly kind: string;
    readonly name: string;
    readonly base: unknown;
    readonly mine: unknown;
    readonly theirs: unknown;
    readonly theirVersion: number;
    readonly theirAuthor: string;
}

/** Loads the newest configuration; fails with {@link ExitCodes.StoreUnavailable} if the store cannot be read. */
export async function loadResourceSet(
    context: ControlContext,
): Promise<Result<{ readonly set: ResourceSet; readonly loaded: LoadedConfiguration; }, CommandFailure>> {
    const loaded = await loadConfiguration(context.store);
    return loaded.isErr ?
        storeUnavailable(loaded.error) :
        Result.ok({ set: ResourceSet.of(loaded.value), loaded: loaded.value });
}

/**
 * Commits edits as a new version. An operation that was already committed is found by its id and is not committed again.
 * Fails if the edits are invalid, conflict with changes of others, or the store is unavailable.
 */
export async function commitEdits(
    context: ControlContext,
    request: EditRequest,
): Promise<Result<CommitResult, CommandFailure>> {
    const base = await loadResourceSet(context);
    if (base.isErr) {
        return Result.err(base.error);
    }
    const { set } = base.value;
    let { loaded } = base.value;
    if (request.mayHaveBeenSent) {
        const earlier = await findOperation(context, request.operationId, loaded.version);
        if (earlier.isErr || earlier.value !== undefined) {
            return earlier.map(change => createRepeatedResult(change!));
        }
        const newer = await readUnlistedChanges(context, loaded.version);
        if (newer.isErr) {
            return Result.err(newer.error);
        }
        const own = newer.value.find(change => change.operationId === request.operationId);
        if (own !== undefined) {
            return Result.ok(createRepeatedResult(own));
        }
        newer.value.forEach(change => set.applyChange(change));
        loaded = { ...loaded, version: newer.value.at(-1)?.version ?? loaded.version };
    }
    const edits = request.plan(set, loaded.version);
    return edits.isErr ?
        Result.err(edits.error) :
        new ChangeCommitter(context, request, set, loaded).commit(edits.value);
}

/** @returns The accepted change of an operation, searched from `lastVersion` backwards; `undefined` if there is none. */
async function findOperation(
    context: ControlContext,
    operationId: string,
    lastVersion: number,
): Promise<Result<ConfigChange | undefined, CommandFailure>> {
    const pageVersions = 500;
    for (let end = lastVersion; end > 0; end -= pageVersions) {
        const start = Math.max(0, end - pageVersions);
        const listed = await readChanges(context.store, start, end);
        if (listed.isErr) {
            return storeUnavailable(listed.error);
        }
        // This listing may be staler than the one that contained `lastVersion`.
        const lastListed = listed.value.at(-1)?.version ?? start;
        const unlisted = lastListed < end ?
            await readUnlistedChanges(context, lastListed) :
            Result.ok<ConfigChange[]>([]);
        if (unlisted.isErr) {
            return Result.err(unlisted.error);
        }
        const found = [...listed.value, ...unlisted.value].find(change => change.operationId === operationId);
        if (found !== undefined) {
            return Result.ok(found);
        }
    }
    return Result.ok(undefined);
}

/** Reads versions that a stale listing did not contain. An operation among them must not be planned again. */
async function readUnlistedChanges(
    context: ControlContext,
    afterVersion: number,
): Promise<Result<ConfigChange[], CommandFailure>> {
    const changes: ConfigChange[] = [];
    for (let version = afterVersion + 1;; version++) {
        const current = await readCurrent(context, configChangeKey(version));
        if (current.isErr) {
            return Result.err(current.error);
        }
        const change = current.value === undefined ? undefined : parseChange(current.value);
        if (change === undefined) {
            return Result.ok(changes);
        }
        changes.push(change);
    }
}

/** Commits the edits of one request, rebasing them while other operators commit versions first. */
class ChangeCommitter {
    readonly #context: ControlContext;
    readonly #request: EditRequest;
    readonly #set: ResourceSet;
    readonly #snapshotVersion: number;
    #version: number;

    constructor(context: ControlContext, request: EditRequest, set: ResourceSet, loaded: LoadedConfiguration) {
        this.#context = context;
        this.#request = request;
        this.#set = set;
        this.#version = loaded.version;
        this.#snapshotVersion = loaded.snapshotVersion;
    }

    async commit(planned: readonly ResourceEdit[]): Promise<Result<CommitResult, CommandFailure>> {
        let edits = planned;
        for (;;) {
            // `edits` keeps those without an effect, because a rebase must detect when others change their resources.
            const effective = edits.filter(edit => !isDeepStrictEqual(edit.before, edit.after));
            if (effective.length === 0) {
                return Result.ok({ status: "unchanged", version: this.#version, edits: effective });
            }
            const change = this.#createChange(effective);
            const refusal = this.#findRefusal(change);
            if (refusal !== undefined) {
                return Result.err(refusal);
            }
            const key = configChangeKey(change.version);
            const written = await putWithRetries(
                this.#context,
                key,
                change,
                AbsentVersion,
                current => parseChange(current)?.operationId === change.operationId,
            );
            if (written.status === "applied") {
                return this.#finish(change);
            }
            if (written.status === "unavailable") {
                const state = written.mayApply ?
                    "may still take effect; repeat it with" :
                    "was not applied; repeat it with";
                const message = `${written.reason}; the change ${state} --operation-id ${change.operationId}`;
                return fail(ExitCodes.StoreUnavailable, message);
            }
            const rebased = await this.#rebase(edits, written.current);
            if (rebased.isErr) {
                return Result.err(rebased.error);
            }
            if (!Array.isArray(rebased.value)) {
                return Result.ok(createRepeatedResult(rebased.value as ConfigChange));
            }
            edits = rebased.value;
        }
    }

    #createChange(edits: readonly ResourceEdit[]): ConfigChange {
        return {
            version: this.#version + 1,
            author: this.#context.author,
            operationId: this.#request.operationId,
            message: this.#request.message,
            atMs: this.#context.clock.wallMs(),
            changes: [...edits],
        };
    }

    #findRefusal(change: ConfigChange): CommandFailure | undefined {
        const bytes = Buffer.byteLength(JSON.stringify(change));
        if (bytes > MaxChangeBytes) {
            const message = `the change has ${bytes} bytes, the limit is ${MaxChangeBytes}; use --split`;
            return { exitCode: ExitCodes.Failed, message };
        }
        const problems = findNewErrors(
            validateResources(this.#set),
            validateResources(this.#set.withEdits(change.changes)),
        );
        if (problems.length > 0) {
            const message = `the change is refused:\n${problems.map(formatProblem).join("\n")}`;
            return { exitCode: ExitCodes.Failed, message, details: problems };
        }
        return undefined;
    }

    async #finish(change: ConfigChange): Promise<Result<CommitResult, CommandFailure>> {
        this.#set.applyChange(change);
        const age = change.version - this.#snapshotVersion;
        if (
            change.version % SnapshotIntervalVersions === 0 || age >= SnapshotIntervalVersions + SnapshotDelayVersions
        ) {
            await writeSnapshot(this.#context.store, change.version, this.#set.list());
        }
        return Result.ok({ status: "committed", version: change.version, edits: change.changes });
    }

    /**
     * Rebases the edits onto the versions that others committed in the meantime.
     * @returns The rebased edits, or the change that already contains this operation.
     */
    async #rebase(
        edits: readonly ResourceEdit[],
        current: StoredObject | undefined,
    ): Promise<Result<ResourceEdit[] | ConfigChange, CommandFailure>> {
        // The winning change comes from the conflict itself, because a listing may be too stale to contain it.
        const winner = current === undefined ? undefined : parseChange(current);
        if (winner === undefined || winner.version !== this.#version + 1) {
            return storeUnavailable(`the change log has no valid version ${this.#version + 1}`);
        }
        const later = await readChanges(this.#context.store, winner.version);
        const changes = [winner, ...later.isOk ? later.value : []];
        const own = changes.find(change => change.operationId === this.#request.operationId);
        if (own !== undefined) {
            return Result.ok(own);
        }
        changes.forEach(change => this.#set.applyChange(change));
        this.#version = changes.at(-1)!.version;
        const conflicts = edits.flatMap(edit => this.#findConflict(edit, changes));
        if (conflicts.length === 0) {
            return Result.ok(edits.map(({ kind, name, after }) => editOf(this.#set, kind, name, after)));
        }
        const names = conflicts.map(conflict => `${conflict.kind}/${conflict.name}`).join(", ");
        const { theirVersion, theirAuthor } = conflicts[0]!;
        const message = `version ${theirVersion} by ${theirAuthor} also changed ${names}`;
        return fail(ExitCodes.Conflict, message, conflicts);
    }

    /** Compares only with the newest value, because another operator's equal edit may have been reverted since. */
    #findConflict(edit: ResourceEdit, changes: readonly ConfigChange[]): EditConflict[] {
        const { kind, name } = edit;
        const theirs = this.#set.get(kind, name);
        const last = changes.findLast(change =>
            change.changes.some(other => other.kind === kind && other.name === name)
        );
        if (last === undefined || [edit.before, edit.after].some(side => isDeepStrictEqual(theirs, side))) {
            return [];
        }
        return [{
            kind,
            name,
            base: edit.before ?? null,
            mine: edit.after ?? null,
            theirs: theirs ?? null,
            theirVersion: last.version,
            theirAuthor: last.author,
        }];
    }
}

function createRepeatedResult(change: ConfigChange): CommitResult {
    return { status: "repeated", version: change.version, edits: change.changes };
}

function parseChange(object: StoredObject): ConfigChange | undefined {
    const parsed = ConfigChangeSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}
