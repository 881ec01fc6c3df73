/** Kernels that share a clock, a change log and a network with cuts, for tests of the config and membership features. */
import { ManualClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { SeededRandom } from "../base/random.js";
import { ConfigController } from "../features/config/configController.js";
import { ConfigSettingsSchema } from "../features/config/configSettings.js";
import type { ReceivedChange } from "../features/config/configTypes.js";
import { MembershipController } from "../features/membership/membershipController.js";
import { MembershipSettingsSchema } from "../features/membership/membershipSettings.js";
import { createBlackboard } from "../kernel/blackboard.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import type { Effect } from "../kernel/effects.js";
import { EffectRunner, Kernel } from "../kernel/kernel.js";
import { decodeReply, decodeRequest, encodeMessage } from "../peer/peerCodec.js";
import type { PeerOutcome } from "../peer/peerMessages.js";
import type { ListedHost, ListOutcome } from "../platform/platformStore.js";

const StepMs = 50;
const WatchIntervalMs = 250;
const ListIntervalMs = 10_000;

type EffectOf<T extends Effect["type"]> = Extract<Effect, { type: T; }>;

/** One start of a host's process. */
export class KernelTestHost extends EffectRunner {
    readonly hostId: string;
    readonly incarnation: string;
    readonly kernel: Kernel;
    readonly #fleet: KernelTestFleet;
    readonly #answers = new Map<string, (payload: Buffer) => void>();
    isRunning = true;
    isPaused = false;
    isStoreReachable = true;
    /** Newest version that the store shows to this host; reads may be stale. */
    newestVisibleVersion = Number.POSITIVE_INFINITY;
    watchedVersion = 0;
    sentBytes = 0;
    largestDigestBytes = 0;

    constructor(fleet: KernelTestFleet, hostId: string, incarnation: string, seed: number) {
        super();
        this.#fleet = fleet;
        this.hostId = hostId;
        this.incarnation = incarnation;
        const membership = MembershipSettingsSchema.parse({ zone: "r1-z1", peerAddress: fleet.addressOf(hostId) });
        this.kernel = new Kernel({
            board: createBlackboard(hostId, incarnation),
            clock: fleet.clock,
            random: new SeededRandom(seed),
            counters: new Counters(),
            createControllers: context => [
                new ConfigController(context, ConfigSettingsSchema.parse({})),
                new MembershipController(context, membership),
            ],
        });
        this.kernel.setEffectRunner(this);
    }

    /** @returns Version in force. */
    get version(): number {
        return this.kernel.board.config.version;
    }

    /** @returns Whether it handles messages now. */
    get isActive(): boolean {
        return this.isRunning && !this.isPaused;
    }

    override run(effect: Effect): void {
        if (effect.type === "peerCall") {
            this.#call(effect);
        }
        else if (effect.type === "peerAnswer") {
            const payload = this.#encode(effect.reply.method, effect.reply.body);
            this.#answers.get(effect.exchangeId)?.(payload);
            this.#answers.delete(effect.exchangeId);
        }
        else if (effect.type === "storeList") {
            const { owner, callId } = effect;
            const outcome: ListOutcome = this.isStoreReachable ?
                { status: "listed", objects: this.#fleet.changesAfter(this, effect.afterKey), more: false } :
                { status: "unavailable", reason: "cut off" };
            this.#fleet.schedule(
                StepMs,
                this,
                () => this.kernel.post({ type: "storeListDone", owner, callId, outcome }),
            );
        }
    }

    /** Handles a call of another host. */
    handleCall(request: PeerRequestReceived["request"], answer: (payload: Buffer) => void): void {
        const exchangeId = this.#fleet.nextId();
        this.#answers.set(exchangeId, answer);
        this.kernel.post({ type: "peerRequested", exchangeId, request });
    }

    #call({ owner, callId, address, request, timeoutMs }: EffectOf<"peerCall">): void {
        const finish = (delayMs: number, outcome: PeerOutcome): void =>
            this.#fleet.schedule(delayMs, this, () => {
                this.kernel.post({ type: "peerCallDone", owner, callId, address, outcome });
            });
        const target = this.#fleet.hostAt(address);
        const payload = this.#encode(request.method, request.body);
        if (target === undefined || !target.isActive || this.#fleet.isPartitioned(this.hostId, target.hostId)) {
            finish(timeoutMs, { status: "failed", reason: "no answer" });
            return;
        }
        this.#fleet.schedule(StepMs, target, () => {
            target.handleCall(decodeRequest(request.method, payload).unwrapOrElse(fail), answer => {
                const reply = decodeReply(request.method, answer).unwrapOrElse(fail);
                finish(StepMs, { status: "replied", reply });
            });
        });
    }

    #encode(method: string, body: unknown): Buffer {
        const payload = encodeMessage(body).unwrapOrElse(fail);
        this.sentBytes += payload.length;
        if (method === "Exchange") {
            this.largestDigestBytes = Math.max(this.largestDigestBytes, payload.length);
        }
        return payload;
    }
}

