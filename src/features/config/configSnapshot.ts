/** Writes snapshots of the configuration, and loads it from the store: the newest snapshot, then the changes after it. */
import { isDeepStrictEqual } from "node:util";
import { Result } from "true-myth";
import { z } from "zod";
import { AbsentVersion, type PlatformStore, type StoredObject } from "../../platform/platformStore.js";
import { type ConfigChange, configChangeKey, ConfigChangePrefix, ConfigChangeSchema } from "./configTypes.js";

/** Number of versions between two snapshots. */
export const SnapshotIntervalVersions = 128;
/** Maximum size of a shard, in bytes of JSON; a single resource that is larger gets a shard of its own. */
export const MaxShardBytes = 256_000;
/** Key of the object that names the newest complete snapshot. */
export const SnapshotIndexKey = "config/snapshot-index";
/** Maximum number of changes that one list call reads. */
const ChangesPerPage = 500;
/** Maximum number of shards that one list call reads. */
const ShardsPerPage = 8;
/** Maximum number of attempts to load a snapshot, because another host may replace and delete it during the read. */
const MaxLoadAttempts = 3;

/** A resource in a snapshot. Kinds of newer releases are accepted and kept. */
export const SnapshotResourceSchema = z.object({ kind: z.string(), name: z.string(), value: z.unknown() });
/** A resource in a snapshot. */
export type SnapshotResource = z.infer<typeof SnapshotResourceSchema>;

/** The object that names the newest complete snapshot. */
const SnapshotIndexSchema = z.object({
    version: z.number().int().positive(),
    shardCount: z.number().int().nonnegative(),
    /** Version of the snapshot before this one; its shards are kept for readers that have already read the old index. */
    previousVersion: z.number().int().nonnegative().default(0),
});
/** One shard of a snapshot. */
const ShardSchema = z.array(SnapshotResourceSchema);

/** A configuration as read from the store. */
export interface LoadedConfiguration {
    readonly version: number;
    readonly resources: readonly SnapshotResource[];
    /** Version of the snapshot that was read; 0 for none. */
    readonly snapshotVersion: number;
}

/** @returns Identifier of a resource that is unique across kinds, `KIND/NAME`. */
export function resourceId(kind: string, name: string): string {
    return `${kind}/${name}`;
}

/** Applies the edits of a change in place. The resources are keyed by {@link resourceId}. */
export function applyChange(resources: Map<string, SnapshotResource>, change: Pick<ConfigChange, "changes">): void {
    for (const { kind, name, after } of change.changes) {
        if (after === undefined || after === null) {
            resources.delete(resourceId(kind, name));
        }
        else {
            resources.set(resourceId(kind, name), { kind, name, value: after });
        }
    }
}

/**
 * Loads the newest configuration that the store returns. Reads may be stale, so that a newer version may exist.
 * @returns The configuration, or the reason why it could not be loaded.
 */
export async function loadConfiguration(store: PlatformStore): Promise<Result<LoadedConfiguration, string>> {
    const snapshot = await loadSnapshot(store);
    if (snapshot.isErr) {
        return Result.err(snapshot.error);
    }
    const changes = await readChanges(store, snapshot.value.version);
    if (changes.isErr) {
        return Result.err(changes.error);
    }
    const resources = new Map(snapshot.value.resources.map(entry => [resourceId(entry.kind, entry.name), entry]));
    for (const change of changes.value) {
        applyChange(resources, change);
    }
    return Result.ok({
        version: changes.value.at(-1)?.version ?? snapshot.value.version,
        resources: [...resources.values()],
        snapshotVersion: snapshot.value.version,
    });
}

/**
 * Reads the change log in pages.
 * @param afterVersion Version before the first one to read.
 * @param lastVersion Last version to read; by default all that exist.
 * @returns Changes with consecutive versions, or the reason of the failure: a failed read, a gap or an invalid change.
 */
export async function readChanges(
    store: PlatformStore,
    afterVersion: number,
    lastVersion = Number.MAX_SAFE_INTEGER,
): Promise<Result<ConfigChange[], string>> {
    const changes: ConfigChange[] = [];
    let version = afterVersion;
    while (version < lastVersion) {
        const limit = Math.min(ChangesPerPage, lastVersion - version);
        const page = await store.list(ConfigChangePrefix, configChangeKey(version), limit);
        if (page.status !== "listed") {
            return Result.err(page.reason);
        }
        for (const object of page.objects) {
            const change = ConfigChangeSchema.safeParse(object.value);
            if (!change.success || change.data.version !== version + 1) {
                return Result.err(`the change log has no valid version ${version + 1}`);
            }
            changes.push(change.data);
            version++;
        }
        if (!page.more) {
            break;
        }
    }
    return Result.ok(changes);
}

