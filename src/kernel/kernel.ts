/** The event queue: one loop on one thread. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "./blackboard.js";
import { dumpBlackboard } from "./blackboard.js";
import type { Controller, ControllerContext } from "./controller.js";
import type { Effect } from "./effects.js";
import type { RouterEvent } from "./events.js";

/** Performs effects and posts their results as events. */
export abstract class EffectRunner {
    /** Starts an effect. Results arrive later through {@link Kernel.post}, never during this call. */
    abstract run(effect: Effect): void;
}

/** Creates the controllers of a router in their order. */
export type ControllerFactory = (context: ControllerContext) => Controller[];

/** What a kernel is built from. */
export interface KernelDependencies {
    readonly board: Blackboard;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    readonly createControllers: ControllerFactory;
}

/** Passes events to the controllers and effects to the runner. */
export class Kernel {
    readonly board: Blackboard;
    readonly counters: Counters;
    readonly #controllers: readonly Controller[];
    readonly #controllersByType = new Map<RouterEvent["type"], readonly Controller[]>();
    readonly #queue: RouterEvent[] = [];
    readonly #outbox: Effect[] = [];
    #runner: EffectRunner | undefined;
    #draining = false;

    constructor(dependencies: KernelDependencies) {
        this.board = dependencies.board;
        this.counters = dependencies.counters;
        this.#controllers = dependencies.createControllers({
            board: dependencies.board,
            clock: dependencies.clock,
            random: dependencies.random,
            counters: dependencies.counters,
            emit: effect => this.#outbox.push(effect),
        });
    }

    /** @param runner Runner of effects; must be set before the first event. */
    setEffectRunner(runner: EffectRunner): void {
        this.#runner = runner;
    }

    /** Adds an event and handles all queued events before it returns, unless called while handling one. */
    post(event: RouterEvent): void {
        this.#queue.push(event);
        if (this.#draining) {
            return;
        }
        this.#draining = true;
        try {
            this.#drain();
        }
        finally {
            this.#draining = false;
        }
    }

    /** @returns Everything the process knows, as JSON. */
    dumpState(): unknown {
        const controllers = this.#controllers.map(controller => [controller.name, controller.dumpState()]);
        return {
            board: dumpBlackboard(this.board),
            controllers: Object.fromEntries(controllers),
            counters: this.counters.snapshot(),
        };
    }

    #drain(): void {
        do {
            for (let event = this.#queue.shift(); event !== undefined; event = this.#queue.shift()) {
                for (const controller of this.#controllersFor(event.type)) {
                    controller.handle(event);
                }
            }
            for (const effect of this.#outbox.splice(0)) {
                this.#perform(effect);
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

    #perform(effect: Effect): void {
        if (effect.type === "postEvent") {
            this.#queue.push(effect.event);
        }
        else {
            this.#runner?.run(effect);
        }
    }
}