/** The hosts and what lies between them. */
export class KernelTestFleet {
    readonly clock = new ManualClock();
    readonly hosts = new Map<string, KernelTestHost>();
    /** Hosts that the platform lists, running or not. */
    readonly listedHosts = new Map<string, ListedHost>();
    readonly changeLog: ReceivedChange[] = [];
    /** Part of the network by host id; hosts in different parts do not reach each other. */
    readonly partitionByHost = new Map<string, number>();
    readonly #events: { readonly atMs: number; readonly host: KernelTestHost; readonly run: () => void; }[] = [];
    #idCount = 0;

    /** @returns The live hosts' current processes. */
    get runningHosts(): KernelTestHost[] {
        return [...this.hosts.values()].filter(host => host.isRunning);
    }

    nextId(): string {
        this.#idCount++;
        return `id/${this.#idCount}`;
    }

    addressOf(hostId: string): string {
        return `127.0.0.1:${10_000 + Number(hostId.slice(1))}`;
    }

    hostAt(address: string): KernelTestHost | undefined {
        return this.hosts.get(`h${Number(address.split(":")[1]) - 10_000}`);
    }

    isPartitioned(left: string, right: string): boolean {
        return (this.partitionByHost.get(left) ?? 0) !== (this.partitionByHost.get(right) ?? 0);
    }

    /** Starts a host, or starts it again as a new incarnation. */
    start(hostId: string, prepare: (host: KernelTestHost) => void = () => undefined): KernelTestHost {
        const previous = this.hosts.get(hostId);
        if (previous !== undefined) {
            previous.isRunning = false;
        }
        this.#idCount++;
        const host = new KernelTestHost(this, hostId, `i${this.#idCount}`, this.#idCount);
        prepare(host);
        this.hosts.set(hostId, host);
        const peerAddress = this.addressOf(hostId);
        this.listedHosts.set(hostId, { hostId, zone: "r1-z1", peerAddress, operatorAddress: "", state: "live" });
        this.#sendList(host);
        this.#watch(host);
        return host;
    }

    /** Starts hosts `h0` to `h(count - 1)`. */
    startMany(count: number): void {
        for (let index = 0; index < count; index++) {
            this.start(`h${index}`);
        }
        this.runningHosts.forEach(host => this.#sendList(host));
    }

    /** Writes the next version. */
    commitVersion(): number {
        const version = this.changeLog.length + 1;
        const after = { labels: { version: String(version) } };
        this.changeLog.push({ version, changes: [{ kind: "Team", name: `t${version % 7}`, after }] });
        return version;
    }

    changesAfter(
        host: KernelTestHost,
        afterKey: string,
    ): { key: string; version: number; revision: number; value: unknown; }[] {
        const afterVersion = Number(afterKey.slice(afterKey.lastIndexOf("/") + 1));
        return this.changeLog.filter(change =>
            change.version > afterVersion && change.version <= host.newestVisibleVersion
        )
            .map(change => ({ key: "", version: 1, revision: change.version, value: change }));
    }

    schedule(delayMs: number, host: KernelTestHost, run: () => void): void {
        this.#events.push({ atMs: this.clock.monotonicMs() + delayMs, host, run });
    }

    /** Lets time pass. */
    advance(durationMs: number, onStep: () => void = () => undefined): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += StepMs) {
            this.clock.advance(StepMs);
            const now = this.clock.monotonicMs();
            for (const { host, run } of this.#takeDue(now)) {
                if (host.isActive) {
                    run();
                }
            }
            for (const host of this.runningHosts.filter(host => !host.isPaused)) {
                if (now % WatchIntervalMs === 0) {
                    this.#watch(host);
                }
                if (now % ListIntervalMs === 0) {
                    this.#sendList(host);
                }
                host.kernel.post({ type: "tick" });
            }
            onStep();
        }
    }

    #takeDue(now: number): { readonly host: KernelTestHost; readonly run: () => void; }[] {
        const due = this.#events.filter(event => event.atMs <= now);
        const rest = this.#events.filter(event => event.atMs > now);
        this.#events.splice(0, this.#events.length, ...rest);
        return due;
    }

    #sendList(host: KernelTestHost): void {
        const outcome = host.isStoreReachable ?
            { status: "changed", hosts: [...this.listedHosts.values()], revision: 1 } as const :
            { status: "unavailable", reason: "cut off" } as const;
        host.kernel.post({ type: "hostsListed", outcome });
    }

    #watch(host: KernelTestHost): void {
        if (!host.isStoreReachable) {
            return;
        }
        const changes = this.changeLog.slice(host.watchedVersion).filter(change =>
            change.version <= host.newestVisibleVersion
        );
        const isFirst = host.watchedVersion === 0 && host.version === 0;
        if (changes.length > 0 || isFirst) {
            host.watchedVersion += changes.length;
            host.kernel.post({ type: "configChangesReceived", changes, fromStore: true });
        }
    }
}

function fail(reason: string): never {
    throw new Error(reason);
}
