/** Performs the effects of a router: store calls, peer calls and notifications. */
import { match } from "ts-pattern";
import { log } from "../base/log.js";
import type { Effect, Notification } from "../kernel/effects.js";
import type { RouterEvent } from "../kernel/events.js";
import { EffectRunner } from "../kernel/kernel.js";
import type { PeerReply } from "../peer/peerMessages.js";
import { type PeerClient } from "../peer/peerMessages.js";
import type { PlatformStore } from "../platform/platformStore.js";

/** Collaborators of {@link RouterEffectRunner}. */
export interface RouterEffectRunnerDependencies {
    readonly store: PlatformStore;
    readonly peerClient: PeerClient;
    readonly post: (event: RouterEvent) => void;
    readonly notify: (notification: Notification) => void;
    readonly replyToPeer: (exchangeId: string, reply: PeerReply) => void;
}

/** Performs effects. Posts their results as events later, never during {@link EffectRunner.run}. */
export class RouterEffectRunner extends EffectRunner {
    readonly #dependencies: RouterEffectRunnerDependencies;
    #stopped = false;

    constructor(dependencies: RouterEffectRunnerDependencies) {
        super();
        this.#dependencies = dependencies;
    }

    /** Stops posting results; effects in progress continue. */
    stop(): void {
        this.#stopped = true;
    }

    override run(effect: Effect): void {
        match(effect)
            .with({ type: "storeGet" }, get => void this.#get(get))
            .with({ type: "storePut" }, put => void this.#put(put))
            .with({ type: "storeList" }, list => void this.#list(list))
            .with({ type: "peerCall" }, call => void this.#call(call))
            .with({ type: "peerReply" }, answer => this.#dependencies.replyToPeer(answer.exchangeId, answer.reply))
            .with({ type: "notify" }, ({ notification }) => this.#dependencies.notify(notification))
            .with({ type: "postEvent" }, ({ event }) => queueMicrotask(() => this.#post(event)))
            .exhaustive();
    }

    async #get({ owner, callId, key }: Extract<Effect, { type: "storeGet"; }>): Promise<void> {
        const outcome = await catchErrors(
            () => this.#dependencies.store.get(key),
            reason => ({ status: "unavailable", reason }) as const,
        );
        this.#post({ type: "storeGetDone", owner, callId, key, outcome });
    }

    async #put(effect: Extract<Effect, { type: "storePut"; }>): Promise<void> {
        const { owner, callId, key, value, expectedVersion } = effect;
        const outcome = await catchErrors(
            () => this.#dependencies.store.put(key, value, expectedVersion),
            reason => ({ status: "unknown", reason }) as const,
        );
        this.#post({ type: "storePutDone", owner, callId, key, outcome });
    }

    async #list({ owner, callId, prefix, afterKey, limit }: Extract<Effect, { type: "storeList"; }>): Promise<void> {
        const outcome = await catchErrors(
            () => this.#dependencies.store.list(prefix, afterKey, limit),
            reason => ({ status: "unavailable", reason }) as const,
        );
        this.#post({ type: "storeListDone", owner, callId, outcome });
    }

    async #call(effect: Extract<Effect, { type: "peerCall"; }>): Promise<void> {
        const { owner, callId, address, request, timeoutMs } = effect;
        const outcome = await catchErrors(
            () => this.#dependencies.peerClient.call(address, request, timeoutMs),
            reason => ({ status: "failed", reason }) as const,
        );
        this.#post({ type: "peerCallDone", owner, callId, address, outcome });
    }

    #post(event: RouterEvent): void {
        if (!this.#stopped) {
            this.#dependencies.post(event);
        }
    }
}

/**
 * Turns a thrown error into the outcome that assumes the least, so that the controller that started the effect always
 * gets a result.
 */
async function catchErrors<T>(call: () => Promise<T>, onError: (reason: string) => T): Promise<T> {
    try {
        return await call();
    }
    catch (error) {
        log.error("an effect failed unexpectedly", { reason: String(error) });
        return onError(String(error));
    }
}
