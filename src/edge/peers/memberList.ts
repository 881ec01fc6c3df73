/**
 * The hosts of the fleet. Each host writes an object of its own to the store. It lists the others' objects when it starts, when
 * it gets a message from an unknown sender, and periodically.
 */
import { z } from "zod";
import { hasUsablePort } from "../../base/address.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore } from "../../platform/platformStore.js";

/** A host of the fleet, as stored. */
export const MemberSchema = z.object({
    hostId: z.string(),
    zone: z.string(),
    /** `IP:port` for messages of other hosts. */
    peerAddress: z.string().refine(hasUsablePort, "must be IP:port"),
    /** Wall-clock time at which the host's process created its entry, by the host's own clock, in milliseconds. */
    registeredAtMs: z.number(),
});
export type Member = z.infer<typeof MemberSchema>;

/** Pause after a failed call, in milliseconds. */
const FailurePauseMs = 400;

/** Wait for other hosts that start at the same time, in milliseconds: the hosts of a whole fleet start within 300 ms. */
const StartupWaitMs = 1_200;
/** Age of a host's entry from which it shows that the fleet is already running, so that there is no wait, in milliseconds. */
const EstablishedHostAgeMs = 5_000;

/** Minimum time between two listings that messages from unknown senders cause, in milliseconds. */
const MinUnknownSenderListingIntervalMs = 2_000;

/** Interval of periodic listings, in milliseconds; they detect hosts that have left the fleet. */
const RefreshIntervalMs = 30_000;

/** Maximum number of objects on one page of a listing. */
const PageSize = 500;

/** Collaborators of {@link MemberList}, and this host's entry. */
export interface MemberListDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** Prefix of the keys of the hosts' objects; the host's id follows. */
    readonly prefix: string;
    readonly ownHost: Omit<Member, "registeredAtMs">;
}

/** Registers this host in the store and keeps the list of the other hosts. A failed call is retried after a pause. */
export class MemberList {
    readonly #dependencies: MemberListDependencies;
    #otherHosts: readonly Member[] | undefined;
    #addresses: ReadonlySet<string> = new Set();
    #ownVersion: number | undefined;
    #isUpdating = false;
    #isFailing = false;
    #nextCallMs = 0;
    #lastListingMs = Number.NEGATIVE_INFINITY;
    #hasUnknownSender = false;
    #startupWaitEndMs = 0;
    readonly #ownMember: Member;

    constructor(dependencies: MemberListDependencies) {
        this.#dependencies = dependencies;
        this.#ownMember = { ...dependencies.ownHost, registeredAtMs: Math.floor(dependencies.clock.wallMs()) };
    }

    /** @returns The other hosts; `undefined` before the first complete listing. */
    get otherHosts(): readonly Member[] | undefined {
        return this.#otherHosts;
    }

    /** @returns Whether an address belongs to another host of the list. */
    hasAddress(peerAddress: string): boolean {
        return this.#addresses.has(peerAddress);
    }

    /** Must be called when the store has come back from a copy, which may lack this host's entry and others. */
    onStoreRestored(): void {
        this.#ownVersion = undefined;
        this.#hasUnknownSender = true;
        this.#lastListingMs = Number.NEGATIVE_INFINITY;
    }

    /** Records a message from an address of no known host: a new host may have started, so the hosts are listed again. */
    recordUnknownSender(): void {
        this.#hasUnknownSender = true;
    }

    /** Starts the next write or listing when one is due; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        if (this.#isUpdating || nowMs < this.#nextCallMs) {
            return;
        }
        const ageMs = nowMs - this.#lastListingMs;
        if (
            this.#otherHosts === undefined || ageMs >= RefreshIntervalMs ||
            (this.#hasUnknownSender && ageMs >= MinUnknownSenderListingIntervalMs)
        ) {
            void this.#update();
        }
    }

    /** Removes this host's object from the store, if this process knows its version. */
    async unregister(): Promise<void> {
        if (this.#ownVersion !== undefined) {
            await this.#dependencies.store.delete(this.#ownKey, this.#ownVersion);
        }
    }

