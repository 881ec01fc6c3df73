/** Applies configuration changes in the order of their versions, pulls missing ones and sends them to peers that ask. */
import { log } from "../../base/log.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { extractDigest } from "../membership/extractDigest.js";
import type { Digest } from "../membership/membershipTypes.js";
import { ChangePuller } from "./changePuller.js";
import type { ConfigSnapshot } from "./configEvents.js";
import type { ConfigSettings } from "./configSettings.js";
import { type ReceivedChange, ReceivedChangeSchema } from "./configTypes.js";
import { RecentChangeCache } from "./recentChangeCache.js";
import { ResourceTable, type ResourceUpdate } from "./resourceTable.js";

/** Maximum number of received changes that wait for an earlier version. Changes beyond it are dropped and pulled later. */
const MaxPendingChanges = 2_048;

/**
 * Writes the config section of the board: loads snapshots, applies changes without gaps, and decides when the version counts
 * as confirmed. The version in force never decreases.
 */
export class ConfigController extends Controller {
    override readonly name = "config";
    readonly #settings: ConfigSettings;
    readonly #recentChanges: RecentChangeCache;
    readonly #puller: ChangePuller;
    /** Received changes above the version in force, by version. */
    readonly #pendingChanges = new Map<number, ReceivedChange>();
    /** Hosts that have sent their version since the start; cleared when the configuration is confirmed. */
    readonly #reportingHostIds = new Set<string>();
    #table = ResourceTable.createEmpty();
    #hostsListed = false;
    #storeReadMs: number | undefined;

    constructor(context: ControllerContext, settings: ConfigSettings) {
        super(context);
        this.#settings = settings;
        this.#recentChanges = new RecentChangeCache(settings);
        this.#puller = new ChangePuller(context, settings);
        context.board.config.resources = this.#table.resources;
        context.board.config.teamByKeyHash = this.#table.teamByKeyHash;
    }

    override handle(event: RouterEvent): void {
        const digest = extractDigest(event);
        if (digest !== undefined) {
            this.#processDigest(digest);
        }
        if (event.type === "configChangesReceived") {
            this.#receiveChanges(event.changes, event.fromStore);
        }
        else if (event.type === "configSnapshotLoaded") {
            this.#loadSnapshot(event.snapshot);
        }
        else if (event.type === "configVersionSeen") {
            this.#raiseFloor(event.version);
        }
        else if (event.type === "hostsListed") {
            this.#hostsListed ||= event.outcome.status !== "unavailable";
        }
        else if (event.type === "peerRequestReceived" && event.request.method === "ConfigChanges") {
            const changes = this.#recentChanges.changesAfter(event.request.body.afterVersion);
            const reply = { method: "ConfigChanges", body: { changes } } as const;
            this.context.emit({ type: "peerReply", exchangeId: event.exchangeId, reply });
        }
        else if (event.type === "peerCallDone" && event.owner === "config") {
            const { outcome } = event;
            const isReply = outcome.status === "replied" && outcome.reply.method === "ConfigChanges";
            this.#finishPull(event.callId, isReply ? outcome.reply.body.changes : undefined, false);
        }
        else if (event.type === "storeListDone" && event.owner === "config") {
            const values = event.outcome.status === "listed" ?
                event.outcome.objects.map(object => object.value) :
                undefined;
            this.#finishPull(event.callId, values === undefined ? undefined : this.#readChanges(values), true);
        }
        else if (event.type === "tick") {
            this.#puller.startDuePull();
        }
        this.#updateConfirmed();
    }

    override dumpState(): unknown {
        return {
            pendingVersions: [...this.#pendingChanges.keys()],
            keptChanges: this.#recentChanges.length,
            heardHosts: [...this.#reportingHostIds],
            pull: this.#puller.dumpState(),
        };
    }

    #processDigest(digest: Digest): void {
        this.#raiseFloor(Math.max(digest.self.configVersion, digest.floorVersion ?? 0));
        if (!this.context.board.config.confirmed) {
            this.#reportingHostIds.add(digest.self.hostId);
        }
    }

    #raiseFloor(version: number): void {
        const { config } = this.context.board;
        config.floorVersion = Math.max(config.floorVersion, version);
    }

