/** The platform stand-in's list of hosts: made from calls seen lately, and shown with a lag. */
import type { Clock } from "../../base/clock.js";
import type { ListedHost } from "../../platform/platformStore.js";

/** Timing of the list. */
export interface HostRegistrySettings {
    /** Time until a change shows on the list. */
    readonly hostListLagMs: number;
    /** Time without calls after which a host is taken off the list. */
    readonly hostExpiryMs: number;
}

/** State that an administrator can set; `gone` takes a host off the list until it calls again. */
export type AdminHostState = ListedHost["state"] | "gone";

interface PendingChange {
    readonly dueMs: number;
    readonly hostId: string;
    readonly host: ListedHost | undefined;
}

/** Hosts by id, as they are and as the list shows them. */
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

    /** Notes a call of a host. */
    recordCall(host: ListedHost): void {
        this.#lastSeenMs.set(host.hostId, this.#clock.monotonicMs());
        const state = this.#adminLeaving.has(host.hostId) ? "leaving" : host.state;
        this.#change(host.hostId, { ...host, state });
    }

    /** Sets the state of a host on behalf of an administrator. */
    setState(hostId: string, state: AdminHostState): void {
        this.#adminLeaving.delete(hostId);
        const host = this.#actual.get(hostId);
        if (state === "leaving") {
            this.#adminLeaving.add(hostId);
        }
        if (host !== undefined) {
            this.#change(hostId, state === "gone" ? undefined : { ...host, state });
        }
    }

    /** @returns The list as it is shown now, with its revision. */
    list(): { readonly hosts: readonly ListedHost[]; readonly revision: number; } {
        const nowMs = this.#clock.monotonicMs();
        for (const [hostId, lastSeenMs] of this.#lastSeenMs) {
            if (lastSeenMs + this.#settings.hostExpiryMs < nowMs) {
                this.#change(hostId, undefined);
                this.#lastSeenMs.delete(hostId);
            }
        }
        while (this.#pending.length > 0 && this.#pending[0]!.dueMs <= nowMs) {
            this.#show(this.#pending.shift()!);
        }
        return { hosts: [...this.#visible.values()], revision: this.#revision };
    }

    #change(hostId: string, host: ListedHost | undefined): void {
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

    #show(change: PendingChange): void {
        this.#revision++;
        if (change.host === undefined) {
            this.#visible.delete(change.hostId);
        }
        else {
            this.#visible.set(change.hostId, change.host);
        }
    }
}
