/** Share of each upstream's slots that this host may use. */
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";

/** What an upstream's limit is computed from. */
export interface SlotQuotaInput {
    readonly name: string;
    readonly slots: number;
    readonly status: UpstreamStatus;
    /** Own requests in flight. */
    readonly ownInFlight: number;
    /** Hosts that share the upstream, this one included. */
    readonly hostCount: number;
}

/** Settings of {@link SlotQuotas}. */
export interface SlotQuotaSettings {
    readonly overcommitRatio: number;
    readonly borrowIntervalMs: number;
}

/** Without a fresh report, borrowing starts only after this many intervals, when gossip has had time to spread. */
const IntervalsWithoutReport = 3;

interface Borrowed {
    slots: number;
    /** Since when the host uses all it may. */
    saturatedSinceMs: number | undefined;
    updatedAtMs: number;
}

/**
 * Every host starts with an equal share of an upstream. A host that needs more borrows unused slots step by step: at the
 * start of a swing all hosts see the same late figures, and taking everything that seems free would overload the upstream.
 */
export class SlotQuotas {
    readonly #settings: SlotQuotaSettings;
    readonly #borrowed = new Map<string, Borrowed>();

    constructor(settings: SlotQuotaSettings) {
        this.#settings = settings;
    }

    /** @returns Requests that this host may have in flight at the upstream; a fraction that is meant to be summed. */
    computeQuota(input: SlotQuotaInput): number {
        const { status, slots, hostCount, name } = input;
        const share = slots * this.#settings.overcommitRatio / hostCount + (this.#borrowed.get(name)?.slots ?? 0);
        return Math.min(status.concurrencyLimit, share) / status.slownessFactor;
    }

    /**
     * Adjusts the borrowed part; called on every tick.
     * @param wanted Whether requests wait that could use the upstream.
     */
    adjustBorrowing(input: SlotQuotaInput, wanted: boolean, nowMs: number): void {
        const { borrowIntervalMs, overcommitRatio } = this.#settings;
        const borrowed = this.#borrowed.get(input.name) ??
            { slots: 0, saturatedSinceMs: undefined, updatedAtMs: nowMs };
        this.#borrowed.set(input.name, borrowed);
        borrowed.saturatedSinceMs = wanted ? borrowed.saturatedSinceMs ?? nowMs : undefined;
        if (nowMs - borrowed.updatedAtMs < borrowIntervalMs) {
            return;
        }
        borrowed.updatedAtMs = nowMs;
        const free = input.slots * overcommitRatio - input.ownInFlight - input.status.otherLoad;
        if (!wanted) {
            borrowed.slots /= 2;
        }
        else if (free < 0) {
            borrowed.slots = Math.max(0, borrowed.slots + free / input.hostCount);
        }
        else if (this.#knowsOthers(borrowed.saturatedSinceMs ?? nowMs, input.status, nowMs)) {
            borrowed.slots = Math.min(input.slots, borrowed.slots + free / input.hostCount);
        }
    }

    /** Forgets upstreams that no longer exist. */
    retain(exists: (name: string) => boolean): void {
        for (const name of [...this.#borrowed.keys()].filter(known => !exists(known))) {
            this.#borrowed.delete(name);
        }
    }

    #knowsOthers(saturatedSinceMs: number, status: UpstreamStatus, nowMs: number): boolean {
        const { borrowIntervalMs } = this.#settings;
        return status.reportedAtMs >= saturatedSinceMs + borrowIntervalMs / 2 ||
            nowMs - saturatedSinceMs >= IntervalsWithoutReport * borrowIntervalMs;
    }
}
