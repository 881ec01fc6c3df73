/** Sums of load reports, and the messages in which gatherers pass them on. */
import { z } from "zod";
import { hash32 } from "../../base/hashing.js";
import type { LoadReport, PeerLoad } from "./peerLoadTracker.js";

/** Prompt tokens are passed on in units of this many, which makes messages smaller. */
const TokensPerUnit = 100;

/** Maximum number of upstreams in one message, so that it fits into a datagram: at most 22 bytes each. */
const MaxSumsPerMessage = 55;

const CountSchema = z.number().int().nonnegative();

/** Open requests and hundreds of unread prompt tokens by key of the upstream; see {@link loadKeyOf}. */
const SumsSchema = z.record(z.string(), z.tuple([CountSchema, CountSchema]));

/** Time between output events in tenths of a millisecond by key of the upstream; see {@link loadKeyOf}. */
export const EventTimesSchema = z.record(z.string(), z.number().int().positive());
export type EventTimes = z.infer<typeof EventTimesSchema>;

/** The sum of the hosts of one zone, for the gatherers of the other zones. Parts with the same number belong together. */
export const ZoneSumSchema = z.object({ k: z.literal("z"), z: z.string(), n: CountSchema, l: SumsSchema });
export type ZoneSum = z.infer<typeof ZoneSumSchema>;
/** The sum of the whole fleet, for the hosts of the gatherer's zone. */
export const FleetSumSchema = z.object({
    k: z.literal("t"),
    n: CountSchema,
    l: SumsSchema,
    /** Event times of some upstreams; all of them take turns. */
    s: EventTimesSchema.optional(),
});

const keys = new Map<string, string>();
/** Maximum number of cached keys; far more than there are upstreams at the same time. */
const MaxCachedKeys = 5_000;

/** @returns Short key of an upstream in messages, the same at all hosts. */
export function loadKeyOf(upstreamId: string): string {
    let key = keys.get(upstreamId);
    if (key === undefined) {
        if (keys.size >= MaxCachedKeys) {
            keys.clear();
        }
        key = hash32(upstreamId).toString(36);
        keys.set(upstreamId, key);
    }
    return key;
}

/** Load by upstream key. */
export class LoadSum {
    readonly #loads = new Map<string, { openRequestCount: number; waitingPrefillTokens: number; }>();

    /** @returns Load of an upstream; zero when it is not in the sum. */
    loadAt(key: string): PeerLoad {
        return this.#loads.get(key) ?? { openRequestCount: 0, waitingPrefillTokens: 0 };
    }

    /** Adds a load to the one of an upstream. */
    add(key: string, openRequestCount: number, waitingPrefillTokens: number): void {
        const load = this.#loads.get(key);
        if (load === undefined) {
            this.#loads.set(key, { openRequestCount, waitingPrefillTokens });
            return;
        }
        load.openRequestCount += openRequestCount;
        load.waitingPrefillTokens += waitingPrefillTokens;
    }

    /** Adds all loads of another sum. */
    addSum(other: LoadSum): void {
        for (const [key, load] of other.#loads) {
            this.add(key, load.openRequestCount, load.waitingPrefillTokens);
        }
    }

    /** Adds the loads in a host's report. */
    addReport(loads: LoadReport["l"]): void {
        for (const [upstreamId, [openRequestCount, waitingPrefillTokens]] of Object.entries(loads)) {
            this.add(loadKeyOf(upstreamId), openRequestCount, waitingPrefillTokens);
        }
    }

    /** Adds the loads in a message. */
    addMessage(loads: z.infer<typeof SumsSchema>): void {
        for (const [key, [openRequestCount, units]] of Object.entries(loads)) {
            this.add(key, openRequestCount, units * TokensPerUnit);
        }
    }

    /** @returns The sum divided into messages; one without loads when it is empty. */
    toMessages(): z.infer<typeof SumsSchema>[] {
        const entries = [...this.#loads].map(([key, load]) =>
            [key, [load.openRequestCount, Math.round(load.waitingPrefillTokens / TokensPerUnit)]] as const
        );
        const messages: z.infer<typeof SumsSchema>[] = [];
        for (let start = 0; start === 0 || start < entries.length; start += MaxSumsPerMessage) {
            messages.push(
                Object.fromEntries(entries.slice(start, start + MaxSumsPerMessage)) as z.infer<typeof SumsSchema>,
            );
        }
        return messages;
    }
}

/** The newest sum of one sender, which may arrive in several messages. */
export class ReceivedSum {
    #sum = new LoadSum();
    #number = -1;
    #receivedMs = Number.NEGATIVE_INFINITY;
    #sender: string | undefined;

    get sum(): LoadSum {
        return this.#sum;
    }

    /** @returns Monotonic time at which the latest message arrived, in milliseconds. */
    get receivedMs(): number {
        return this.#receivedMs;
    }

    /** @returns Address of the host that sent the latest message. */
    get sender(): string | undefined {
        return this.#sender;
    }

    /** Adds a message; one with another number, or of another sender, begins a new sum. */
    record(number: number, loads: z.infer<typeof SumsSchema>, nowMs: number, sender: string): void {
        if (number !== this.#number || sender !== this.#sender) {
            this.#sender = sender;
            this.#sum = new LoadSum();
            this.#number = number;
        }
        this.#sum.addMessage(loads);
        this.#receivedMs = nowMs;
    }
}
