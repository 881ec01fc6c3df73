/** One router process: the real kernel and controllers with a simulated store, network and clock. It can be paused and killed. */
import { Counters } from "../../src/base/counters.js";
import { SeededRandom } from "../../src/base/random.js";
import { type Blackboard, createBlackboard } from "../../src/kernel/blackboard.js";
import type { Effect, Notification } from "../../src/kernel/effects.js";
import type { RouterEvent } from "../../src/kernel/events.js";
import { type ControllerFactory, EffectRunner, Kernel } from "../../src/kernel/kernel.js";
import type { FaultyStore } from "./faultyStore.js";
import type { PeerNetwork } from "./peerNetwork.js";
import type { Scheduler } from "./scheduler.js";

/** Interval of ticks: longer than the product's, to run more sequences. */
const TickMs = 100;

/** Simulated environment of a process: time, the object store, the network, and the fleet that observes it. */
export interface HostEnvironment {
    readonly scheduler: Scheduler;
    readonly store: FaultyStore;
    readonly network: PeerNetwork;
    /** Called with each notification that the kernel emits. */
    readonly handleNotification: (process: HostProcess, notification: Notification) => void;
    /** Called before each tick. */
    readonly beforeTick: (process: HostProcess) => void;
}

/** One process of a host, from its start until it is closed or killed. */
export class HostProcess extends EffectRunner {
    readonly hostId: string;
    readonly kernel: Kernel;
    /** How the process ended: shut down cleanly (`closed`) or killed; `undefined` while it is alive. */
    end: "closed" | "killed" | undefined;
    readonly #environment: HostEnvironment;
    readonly #inbox: (() => void)[] = [];
    #paused = false;

    constructor(
        hostId: string,
        incarnation: string,
        seed: number,
        environment: HostEnvironment,
        controllers: ControllerFactory,
    ) {
        super();
        this.hostId = hostId;
        this.#environment = environment;
        this.kernel = new Kernel({
            board: createBlackboard(hostId, incarnation),
            clock: environment.scheduler.clock,
            random: new SeededRandom(seed),
            counters: new Counters(),
            createControllers: controllers,
        });
        this.kernel.setEffectRunner(this);
        environment.scheduler.after(seed % TickMs, () => this.#tick());
    }

    get board(): Blackboard {
        return this.kernel.board;
    }

    get isPaused(): boolean {
        return this.#paused;
    }

    get isAlive(): boolean {
        return this.end === undefined;
    }

    /** Runs an action in this process: at once, after the pause if it is paused, or never if it has ended. */
    perform(action: () => void): void {
        if (this.#paused) {
            this.#inbox.push(action);
        }
        else if (this.isAlive) {
            action();
        }
    }

    /** Delivers an event to the kernel, under the conditions of {@link perform}. */
    post(event: RouterEvent): void {
        this.perform(() => this.kernel.post(event));
    }

    /** Suspends ticks and events for a time; held-back actions run when it ends. No effect while paused. */
    pause(durationMs: number): void {
        if (!this.#paused) {
            this.#paused = true;
            this.#environment.scheduler.after(durationMs, () => this.#resume());
        }
    }

    override run(effect: Effect): void {
        const { store, network, handleNotification } = this.#environment;
        if (effect.type === "storeGet") {
            const { owner, callId, key } = effect;
            store.get(
                this.hostId,
                key,
                outcome => this.post({ type: "storeGetDone", owner, callId, key, outcome }),
            );
        }
        else if (effect.type === "storePut") {
            const { owner, callId, key, value, expectedVersion } = effect;
            store.put(
                this.hostId,
                key,
                value,
                expectedVersion,
                outcome => this.post({ type: "storePutDone", owner, callId, key, outcome }),
            );
        }
        else if (effect.type === "peerCall") {
            const { owner, callId, address } = effect;
            network.call(
                this.hostId,
                address,
                effect.request,
                effect.timeoutMs,
                outcome => this.post({ type: "peerCallDone", owner, callId, address, outcome }),
            );
        }
        else if (effect.type === "peerReply") {
            network.reply(effect.exchangeId, effect.reply);
        }
        else if (effect.type === "notify") {
            handleNotification(this, effect.notification);
        }
    }

    #tick(): void {
        if (this.isAlive) {
            this.#environment.scheduler.after(TickMs, () => this.#tick());
            if (!this.#paused) {
                this.#environment.beforeTick(this);
                this.kernel.post({ type: "tick" });
            }
        }
    }

    #resume(): void {
        this.#paused = false;
        for (const action of this.#inbox.splice(0)) {
            this.perform(action);
        }
    }
}
