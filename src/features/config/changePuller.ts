/** Asks peers and the store for configuration versions that are known to exist but have not arrived. */
import type { ControllerContext } from "../../kernel/controller.js";
import type { ConfigSettings } from "./configSettings.js";
import { configChangeKey, ConfigChangePrefix } from "./configTypes.js";

/** Largest number of changes read from the store at once. */
const PullLimit = 64;

/** Time after which an unanswered pull counts as failed. */
const PullExpiryMs = 10_000;

interface Pull {
    readonly callId: string;
    readonly startedMs: number;
}

/** Sends one pull at a time, to a peer and to the store by turns, with a growing wait after failures. */
export class ChangePuller {
    readonly #context: ControllerContext;
    readonly #settings: ConfigSettings;
    #pull: Pull | undefined;
    #callCount = 0;
    #failureCount = 0;
    /** Start of the next pull; `undefined` while nothing is missing. */
    #dueMs: number | undefined;
    #nextConfirmMs: number;

    constructor(context: ControllerContext, settings: ConfigSettings) {
        this.#context = context;
        this.#settings = settings;
        this.#nextConfirmMs = this.#now() + this.#jittered(settings.confirmIntervalMs);
    }

    /** Starts what is due. */
    startDuePull(): void {
        const now = this.#now();
        if (this.#pull !== undefined) {
            if (now < this.#pull.startedMs + PullExpiryMs) {
                return;
            }
            this.finishPull(this.#pull.callId, false);
        }
        const { config } = this.#context.board;
        if (config.floorVersion <= config.version) {
            this.#dueMs = undefined;
            this.#failureCount = 0;
            this.#checkStore(now);
            return;
        }
        this.#dueMs ??= now + this.#jittered(this.#settings.pullDelayMs);
        if (now >= this.#dueMs) {
            this.#start(now);
        }
    }

    /**
     * Records the end of a pull.
     * @param progressed Whether it brought a newer version into force.
     */
    finishPull(callId: string, progressed: boolean): void {
        if (this.#pull?.callId !== callId) {
            return;
        }
        this.#pull = undefined;
        this.#failureCount = progressed ? 0 : this.#failureCount + 1;
        const delayMs = progressed ? 0 : this.#settings.pullDelayMs * 2 ** Math.min(this.#failureCount - 1, 10);
        this.#dueMs = this.#now() + this.#jittered(Math.min(delayMs, this.#settings.pullMaxDelayMs));
    }

    /** @returns State for the dump. */
    dumpState(): unknown {
        return { pull: this.#pull, failureCount: this.#failureCount, dueMs: this.#dueMs };
    }

    #start(now: number): void {
        const { config } = this.#context.board;
        const address = this.#failureCount % 2 === 0 ? this.#chooseAddress(config.version) : undefined;
        if (address === undefined) {
            this.#listStore(now);
            return;
        }
        const callId = this.#register(now);
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

    #checkStore(now: number): void {
        if (now >= this.#nextConfirmMs) {
            this.#nextConfirmMs = now + this.#jittered(this.#settings.confirmIntervalMs);
            this.#listStore(now);
        }
    }

    #listStore(now: number): void {
        const callId = this.#register(now);
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

    #register(now: number): string {
        this.#callCount++;
        this.#pull = { callId: `pull/${this.#callCount}`, startedMs: now };
        return this.#pull.callId;
    }

    #chooseAddress(version: number): string | undefined {
        const addresses: string[] = [];
        for (const member of this.#context.board.membership.members.values()) {
            const isReachable = member.state === "live" || member.state === "leaving";
            if (isReachable && member.configVersion > version && member.peerAddress !== "") {
                addresses.push(member.peerAddress);
            }
        }
        return addresses.length === 0 ? undefined : addresses[this.#context.random.integer(addresses.length)];
    }

    #jittered(delayMs: number): number {
        return delayMs * (0.5 + this.#context.random.next());
    }

    #now(): number {
        return this.#context.clock.monotonicMs();
    }
}