    #readChanges(values: readonly unknown[]): ReceivedChange[] {
        const changes: ReceivedChange[] = [];
        for (const value of values) {
            const parsed = ReceivedChangeSchema.safeParse(value);
            if (parsed.success) {
                changes.push(parsed.data);
            }
            else {
                this.context.counters.add("config.unreadableChanges");
            }
        }
        return changes;
    }

    #finishPull(callId: string, changes: readonly ReceivedChange[] | undefined, fromStore: boolean): void {
        const versionBefore = this.context.board.config.version;
        if (changes !== undefined) {
            this.#receiveChanges(changes, fromStore);
        }
        this.#puller.finishPull(callId, this.context.board.config.version > versionBefore);
    }

    #receiveChanges(changes: readonly ReceivedChange[], fromStore: boolean): void {
        const { config } = this.context.board;
        for (const change of changes) {
            this.#raiseFloor(change.version);
            const canStore = this.#pendingChanges.size < MaxPendingChanges || change.version === config.version + 1;
            if (change.version > config.version && canStore) {
                this.#pendingChanges.set(change.version, change);
            }
        }
        if (fromStore) {
            this.#storeReadMs ??= this.context.clock.monotonicMs();
        }
        this.#applyPending();
    }

    #applyPending(): void {
        const { config } = this.context.board;
        const versionBefore = config.version;
        for (
            let change = this.#pendingChanges.get(config.version + 1);
            change !== undefined;
            change = this.#pendingChanges.get(config.version + 1)
        ) {
            this.#pendingChanges.delete(change.version);
            const values = change.changes.map(({ kind, name, after }) => ({ kind, name, value: after }));
            this.#putInForce(this.#table, values, change.version);
            this.#recentChanges.add(change);
        }
        if (config.version > versionBefore) {
            this.context.counters.set("config.version", config.version);
            log.debug("configuration in force", { version: config.version });
        }
    }

    #loadSnapshot(snapshot: ConfigSnapshot): void {
        this.#raiseFloor(snapshot.version);
        if (snapshot.version <= this.context.board.config.version) {
            return;
        }
        this.#putInForce(ResourceTable.createEmpty(), snapshot.resources, snapshot.version);
        this.#recentChanges.clear();
        for (const version of [...this.#pendingChanges.keys()].filter(version => version <= snapshot.version)) {
            this.#pendingChanges.delete(version);
        }
        this.#applyPending();
    }

    /** Replaces the references on the board at once, so that readers that hold the old ones keep a complete version. */
    #putInForce(base: ResourceTable, values: readonly ResourceUpdate[], version: number): void {
        const { table, unreadableCount } = base.withUpdates(values);
        const { config } = this.context.board;
        this.#table = table;
        config.resources = table.resources;
        config.teamByKeyHash = table.teamByKeyHash;
        config.version = version;
        if (unreadableCount > 0) {
            this.context.counters.add("config.unreadableResources", unreadableCount);
            log.warn("configuration contains values that this release cannot read", { version, unreadableCount });
        }
    }

    /**
     * Updates whether the configuration is confirmed. A store read may be stale, so that the configuration counts as
     * confirmed only when some peers have sent their versions too, or when the grace period for them is over.
     */
    #updateConfirmed(): void {
        const { config, membership } = this.context.board;
        if (config.confirmed) {
            return;
        }
        const peerCount = [...membership.members.values()].filter(member => member.state === "live").length;
        const hasEnoughPeers = this.#reportingHostIds.size >= Math.min(this.#settings.confirmingPeers, peerCount);
        if (this.#storeReadMs === undefined) {
            const isConfirmedByPeers = hasEnoughPeers && this.#reportingHostIds.size > 0 &&
                this.#settings.confirmingPeers > 0;
            config.confirmed = isConfirmedByPeers && config.version > 0 && config.version >= config.floorVersion;
            return;
        }
        const isGracePeriodOver = this.context.clock.monotonicMs() >= this.#storeReadMs + this.#settings.confirmGraceMs;
        config.confirmed = (this.#hostsListed && hasEnoughPeers) || isGracePeriodOver;
        if (config.confirmed) {
            this.#reportingHostIds.clear();
        }
    }
}