    get #ownKey(): string {
        return `${this.#dependencies.prefix}${this.#dependencies.ownHost.hostId}`;
    }

    async #update(): Promise<void> {
        this.#isUpdating = true;
        try {
            if (this.#ownVersion === undefined) {
                await this.#register();
            }
            else {
                await this.#list();
            }
        }
        catch (error) {
            this.#recordFailure(String(error));
        }
        finally {
            this.#isUpdating = false;
        }
    }

    async #register(): Promise<void> {
        const { store, clock } = this.#dependencies;
        const outcome = await store.put(this.#ownKey, this.#ownMember, AbsentVersion);
        if (outcome.status === "applied") {
            this.#ownVersion = outcome.version;
            this.#startupWaitEndMs = clock.monotonicMs() + StartupWaitMs;
        }
        else if (outcome.status === "conflict" && outcome.current !== undefined) {
            await this.#replaceOwn(outcome.current.value, outcome.current.version);
        }
        else if (outcome.status !== "conflict") {
            this.#recordFailure(outcome.reason);
        }
    }

    /**
     * Takes over the entry of an earlier process of this host, and rewrites it if the address or the zone has changed. The fleet
     * is already running then, so there is no startup wait.
     */
    async #replaceOwn(stored: unknown, version: number): Promise<void> {
        const { store } = this.#dependencies;
        const own = this.#ownMember;
        const parsed = MemberSchema.safeParse(stored);
        if (parsed.success && parsed.data.peerAddress === own.peerAddress && parsed.data.zone === own.zone) {
            this.#ownVersion = version;
            return;
        }
        const outcome = await store.put(this.#ownKey, own, version);
        if (outcome.status === "applied") {
            this.#ownVersion = outcome.version;
        }
        else if (outcome.status !== "conflict") {
            this.#recordFailure(outcome.reason);
        }
    }

    async #list(): Promise<void> {
        const members: Member[] = [];
        let afterKey = "";
        for (let more = true; more;) {
            const page = await this.#dependencies.store.list(this.#dependencies.prefix, afterKey, PageSize);
            if (page.status === "unavailable") {
                this.#recordFailure(page.reason);
                return;
            }
            members.push(...page.objects.flatMap(object => this.#parseMember(object.key, object.value)));
            more = page.more && page.objects.length > 0;
            afterKey = page.objects.at(-1)?.key ?? "";
        }
        this.#applyListing(members);
    }

    #parseMember(key: string, value: unknown): Member[] {
        const member = MemberSchema.safeParse(value);
        if (!member.success) {
            log.warn("host entry ignored", { key, problem: member.error.message });
            return [];
        }
        return [member.data];
    }

    #applyListing(members: readonly Member[]): void {
        this.#isFailing = false;
        const { clock } = this.#dependencies;
        const others = members.filter(({ hostId }) => hostId !== this.#ownMember.hostId);
        const isEstablished = others.some(({ registeredAtMs }) =>
            clock.wallMs() - registeredAtMs > EstablishedHostAgeMs
        );
        if (!isEstablished && clock.monotonicMs() < this.#startupWaitEndMs) {
            this.#nextCallMs = this.#startupWaitEndMs;
            return;
        }
        this.#hasUnknownSender = false;
        this.#lastListingMs = clock.monotonicMs();
        if (JSON.stringify(others) === JSON.stringify(this.#otherHosts)) {
            return;
        }
        log.info("hosts listed", { hosts: others.length + 1, known: this.#addresses.size + 1 });
        this.#otherHosts = others;
        this.#addresses = new Set(others.map(({ peerAddress }) => peerAddress));
    }

    #recordFailure(reason: string): void {
        this.#nextCallMs = this.#dependencies.clock.monotonicMs() + FailurePauseMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("hosts cannot be listed", { reason });
        }
    }
}
