/** Base class of controllers. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "./blackboard.js";
import type { FeatureName } from "./effectResults.js";
import type { Effect } from "./effects.js";
import type { RouterEvent } from "./events.js";

/** Collaborators of a controller. */
export interface ControllerContext {
    readonly board: Blackboard;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** Queues an effect, which is performed after the queued events are handled. */
    readonly emit: (effect: Effect) => void;
}

/** Makes the decisions of one feature. Reads any section of the blackboard and writes only its own. */
export abstract class Controller {
    abstract readonly name: FeatureName;
    /** Types of the events that the controller handles; `undefined` for all. */
    readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> | undefined = undefined;
    protected readonly context: ControllerContext;

    constructor(context: ControllerContext) {
        this.context = context;
    }

    /** Handles one event. Must not block, and must not throw whatever data the event carries. */
    abstract handle(event: RouterEvent): void;

    /** @returns Internal state that the state dump shows in addition to the blackboard. */
    dumpState(): unknown {
        return undefined;
    }
}
