/** Process metrics: counters and gauges kept in memory, sent to a StatsD server when one is configured. */
import { StatsD } from "hot-shots";

/** Counters and gauges of one process. */
export class Counters {
    readonly #totals = new Map<string, number>();
    readonly #gauges = new Map<string, number>();
    readonly #sentTotals = new Map<string, number>();

    /**
     * Increases a counter.
     * @param name Counter name in dotted form.
     * @param amount Amount to add.
     */
    add(name: string, amount = 1): void {
        this.#totals.set(name, (this.#totals.get(name) ?? 0) + amount);
    }

    /**
     * Sets a gauge.
     * @param name Gauge name in dotted form.
     * @param value Current value.
     */
    set(name: string, value: number): void {
        this.#gauges.set(name, value);
    }

    /** @returns The total of a counter, or the value of a gauge; 0 if neither exists. */
    get(name: string): number {
        return this.#totals.get(name) ?? this.#gauges.get(name) ?? 0;
    }

    /** @returns All counters and gauges by name, sorted. */
    snapshot(): Record<string, number> {
        return Object.fromEntries([...this.#totals, ...this.#gauges].sort(([a], [b]) => a < b ? -1 : 1));
    }

    /**
     * Sends the increments since the last call, and all gauges.
     * @param client StatsD client to send to.
     */
    flushTo(client: StatsD): void {
        for (const [name, total] of this.#totals) {
            const increment = total - (this.#sentTotals.get(name) ?? 0);
            if (increment !== 0) {
                client.increment(name, increment);
                this.#sentTotals.set(name, total);
            }
        }
        for (const [name, value] of this.#gauges) {
            client.gauge(name, value);
        }
    }
}

/** Address of a StatsD server. */
export interface StatsdAddress {
    readonly host: string;
    readonly port: number;
}

/** Interval between two sends to the StatsD server. */
const MetricsFlushIntervalMs = 5_000;

/**
 * Sends counters to a StatsD server at a fixed interval.
 * @param counters Counters to send.
 * @param target Server address; `undefined` sends nothing.
 * @returns A function that stops sending.
 */
export function startMetrics(counters: Counters, target: StatsdAddress | undefined): () => void {
    if (target === undefined) {
        return () => undefined;
    }
    const client = new StatsD({
        host: target.host,
        port: target.port,
        prefix: "toucan.",
        errorHandler: () => undefined,
    });
    const timer = setInterval(() => counters.flushTo(client), MetricsFlushIntervalMs);
    timer.unref();
    return () => {
        clearInterval(timer);
        client.close();
    };
}
