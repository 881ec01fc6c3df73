/** Creates a configuration of the target size and writes it through the usual interface of the store. */
import { sha256Hex } from "../base/hashing.js";
import { loadConfiguration, type SnapshotResource, writeSnapshot } from "../features/config/configSnapshot.js";
import { configChangeKey } from "../features/config/configTypes.js";
import { AbsentVersion, type PlatformStore } from "../platform/platformStore.js";

/** Number of resources of each kind. */
export interface ConfigurationSize {
    readonly budgets: number;
    readonly teams: number;
    readonly upstreams: number;
}

/** Number of resources of the target in docs/design.md, section 1.5. */
export const TargetSize = { budgets: 41_000, teams: 11_000 } as const;

const Models = ["m1", "m2", "m3", "m4", "m5", "m6"] as const;

/** Maximum number of resources in one change; a change must stay below 1 MB. */
const ResourcesPerChange = 2_000;

/** @returns Teams with one key each, budgets that are distributed evenly over the teams, upstreams and one rule. */
export function createResources(size: ConfigurationSize, upstreamUrl: string): SnapshotResource[] {
    const teams = range(size.teams).map(index => ({
        kind: "Team",
        name: `team-${index}`,
        value: { labels: { team: `team-${index}`, tier: `tier-${index % 5}` }, keyHashes: [sha256Hex(`key-${index}`)] },
    }));
    const budgets = range(size.budgets).map(index => ({
        kind: "Budget",
        name: `budget-${index}`,
        value: { labels: {}, teams: { matchLabels: { team: `team-${index % TargetSize.teams}` } } },
    }));
    const upstreams = range(size.upstreams).map(index => ({
        kind: "Upstream",
        name: `worker-${index}`,
        value: { labels: { pool: "engines" }, url: upstreamUrl, models: Models, slots: 4, zone: `r1-z${index % 5}` },
    }));
    const rule = { kind: "Rule", name: "all", value: { upstreams: { matchLabels: { pool: "engines" } } } };
    return [...teams, ...budgets, ...upstreams, rule];
}

/** Writes the resources as changes and as a snapshot. Throws when the store does not apply a write. */
export async function writeConfiguration(store: PlatformStore, resources: readonly SnapshotResource[]): Promise<void> {
    let version = 0;
    for (let start = 0; start < resources.length; start += ResourcesPerChange) {
        version++;
        const edits = resources.slice(start, start + ResourcesPerChange)
            .map(({ kind, name, value }) => ({ kind, name, after: value }));
        await commitChange(store, version, edits);
    }
    if (!await writeSnapshot(store, version, resources)) {
        throw new Error("the snapshot could not be written");
    }
}

/**
 * Changes one team in the way of an operator. Throws when the store does not apply the write.
 * @returns The new configuration version.
 */
export async function changeOneTeam(store: PlatformStore): Promise<number> {
    const loaded = await loadConfiguration(store);
    if (loaded.isErr) {
        throw new Error(loaded.error);
    }
    const version = loaded.value.version + 1;
    const after = { labels: { team: "team-0", changedIn: String(version) }, keyHashes: [sha256Hex("key-0")] };
    await commitChange(store, version, [{ kind: "Team", name: "team-0", after }]);
    return version;
}

async function commitChange(store: PlatformStore, version: number, changes: readonly object[]): Promise<void> {
    const metadata = { author: "capacity", operationId: `capacity-${version}`, message: "", atMs: Date.now() };
    const outcome = await store.put(configChangeKey(version), { version, ...metadata, changes }, AbsentVersion);
    if (outcome.status !== "applied") {
        throw new Error(`configuration ${version} was not written: ${outcome.status}`);
    }
}

function range(length: number): number[] {
    return Array.from({ length }, (_, index) => index);
}
