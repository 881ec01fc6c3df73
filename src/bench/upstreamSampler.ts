/** Samples the actual load of the upstreams, from which false refusals are computed. */
import { z } from "zod";

/** Interval between two samples, in milliseconds. */
export const SampleIntervalMs = 150;

const StateSchema = z.looseObject({ running: z.number(), waiting: z.number() });

/** Load of all sampled upstreams at one time. */
export interface LoadSample {
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly atMs: number;
    /** Number of running and waiting requests by upstream name, without upstreams that did not respond. */
    readonly byUpstream: ReadonlyMap<string, { readonly running: number; readonly waiting: number; }>;
}

/** Reads `GET /state` of upstream stand-ins at a fixed interval. */
export class UpstreamSampler {
    readonly samples: LoadSample[] = [];
    readonly #urls: ReadonlyMap<string, string>;
    #timer: NodeJS.Timeout | undefined;

    /** @param urls Base URLs by upstream name. */
    constructor(urls: ReadonlyMap<string, string>) {
        this.#urls = urls;
    }

    /** Starts sampling. */
    start(): void {
        this.#timer = setInterval(() => void this.#sample(), SampleIntervalMs);
    }

    /** Stops sampling. */
    stop(): void {
        clearInterval(this.#timer);
    }

    async #sample(): Promise<void> {
        const atMs = Date.now();
        const entries = await Promise.all([...this.#urls].map(async ([name, url]) => {
            try {
                const state = StateSchema.safeParse(await (await fetch(`${url}/state`)).json());
                return state.success ? [[name, state.data] as const] : [];
            }
            catch {
                return [];
            }
        }));
        this.samples.push({ atMs, byUpstream: new Map(entries.flat()) });
    }
}
