/** The event loop of a router: one queue, handled on one thread. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "./blackboard.js";
import { dumpBlackboard } from "./blackboard.js";
import type { Controller, ControllerContext } from "./controller.js";
import type { Effect } from "./effects.js";
import type { RouterEvent } from "./events.js";

/** Performs effects outside the controllers and posts their results as events. */
export abstract class EffectRunner {
    /** Starts an effect. Its result is posted later through {@link Kernel.post}, never during this call. */
    abstract run(effect: Effect): void;
}

/** Creates the controllers of a router in the order in which they handle events. */
export type ControllerFactory = (context: ControllerContext) => Controller[];

/** Collaborators of a {@link Kernel}. */
export interface KernelDependencies {
    readonly board: Blackboard;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    readonly createControllers: ControllerFactory;
}

/** Passes events to the controllers and their effects to the effect runner. */
export class Kernel {
    readonly board: Blackboard;
    readonly counters: Counters;
    readonly #controllers: readonly Controller[];
    /** Controllers that handle an event type, cached on first use. */
    readonly #controllersByType = new Map<RouterEvent["type"], readonly Controller[]>();
    readonly #queue: RouterEvent[] = [];
    readonly #pendingEffects: Effect[] = [];
    #runner: EffectRunner | undefined;
    #isHandlingEvents = false;

    constructor(dependencies: KernelDependencies) {
        this.board = dependencies.board;
        this.counters = dependencies.counters;
        this.#controllers = dependencies.createControllers({
            board: dependencies.board,
            clock: dependencies.clock,
            random: dependencies.random,
            counters: dependencies.counters,
            emit: effect => this.#pendingEffects.push(effect),
        });
    }

    /** Sets the runner of effects. Must be called before the first event: effects without a runner are dropped. */
    setEffectRunner(runner: EffectRunner): void {
        this.#runner = runner;
    }

    /** Adds an event and handles all queued events before it returns, unless called while handling one. */
    post(event: RouterEvent): void {
        this.#queue.push(event);
        if (this.#isHandlingEvents) {
            return;
        }
        this.#isHandlingEvents = true;
        try {
            this.#handleQueuedEvents();
        }
        finally {
            this.#isHandlingEvents = false;
        }
    }

    /** @returns The blackboard, the internal state of the controllers and the counters, as JSON values for the state dump. */
    dumpState(): unknown {
        const controllers = this.#controllers.map(controller => [controller.name, controller.dumpState()]);
        return {
            board: dumpBlackboard(this.board),
            controllers: Object.fromEntries(controllers),
            counters: this.counters.snapshot(),
        };
    }

    #handleQueuedEvents(): void {
        do {
            for (let event = this.#queue.shift(); event !== undefined; event = this.#queue.shift()) {
                for (const controller of this.#controllersFor(event.type)) {
                    controller.handle(event);
                }
            }
            for (const effect of this.#pendingEffects.splice(0)) {
                this.#performEffect(effect);
            }
        }
        while (this.#queue.length > 0);
    }

    #controllersFor(type: RouterEvent["type"]): readonly Controller[] {
        let controllers = this.#controllersByType.get(type);
        if (controllers === undefined) {
            controllers = this.#controllers.filter(({ handledEventTypes }) => handledEventTypes?.has(type) ?? true);
            this.#controllersByType.set(type, controllers);
        }
        return controllers;
    }

    #performEffect(effect: Effect): void {
        if (effect.type === "postEvent") {
            this.#queue.push(effect.event);
        }
        else {
            this.#runner?.run(effect);
        }
    }
}
