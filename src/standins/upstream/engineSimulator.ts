/** Simulation of a model engine with continuous batching, preemption by priority and a prefix cache. */
import type { Execution } from "./executionLog.js";
import type { UpstreamStandInSettings } from "./upstreamSettings.js";

/** A request in the engine. */
export interface EngineTask {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly outputTokens: number;
    readonly execution: Execution;
    /** Remaining prefill work, in milliseconds. */
    remainingPrefillMs: number;
    /** Called for each output token; the first has the index 1. */
    readonly onToken: (index: number) => void;
    /** Called after the last token. */
    readonly onDone: () => void;
}

/** A request as it is submitted to the engine. */
export interface EngineSubmission {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Start of the prompt; prompts with the same start share an entry of the prefix cache. */
    readonly prefixKey: string;
    readonly execution: Execution;
    readonly onToken: (index: number) => void;
    readonly onDone: () => void;
}

/** Fraction of the prefill work that remains when the prefix is cached. */
const CachedPrefillFraction = 0.1;

/** Cache of prompt prefixes that evicts the least recently used ones. */
class PrefixCache {
    readonly #tokensByPrefix = new Map<string, number>();
    readonly #capacityTokens: number;
    #usedTokens = 0;

    constructor(capacityTokens: number) {
        this.#capacityTokens = capacityTokens;
    }

    /**
     * Adds a prefix, or marks it as the most recently used.
     * @returns Whether the prefix was cached before.
     */
    use(prefixKey: string, tokens: number): boolean {
        const cached = this.#tokensByPrefix.get(prefixKey);
        if (cached !== undefined) {
            this.#tokensByPrefix.delete(prefixKey);
            this.#usedTokens -= cached;
        }
        this.#tokensByPrefix.set(prefixKey, tokens);
        this.#usedTokens += tokens;
        for (const [oldest, oldestTokens] of this.#tokensByPrefix) {
            if (this.#usedTokens <= this.#capacityTokens) {
                break;
            }
            this.#tokensByPrefix.delete(oldest);
            this.#usedTokens -= oldestTokens;
        }
        return cached !== undefined;
    }
}

/** Simulated engine: in every step each running request whose prefill is complete produces one token. */
export class EngineSimulator {
    readonly #settings: UpstreamStandInSettings;
    readonly #slowFactor: () => number;
    readonly #prefixCache: PrefixCache;
    readonly #running = new Set<EngineTask>();
    readonly #waiting: EngineTask[] = [];
    #timer: NodeJS.Timeout | undefined;
    #nextStepMs = 0;

    /** @param slowFactor Returns the factor by which the duration of a step is multiplied now. */
    constructor(settings: UpstreamStandInSettings, slowFactor: () => number) {
        this.#settings = settings;
        this.#slowFactor = slowFactor;
        this.#prefixCache = new PrefixCache(settings.prefixCacheTokens);
    }

    /** @returns Number of running requests. */
    get runningCount(): number {
        return this.#running.size;
    }

    /** @returns Number of waiting requests. */
    get waitingCount(): number {
        return this.#waiting.length;
    }

    /**
     * Adds a request to the queue and starts it if a slot is available.
     * @returns The task, or `undefined` when the queue is full.
     */
    submit(submission: EngineSubmission): EngineTask | undefined {
        if (this.#waiting.length >= this.#settings.waitingLimit) {
            return undefined;
        }
        const cached = this.#prefixCache.use(submission.prefixKey, submission.promptTokens);
        const prefillMs = submission.promptTokens / this.#settings.prefillTokensPerS * 1_000;
        const task: EngineTask = {
            ...submission,
            remainingPrefillMs: prefillMs * (cached ? CachedPrefillFraction : 1),
        };
        this.#enqueue(task);
        this.#fillSlots();
        this.#schedule();
        return task;
    }

    /** Removes a task, which then produces no more tokens. */
    cancel(task: EngineTask): void {
        this.#running.delete(task);
        const index = this.#waiting.indexOf(task);
        if (index >= 0) {
            this.#waiting.splice(index, 1);
        }
        if (task.execution.state === "running") {
            task.execution.state = "cancelled";
        }
        this.#fillSlots();
    }

    /** Stops the engine and drops all tasks. */
    stop(): void {
        clearTimeout(this.#timer);
        this.#running.clear();
        this.#waiting.length = 0;
    }

    #enqueue(task: EngineTask): void {
        const index = this.#waiting.findIndex(other => other.priority > task.priority);
        this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, task);
    }

    /** Starts waiting tasks; a more urgent one preempts the least urgent running one, which resumes later. */
    #fillSlots(): void {
        for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
            if (this.#running.size >= this.#settings.slots) {
                const victim = this.#findLeastUrgentRunning();
                if (victim === undefined || victim.priority <= next.priority) {
                    return;
                }
                this.#running.delete(victim);
                this.#enqueue(victim);
            }
            this.#waiting.splice(this.#waiting.indexOf(next), 1);
            this.#running.add(next);
        }
    }

    #findLeastUrgentRunning(): EngineTask | undefined {
        let victim: EngineTask | undefined;
        for (const task of this.#running) {
            if (victim === undefined || task.priority >= victim.priority) {
                victim = task;
            }
        }
        return victim;
    }

    #stepMs(): number {
        const { tokenIntervalMs, batchPenaltyMs } = this.#settings;
        return (tokenIntervalMs + batchPenaltyMs * Math.max(0, this.#running.size - 1)) * this.#slowFactor();
    }

    #schedule(): void {
        if (this.#timer !== undefined || this.#running.size === 0) {
            return;
        }
        // The next step is scheduled from the planned time of this one, so that late timers do not lower the rate.
        const now = performance.now();
        this.#nextStepMs = Math.max(this.#nextStepMs, now - 50) + this.#stepMs();
        this.#timer = setTimeout(() => this.#step(), Math.max(0, this.#nextStepMs - now));
    }

    #step(): void {
        this.#timer = undefined;
        const stepMs = this.#stepMs() / this.#slowFactor();
        for (const task of [...this.#running]) {
            this.#advance(task, stepMs);
        }
        this.#fillSlots();
        this.#schedule();
    }

    #advance(task: EngineTask, stepMs: number): void {
        if (task.remainingPrefillMs > 0) {
            task.remainingPrefillMs -= stepMs;
            if (task.remainingPrefillMs > 0) {
                return;
            }
        }
        task.execution.outputTokens++;
        task.onToken(task.execution.outputTokens);
        if (task.execution.outputTokens >= task.outputTokens && this.#running.delete(task)) {
            task.execution.state = "complete";
            task.onDone();
        }
    }
}
