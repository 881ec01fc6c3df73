/** Requests configuration versions that are known to exist but have not arrived, from peers and from the store. */
import type { ControllerContext } from "../../kernel/controller.js";
import type { ConfigSettings } from "./configSettings.js";
import { configChangeKey, ConfigChangePrefix } from "./configTypes.js";

/** Maximum number of changes that one list call reads from the store. */
const PullLimit = 64;

/** Time after which a pull without a result counts as failed. */
const PullTimeoutMs = 10_000;

/** The pull in progress. */
interface Pull {
    readonly callId: string;
    readonly startedMs: number;
}

/**
 * Pulls missing configuration changes, one call at a time. After a failure it alternates between a peer and the store and
 * backs off exponentially. It also checks the store for newer versions at regular intervals.
 */
export class ChangePuller {
    readonly #context: ControllerContext;
    readonly #settings: ConfigSettings;
    #pull: Pull | undefined;
    #callCount = 0;
    #failureCount = 0;
    /** Monotonic time at which the next pull starts; `undefined` while no version is missing. */
    #nextPullMs: number | undefined;
    #nextStoreCheckMs: number;

    constructor(context: ControllerContext, settings: ConfigSettings) {
        this.#context = context;
        this.#settings = settings;
        this.#nextStoreCheckMs = this.#now() + this.#addJitter(settings.confirmIntervalMs);
    }

    /** Starts the next pull or store check if it is due and no pull is in progress. Call on every tick. */
    startDuePull(): void {
        const now = this.#now();
        if (this.#pull !== undefined) {
            if (now < this.#pull.startedMs + PullTimeoutMs) {
                return;
            }
            this.finishPull(this.#pull.callId, false);
        }
        const { config } = this.#context.board;
        if (config.floorVersion <= config.version) {
            this.#nextPullMs = undefined;
            this.#failureCount = 0;
            this.#checkStoreIfDue(now);
            return;
        }
        this.#nextPullMs ??= now + this.#addJitter(this.#settings.pullDelayMs);
        if (now >= this.#nextPullMs) {
            this.#startPull(now);
        }
    }

    /**
     * Records the end of a pull and schedules the next one. Has no effect if the call is not the pull in progress.
     * @param progressed Whether the pull brought a newer version into force; if not, the next pull is delayed.
     */
    finishPull(callId: string, progressed: boolean): void {
        if (this.#pull?.callId !== callId) {
            return;
        }
        this.#pull = undefined;
        this.#failureCount = progressed ? 0 : this.#failureCount + 1;
        const delayMs = progressed ? 0 : this.#settings.pullDelayMs * 2 ** Math.min(this.#failureCount - 1, 10);
        this.#nextPullMs = this.#now() + this.#addJitter(Math.min(delayMs, this.#settings.pullMaxDelayMs));
    }

    /** @returns The pull in progress, the number of successive failures and the time of the next pull, for the state dump. */
    dumpState(): unknown {
        return { pull: this.#pull, failureCount: this.#failureCount, dueMs: this.#nextPullMs };
    }

    #startPull(now: number): void {
        const { config } = this.#context.board;
        const address = this.#failureCount % 2 === 0 ? this.#choosePeerAddress(config.version) : undefined;
        if (address === undefined) {
            this.#listStore(now);
            return;
        }
        const callId = this.#registerPull(now);
        this.#context.counters.add("config.peerPulls");
        this.#context.emit({
            type: "peerCall",
            owner: "config",
            callId,
            address,
            request: { method: "ConfigChanges", body: { afterVersion: config.version } },
            timeoutMs: this.#settings.peerTimeoutMs,
        });
    }

    #checkStoreIfDue(now: number): void {
        if (now >= this.#nextStoreCheckMs) {
            this.#nextStoreCheckMs = now + this.#addJitter(this.#settings.confirmIntervalMs);
            this.#listStore(now);
        }
    }

    #listStore(now: number): void {
        const callId = this.#registerPull(now);
        this.#context.counters.add("config.storePulls");
        this.#context.emit({
            type: "storeList",
            owner: "config",
            callId,
            prefix: ConfigChangePrefix,
            afterKey: configChangeKey(this.#context.board.config.version),
            limit: PullLimit,
        });
    }

    #registerPull(now: number): string {
        this.#callCount++;
        this.#pull = { callId: `pull/${this.#callCount}`, startedMs: now };
        return this.#pull.callId;
    }

    #choosePeerAddress(version: number): string | undefined {
        const addresses: string[] = [];
        for (const member of this.#context.board.membership.members.values()) {
            const isReachable = member.state === "live" || member.state === "leaving";
            if (isReachable && member.configVersion > version && member.peerAddress !== "") {
                addresses.push(member.peerAddress);
            }
        }
        return addresses.length === 0 ? undefined : addresses[this.#context.random.integer(addresses.length)];
    }

    #addJitter(delayMs: number): number {
        return delayMs * (0.5 + this.#context.random.next());
    }

    #now(): number {
        return this.#context.clock.monotonicMs();
    }
}
