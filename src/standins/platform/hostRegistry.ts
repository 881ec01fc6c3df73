/** Host list of the platform stand-in: built from recent calls and published with a delay. */
import type { Clock } from "../../base/clock.js";
import type { ListedHost } from "../../platform/platformStore.js";

/** Timing of the host list. */
export interface HostRegistrySettings {
    /** Delay until a change is visible in the list, in milliseconds. */
    readonly hostListLagMs: number;
    /** Time without calls after which a host is removed from the list, in milliseconds. */
    readonly hostExpiryMs: number;
}

/** State that an administrator can set; `gone` removes a host from the list until it calls again. */
export type AdminHostState = ListedHost["state"] | "gone";

/** A change that becomes visible at `dueMs`; without a host it is a removal. */
interface PendingChange {
    readonly dueMs: number;
    readonly hostId: string;
    readonly host: ListedHost | undefined;
}

/** Tracks the current state of each host and the delayed view of it that the list returns. */
export class HostRegistry {
    readonly #settings: HostRegistrySettings;
    readonly #clock: Clock;
    readonly #actual = new Map<string, ListedHost>();
    readonly #lastSeenMs = new Map<string, number>();
    readonly #adminLeaving = new Set<string>();
    readonly #visible = new Map<string, ListedHost>();
    readonly #pending: PendingChange[] = [];
    #revision = 0;

    constructor(settings: HostRegistrySettings, clock: Clock) {
        this.#settings = settings;
        this.#clock = clock;
    }

    /** Records a call of a host, which adds it to the list or updates its entry. */
    recordCall(host: ListedHost): void {
        this.#lastSeenMs.set(host.hostId, this.#clock.monotonicMs());
        const state = this.#adminLeaving.has(host.hostId) ? "leaving" : host.state;
        this.#scheduleChange(host.hostId, { ...host, state });
    }

    /** Sets the state of a host on behalf of an administrator; `leaving` stays in force until another state is set. */
    setState(hostId: string, state: AdminHostState): void {
        this.#adminLeaving.delete(hostId);
        const host = this.#actual.get(hostId);
        if (state === "leaving") {
            this.#adminLeaving.add(hostId);
        }
        if (host !== undefined) {
            this.#scheduleChange(hostId, state === "gone" ? undefined : { ...host, state });
        }
    }

    /** @returns The hosts that are visible now and the revision of the list. Removes hosts that have expired. */
    list(): { readonly hosts: readonly ListedHost[]; readonly revision: number; } {
        const nowMs = this.#clock.monotonicMs();
        for (const [hostId, lastSeenMs] of this.#lastSeenMs) {
            if (lastSeenMs + this.#settings.hostExpiryMs < nowMs) {
                this.#scheduleChange(hostId, undefined);
                this.#lastSeenMs.delete(hostId);
            }
        }
        while (this.#pending.length > 0 && this.#pending[0]!.dueMs <= nowMs) {
            this.#applyChange(this.#pending.shift()!);
        }
        return { hosts: [...this.#visible.values()], revision: this.#revision };
    }

    #scheduleChange(hostId: string, host: ListedHost | undefined): void {
        if (JSON.stringify(this.#actual.get(hostId)) === JSON.stringify(host)) {
            return;
        }
        if (host === undefined) {
            this.#actual.delete(hostId);
        }
        else {
            this.#actual.set(hostId, host);
        }
        this.#pending.push({ dueMs: this.#clock.monotonicMs() + this.#settings.hostListLagMs, hostId, host });
    }

    #applyChange(change: PendingChange): void {
        this.#revision++;
        if (change.host === undefined) {
            this.#visible.delete(change.hostId);
        }
        else {
            this.#visible.set(change.hostId, change.host);
        }
    }
}
