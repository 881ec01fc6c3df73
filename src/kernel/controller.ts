/** Base class of controllers. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "./blackboard.js";
import type { FeatureName } from "./effectResults.js";
import type { Effect } from "./effects.js";
import type { RouterEvent } from "./events.js";

/** What a controller is given. */
export interface ControllerContext {
    readonly board: Blackboard;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** Hands an effect to the outside world after the current events are handled. */
    readonly emit: (effect: Effect) => void;
}

/** Decides for one feature. Reads any section of the blackboard and writes its own. */
export abstract class Controller {
    abstract readonly name: FeatureName;
    /** Types of the events that the controller handles; all when `undefined`. */
    readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> | undefined = undefined;
    protected readonly context: ControllerContext;

    constructor(context: ControllerContext) {
        this.context = context;
    }

    /** Handles one event. Must not block and must not throw for any input from outside. */
    abstract handle(event: RouterEvent): void;

    /** @returns Internal state for the state dump, beyond the blackboard. */
    dumpState(): unknown {
        return undefined;
    }
}
