/** Decides when the evacuation of one availability zone is in effect on every host, from the hosts' confirmations. */

/** What operators see of an evacuation. */
export interface EvacuationStatus {
    /** Whether every listed host has confirmed the evacuation, or has been silent for so long that it cannot act on it in time. */
    readonly holds: boolean;
    /** Number of listed hosts. */
    readonly hosts: number;
    /** Ids of the listed hosts that have not confirmed it. */
    readonly unconfirmed: readonly string[];
}

/** A set of evacuated zones that a host states to be in force there. */
export interface HostStatement {
    readonly hostId: string;
    readonly zones: readonly string[];
    readonly version: number;
}

/** Collects the confirmations for one zone. */
export class EvacuationConfirmations {
    readonly #zone: string;
    readonly #startVersion: number;
    readonly #silentMs: number;
    readonly #confirmedHosts = new Set<string>();
    /** Monotonic time at which a host was last heard, or was first listed, in milliseconds. */
    readonly #heardAtMs = new Map<string, number>();
    #hasHeld = false;

    /**
     * @param startVersion Version of the first set with the zone; a statement of an older set belongs to an earlier evacuation.
     * @param silentMs Time without a statement after which a host counts as silent, in milliseconds.
     */
    constructor(zone: string, startVersion: number, silentMs: number) {
        this.#zone = zone;
        this.#startVersion = startVersion;
        this.#silentMs = silentMs;
    }

    /** Records what a host states. */
    record({ hostId, zones, version }: HostStatement, nowMs: number): void {
        this.#heardAtMs.set(hostId, nowMs);
        if (version >= this.#startVersion && zones.includes(this.#zone)) {
            this.#confirmedHosts.add(hostId);
        }
    }

    /** @returns The hosts of a list that have not confirmed the evacuation, in the order of their ids. */
    unconfirmedOf(hostIds: readonly string[]): string[] {
        return hostIds.filter(hostId => !this.#confirmedHosts.has(hostId)).sort();
    }

    /**
     * An evacuation that holds goes on to do so: a host that is listed later started with the set.
     * @param hostIds Ids of the listed hosts.
     */
    statusOf(hostIds: readonly string[], nowMs: number): EvacuationStatus {
        const unconfirmed = this.unconfirmedOf(hostIds);
        const speaking = unconfirmed.filter(hostId => {
            const heardAtMs = this.#heardAtMs.get(hostId) ?? nowMs;
            this.#heardAtMs.set(hostId, heardAtMs);
            return nowMs - heardAtMs < this.#silentMs;
        });
        this.#hasHeld ||= speaking.length === 0;
        return { holds: this.#hasHeld, hosts: hostIds.length, unconfirmed };
    }
}
