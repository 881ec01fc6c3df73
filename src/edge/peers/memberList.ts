/** The hosts of the fleet: each writes an object of its own, and reads those of the others when it starts or hears of a new one. */
import { z } from "zod";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore } from "../../platform/platformStore.js";

/** A host of the fleet. */
export const MemberSchema = z.object({
    hostId: z.string(),
    zone: z.string(),
    /** `IP:port` for messages of other hosts. */
    peerAddress: z.string(),
    /** Wall-clock time by the host's own clock, in milliseconds. */
    registeredAtMs: z.number(),
});
export type Member = z.infer<typeof MemberSchema>;

/** Pause after a failed call, in milliseconds. */
const FailurePauseMs = 400;

/**
 * Wait for hosts that start at the same time, in milliseconds: a whole fleet does within 300 ms. A host that is listed for longer
 * shows that the fleet is there.
 */
const SettlingMs = 1_200;
const SettledMs = 5_000;

/** Shortest time between two listings that strangers cause, in milliseconds. */
const StrangerSpacingMs = 2_000;

/** Interval of listings without a cause, in milliseconds: hosts that left are noticed. */
const RefreshIntervalMs = 30_000;

/** Largest page of a listing. */
const PageSize = 500;

/** What the list is built from. */
export interface MemberListDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** Prefix of the hosts' objects; the host's id follows. */
    readonly prefix: string;
    readonly ownHost: Omit<Member, "registeredAtMs">;
}

/** Keeps the list of hosts. */
export class MemberList {
    readonly #dependencies: MemberListDependencies;
    #others: readonly Member[] | undefined;
    #addresses: ReadonlySet<string> = new Set();
    #ownVersion: number | undefined;
    #isCalling = false;
    #isFailing = false;
    #nextCallMs = 0;
    #listedMs = Number.NEGATIVE_INFINITY;
    #hasStranger = false;
    #settledMs = 0;
    readonly #own: Member;

    constructor(dependencies: MemberListDependencies) {
        this.#dependencies = dependencies;
        this.#own = { ...dependencies.ownHost, registeredAtMs: Math.floor(dependencies.clock.wallMs()) };
    }

    /** @returns The other hosts; `undefined` before the first listing. */
    get otherHosts(): readonly Member[] | undefined {
        return this.#others;
    }

    /** @returns Whether an address is another host's. */
    hasAddress(peerAddress: string): boolean {
        return this.#addresses.has(peerAddress);
    }

    /** A message came from an address that is no known host's: a new one may have started. */
    recordUnknownSender(): void {
        this.#hasStranger = true;
    }

    /** Writes and lists when something is due; called every few ten milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        if (this.#isCalling || nowMs < this.#nextCallMs) {
            return;
        }
        const ageMs = nowMs - this.#listedMs;
        if (
            this.#others === undefined || ageMs >= RefreshIntervalMs ||
            (this.#hasStranger && ageMs >= StrangerSpacingMs)
        ) {
            void this.#update();
        }
    }

    /** Takes this host off the list. */
    async unregister(): Promise<void> {
        if (this.#ownVersion !== undefined) {
            await this.#dependencies.store.delete(this.#ownKey, this.#ownVersion);
        }
    }

    get #ownKey(): string {
        return `${this.#dependencies.prefix}${this.#dependencies.ownHost.hostId}`;
    }

    async #update(): Promise<void> {
        this.#isCalling = true;
        try {
            if (this.#ownVersion === undefined) {
                await this.#register();
            }
            else {
                await this.#list();
            }
        }
        catch (error) {
            this.#noteFailure(String(error));
        }
        finally {
            this.#isCalling = false;
        }
    }

    async #register(): Promise<void> {
        const { store, clock } = this.#dependencies;
        const outcome = await store.put(this.#ownKey, this.#own, AbsentVersion);
        if (outcome.status === "applied") {
            this.#ownVersion = outcome.version;
            this.#settledMs = clock.monotonicMs() + SettlingMs;
        }
        else if (outcome.status === "conflict" && outcome.current !== undefined) {
            await this.#replaceOwn(outcome.current.value, outcome.current.version);
        }
        else if (outcome.status !== "conflict") {
            this.#noteFailure(outcome.reason);
        }
    }

    /** A host that is listed already follows a process of its own: the fleet is there. */
    async #replaceOwn(stored: unknown, version: number): Promise<void> {
        const { store } = this.#dependencies;
        const own = this.#own;
        const known = MemberSchema.safeParse(stored);
        if (known.success && known.data.peerAddress === own.peerAddress && known.data.zone === own.zone) {
            this.#ownVersion = version;
            return;
        }
        const outcome = await store.put(this.#ownKey, own, version);
        if (outcome.status === "applied") {
            this.#ownVersion = outcome.version;
        }
        else if (outcome.status !== "conflict") {
            this.#noteFailure(outcome.reason);
        }
    }

    async #list(): Promise<void> {
        const members: Member[] = [];
        let afterKey = "";
        for (let more = true; more;) {
            const page = await this.#dependencies.store.list(this.#dependencies.prefix, afterKey, PageSize);
            if (page.status === "unavailable") {
                this.#noteFailure(page.reason);
                return;
            }
            members.push(...page.objects.flatMap(object => this.#read(object.key, object.value)));
            more = page.more && page.objects.length > 0;
            afterKey = page.objects.at(-1)?.key ?? "";
        }
        this.#take(members);
    }

    #read(key: string, value: unknown): Member[] {
        const member = MemberSchema.safeParse(value);
        if (!member.success) {
            log.warn("host entry ignored", { key, problem: member.error.message });
            return [];
        }
        return [member.data];
    }

    #take(members: readonly Member[]): void {
        this.#isFailing = false;
        const { clock } = this.#dependencies;
        const others = members.filter(({ hostId }) => hostId !== this.#own.hostId);
        const isSettled = others.some(({ registeredAtMs }) => clock.wallMs() - registeredAtMs > SettledMs);
        if (!isSettled && clock.monotonicMs() < this.#settledMs) {
            this.#nextCallMs = this.#settledMs;
            return;
        }
        this.#hasStranger = false;
        this.#listedMs = clock.monotonicMs();
        if (JSON.stringify(others) === JSON.stringify(this.#others)) {
            return;
        }
        log.info("hosts listed", { hosts: others.length + 1, known: this.#addresses.size + 1 });
        this.#others = others;
        this.#addresses = new Set(others.map(({ peerAddress }) => peerAddress));
    }

    #noteFailure(reason: string): void {
        this.#nextCallMs = this.#dependencies.clock.monotonicMs() + FailurePauseMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("hosts cannot be listed", { reason });
        }
    }
}
