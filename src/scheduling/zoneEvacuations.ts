/** Decides to which availability zones requests may be sent while operators evacuate some of them. */

/**
 * Maximum time after a suspension for which an unconfirmed set withholds sends, in milliseconds. A host that reaches neither the store
 * nor another host goes on with the set that it had.
 */
const MaxUnconfirmedMs = 1_000;

/** Zones whose evacuation has begun or ended with a new set. */
export interface EvacuationChange {
    readonly started: readonly string[];
    readonly ended: readonly string[];
}

/**
 * The set of evacuated zones as of a version of the store. Versions contain the store's history in front, so that every version of a
 * later history is newer; see `storeHistory.ts`. All hosts read the same sequence of sets, so that the newest version is right.
 */
export class ZoneEvacuations {
    #zones: ReadonlySet<string> = new Set();
    #version: number | undefined;
    /** Version of the first set of this host that contained the zone, for the zones of the current set. */
    readonly #startVersions = new Map<string, number>();
    #endedAtMs = Number.NEGATIVE_INFINITY;
    #unconfirmedUntilMs = Number.NEGATIVE_INFINITY;

    /** @returns Whether a set is known. */
    get isInformed(): boolean {
        return this.#version !== undefined;
    }

    /** @returns Version of the store of which the set is; `undefined` before the first set. */
    get version(): number | undefined {
        return this.#version;
    }

    /** @returns The evacuated zones. */
    get zones(): ReadonlySet<string> {
        return this.#zones;
    }

    /** @returns Whether the zone is evacuated by the current set. */
    isEvacuated(zone: string): boolean {
        return this.#zones.has(zone);
    }

    /** @returns Version of the first known set with the zone; `undefined` for a zone that is not evacuated. */
    startVersionOf(zone: string): number | undefined {
        return this.#startVersions.get(zone);
    }

    /**
     * @param recentMs Time for which an evacuation counts as recent after its end, in milliseconds.
     * @returns Whether a zone is evacuated or was recently.
     */
    isActive(nowMs: number, recentMs: number): boolean {
        return this.#zones.size > 0 || nowMs - this.#endedAtMs < recentMs;
    }

    /**
     * @param nowMs Monotonic time, in milliseconds.
     * @returns Whether sends may rely on the set: one is known, and it is not in doubt after a suspension.
     */
    isReliable(nowMs: number): boolean {
        return this.isInformed && !this.isUnconfirmed(nowMs);
    }

    /** @returns Whether the set is in doubt after a suspension. */
    isUnconfirmed(nowMs: number): boolean {
        return nowMs < this.#unconfirmedUntilMs;
    }

    /**
     * Replaces the whole set, unless the current one has a newer version.
     * @param version Version of the store as of which the set is complete.
     * @param nowMs Monotonic time, in milliseconds.
     * @returns What has changed; `undefined` if the set is older than the current one and was ignored.
     */
    replaceAll(zones: Iterable<string>, version: number, nowMs: number): EvacuationChange | undefined {
        if (this.#version !== undefined && version < this.#version) {
            return undefined;
        }
        const previous = this.#zones;
        this.#version = version;
        this.#zones = new Set(zones);
        const started = [...this.#zones].filter(zone => !previous.has(zone));
        const ended = [...previous].filter(zone => !this.#zones.has(zone));
        started.forEach(zone => this.#startVersions.set(zone, version));
        ended.forEach(zone => this.#startVersions.delete(zone));
        this.#endedAtMs = ended.length > 0 ? nowMs : this.#endedAtMs;
        return { started, ended };
    }

    /** Puts the set in doubt: the host was suspended and may have missed changes. */
    onSuspended(nowMs: number): void {
        this.#unconfirmedUntilMs = nowMs + MaxUnconfirmedMs;
    }

    /** Records that the store, or another host, has stated the set after the suspension. */
    confirm(): void {
        this.#unconfirmedUntilMs = Number.NEGATIVE_INFINITY;
    }
}