/**
 * Writes a snapshot and publishes it as the newest one. Repeated or concurrent calls with the same version are safe,
 * because the shards of a version are always the same.
 * @returns Whether this snapshot or a newer one is complete; `false` after a failed read or write.
 */
export async function writeSnapshot(
    store: PlatformStore,
    version: number,
    resources: readonly SnapshotResource[],
): Promise<boolean> {
    const shards = splitShards(resources);
    for (const [index, shard] of shards.entries()) {
        const outcome = await store.put(shardKey(version, index), shard, AbsentVersion);
        const isStored = outcome.status === "applied" ||
            (outcome.status === "conflict" && isDeepStrictEqual(outcome.current?.value, shard));
        if (!isStored) {
            return false;
        }
    }
    return publishSnapshot(store, version, shards.length);
}

async function publishSnapshot(store: PlatformStore, version: number, shardCount: number): Promise<boolean> {
    const read = await store.get(SnapshotIndexKey);
    if (read.status === "unavailable") {
        return false;
    }
    const current = read.status === "found" ? SnapshotIndexSchema.safeParse(read.object.value) : undefined;
    const previousVersion = current?.success === true ? current.data.version : 0;
    if (previousVersion >= version) {
        return true;
    }
    const value = { version, shardCount, previousVersion };
    const storeVersion = read.status === "found" ? read.object.version : AbsentVersion;
    const outcome = await store.put(SnapshotIndexKey, value, storeVersion);
    if (outcome.status === "applied" && current?.success === true && current.data.previousVersion > 0) {
        await deleteSnapshot(store, current.data.previousVersion);
    }
    return outcome.status === "applied";
}

async function deleteSnapshot(store: PlatformStore, version: number): Promise<void> {
    const page = await store.list(shardPrefix(version), "", ShardsPerPage * 64);
    for (const object of page.status === "listed" ? page.objects : []) {
        await store.delete(object.key, object.version);
    }
}

/** A version of the configuration with its resources. */
export type LoadedSnapshot = Pick<LoadedConfiguration, "version" | "resources">;

/** @returns The newest complete snapshot, with version 0 if there is none, or the reason why it could not be loaded. */
export async function loadSnapshot(store: PlatformStore): Promise<Result<LoadedSnapshot, string>> {
    for (let attempt = 0; attempt < MaxLoadAttempts; attempt++) {
        const read = await store.get(SnapshotIndexKey);
        if (read.status === "unavailable") {
            return Result.err(read.reason);
        }
        if (read.status === "absent") {
            return Result.ok({ version: 0, resources: [] });
        }
        const index = SnapshotIndexSchema.safeParse(read.object.value);
        if (!index.success) {
            return Result.err("the snapshot index is invalid");
        }
        const shards = await readShards(store, index.data.version);
        if (shards.isErr) {
            return Result.err(shards.error);
        }
        if (shards.value.length === index.data.shardCount) {
            return Result.ok({ version: index.data.version, resources: shards.value.flat() });
        }
    }
    return Result.err("the snapshot is incomplete");
}

async function readShards(store: PlatformStore, version: number): Promise<Result<SnapshotResource[][], string>> {
    const shards: SnapshotResource[][] = [];
    let lastKey = "";
    for (let more = true; more;) {
        const page = await store.list(shardPrefix(version), lastKey, ShardsPerPage);
        if (page.status !== "listed") {
            return Result.err(page.reason);
        }
        for (const object of page.objects) {
            const shard = ShardSchema.safeParse(object.value);
            if (!shard.success) {
                return Result.err(`the snapshot shard ${object.key} is invalid`);
            }
            shards.push(shard.data);
        }
        lastKey = (page.objects.at(-1) as StoredObject | undefined)?.key ?? lastKey;
        more = page.more;
    }
    return Result.ok(shards);
}

/** @returns The resources sorted and divided into shards. The same resources always give the same shards. */
function splitShards(resources: readonly SnapshotResource[]): SnapshotResource[][] {
    const sorted = [...resources].sort((a, b) => resourceId(a.kind, a.name) < resourceId(b.kind, b.name) ? -1 : 1);
    const shards: SnapshotResource[][] = [];
    let shardBytes = MaxShardBytes;
    for (const resource of sorted) {
        const bytes = Buffer.byteLength(JSON.stringify(resource)) + 1;
        if (shardBytes + bytes > MaxShardBytes) {
            shards.push([]);
            shardBytes = 2;
        }
        shards.at(-1)!.push(resource);
        shardBytes += bytes;
    }
    return shards;
}

function shardPrefix(version: number): string {
    return `config/snapshot/${String(version).padStart(10, "0")}/`;
}

function shardKey(version: number, shard: number): string {
    return `${shardPrefix(version)}${String(shard).padStart(5, "0")}`;
}
