/** Computes the share of each upstream's slots that this host may use. */
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";

/** State of an upstream from which its quota is computed. */
export interface SlotQuotaInput {
    readonly name: string;
    readonly slots: number;
    readonly status: UpstreamStatus;
    /** Requests of this host in flight at the upstream. */
    readonly ownInFlight: number;
    /** Hosts that share the upstream, this one included. */
    readonly hostCount: number;
}

/** Settings of {@link SlotQuotas}; a subset of `AdmissionSettings`. */
export interface SlotQuotaSettings {
    readonly overcommitRatio: number;
    readonly borrowIntervalMs: number;
}

/** Without a current load report, borrowing starts only after this many intervals, so that gossip has time to spread. */
const IntervalsWithoutReport = 3;

interface BorrowedSlots {
    slots: number;
    /** Start of the time in which requests wait for the upstream; `undefined` when none waits. */
    saturatedSinceMs: number | undefined;
    updatedAtMs: number;
}

/**
 * Computes this host's quota of each upstream's slots. Every host starts with an equal share of an upstream's slots. A host
 * that needs more borrows unused slots step by step: when the load changes, all hosts see the same outdated reports, and
 * taking every slot that seems free would overload the upstream.
 */
export class SlotQuotas {
    readonly #settings: SlotQuotaSettings;
    readonly #borrowed = new Map<string, BorrowedSlots>();

    constructor(settings: SlotQuotaSettings) {
        this.#settings = settings;
    }

    /** @returns Requests that this host may have in flight at the upstream; not rounded, so that quotas can be summed. */
    computeQuota(input: SlotQuotaInput): number {
        const { status, slots, hostCount, name } = input;
        const share = slots * this.#settings.overcommitRatio / hostCount + (this.#borrowed.get(name)?.slots ?? 0);
        return Math.min(status.concurrencyLimit, share) / status.slownessFactor;
    }

    /**
     * Adjusts the number of borrowed slots; called regularly.
     * @param hasWaitingRequests Whether requests wait that could use the upstream.
     */
    adjustBorrowing(input: SlotQuotaInput, hasWaitingRequests: boolean, nowMs: number): void {
        const { borrowIntervalMs, overcommitRatio } = this.#settings;
        const borrowed = this.#borrowed.get(input.name) ??
            { slots: 0, saturatedSinceMs: undefined, updatedAtMs: nowMs };
        this.#borrowed.set(input.name, borrowed);
        borrowed.saturatedSinceMs = hasWaitingRequests ? borrowed.saturatedSinceMs ?? nowMs : undefined;
        if (nowMs - borrowed.updatedAtMs < borrowIntervalMs) {
            return;
        }
        borrowed.updatedAtMs = nowMs;
        const freeSlots = input.slots * overcommitRatio - input.ownInFlight - input.status.otherLoad;
        if (!hasWaitingRequests) {
            borrowed.slots /= 2;
        }
        else if (freeSlots < 0) {
            borrowed.slots = Math.max(0, borrowed.slots + freeSlots / input.hostCount);
        }
        else if (this.#hasCurrentReport(borrowed.saturatedSinceMs ?? nowMs, input.status, nowMs)) {
            borrowed.slots = Math.min(input.slots, borrowed.slots + freeSlots / input.hostCount);
        }
    }

    /** Removes upstreams that no longer exist. */
    retain(exists: (name: string) => boolean): void {
        for (const name of [...this.#borrowed.keys()].filter(known => !exists(known))) {
            this.#borrowed.delete(name);
        }
    }

    /** @returns Whether the reported load of other hosts is current, or has had enough time to arrive. */
    #hasCurrentReport(saturatedSinceMs: number, status: UpstreamStatus, nowMs: number): boolean {
        const { borrowIntervalMs } = this.#settings;
        return status.reportedAtMs >= saturatedSinceMs + borrowIntervalMs / 2 ||
            nowMs - saturatedSinceMs >= IntervalsWithoutReport * borrowIntervalMs;
    }
}
