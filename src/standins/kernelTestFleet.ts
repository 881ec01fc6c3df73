/** Kernels that share a clock, a change log and a network with partitions, for tests of the config and membership features. */
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

/** One process of a host; a restart creates a new one. */
export class KernelTestHost extends EffectRunner {
    readonly hostId: string;
    readonly incarnation: string;
    readonly kernel: Kernel;
    readonly #fleet: KernelTestFleet;
    readonly #replyHandlers = new Map<string, (payload: Buffer) => void>();
    /** False once the host has stopped or was restarted as another process. */
    isRunning = true;
    /** A paused process gets no ticks and loses the messages that arrive. */
    isPaused = false;
    isStoreReachable = true;
    /** Newest version that the store returns to this host; older versions than the newest make its reads stale. */
    newestVisibleVersion = Number.POSITIVE_INFINITY;
    /** Number of changes that the watch has delivered. */
    watchedVersion = 0;
    /** Bytes of all messages that the host sent to other hosts. */
    sentBytes = 0;
    /** Size of the largest `Exchange` message that the host sent. */
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

    /** @returns Configuration version in force. */
    get version(): number {
        return this.kernel.board.config.version;
    }

    /** @returns Whether the process handles messages now. */
    get isActive(): boolean {
        return this.isRunning && !this.isPaused;
    }

    override run(effect: Effect): void {
        if (effect.type === "peerCall") {
            this.#call(effect);
        }
        else if (effect.type === "peerReply") {
            const payload = this.#encode(effect.reply.method, effect.reply.body);
            this.#replyHandlers.get(effect.exchangeId)?.(payload);
            this.#replyHandlers.delete(effect.exchangeId);
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

    /**
     * Handles a call of another host.
     * @param sendReply Receives the encoded reply.
     */
    handleCall(request: PeerRequestReceived["request"], sendReply: (payload: Buffer) => void): void {
        const exchangeId = this.#fleet.nextId();
        this.#replyHandlers.set(exchangeId, sendReply);
        this.kernel.post({ type: "peerRequestReceived", exchangeId, request });
    }

    #call({ owner, callId, address, request, timeoutMs }: EffectOf<"peerCall">): void {
        const finish = (delayMs: number, outcome: PeerOutcome): void =>
            this.#fleet.schedule(delayMs, this, () => {
                this.kernel.post({ type: "peerCallDone", owner, callId, address, outcome });
            });
        const target = this.#fleet.hostAt(address);
        const payload = this.#encode(request.method, request.body);
        if (target === undefined || !target.isActive || this.#fleet.isPartitioned(this.hostId, target.hostId)) {
            finish(timeoutMs, { status: "failed", reason: "no reply" });
            return;
        }
        this.#fleet.schedule(StepMs, target, () => {
            target.handleCall(decodeRequest(request.method, payload).unwrapOrElse(fail), replyPayload => {
                const reply = decodeReply(request.method, replyPayload).unwrapOrElse(fail);
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

/** The hosts, the network between them, the host list and the change log of the store. */
export class KernelTestFleet {
    readonly clock = new ManualClock();
    readonly hosts = new Map<string, KernelTestHost>();
    /** Hosts on the host list of the platform, whether they run or not. */
    readonly listedHosts = new Map<string, ListedHost>();
    /** Configuration changes in the store, oldest first. */
    readonly changeLog: ReceivedChange[] = [];
    /** Network partition by host id, 0 by default; hosts in different partitions do not reach each other. */
    readonly partitionByHost = new Map<string, number>();
    readonly #events: { readonly atMs: number; readonly host: KernelTestHost; readonly run: () => void; }[] = [];
    #idCount = 0;

    /** @returns The processes that run, paused ones included. */
    get runningHosts(): KernelTestHost[] {
        return [...this.hosts.values()].filter(host => host.isRunning);
    }

    /** @returns An id that is unique in the fleet. */
    nextId(): string {
        this.#idCount++;
        return `id/${this.#idCount}`;
    }

    /** @returns Peer address of a host; the port follows from the number in its id. */
    addressOf(hostId: string): string {
        return `127.0.0.1:${10_000 + Number(hostId.slice(1))}`;
    }

    /** @returns The newest process at a peer address. */
    hostAt(address: string): KernelTestHost | undefined {
        return this.hosts.get(`h${Number(address.split(":")[1]) - 10_000}`);
    }

    /** @returns Whether two hosts are in different network partitions. */
    isPartitioned(left: string, right: string): boolean {
        return (this.partitionByHost.get(left) ?? 0) !== (this.partitionByHost.get(right) ?? 0);
    }

    /**
     * Starts a host, or restarts it as a new incarnation.
     * @param prepare Called with the new process before it receives anything.
     */
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
        this.#postHostList(host);
        this.#postConfigChanges(host);
        return host;
    }

    /** Starts hosts `h0` to `h(count - 1)`. */
    startMany(count: number): void {
        for (let index = 0; index < count; index++) {
            this.start(`h${index}`);
        }
        this.runningHosts.forEach(host => this.#postHostList(host));
    }

    /**
     * Appends the next configuration version to the change log.
     * @returns The version.
     */
    commitVersion(): number {
        const version = this.changeLog.length + 1;
        const after = { labels: { version: String(version) } };
        this.changeLog.push({ version, changes: [{ kind: "Team", name: `t${version % 7}`, after }] });
        return version;
    }

    /** @returns The changes after a key, as far as the store shows them to the host. */
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

    /** Runs a function after a delay if the process handles messages then; otherwise it is dropped. */
    schedule(delayMs: number, host: KernelTestHost, run: () => void): void {
        this.#events.push({ atMs: this.clock.monotonicMs() + delayMs, host, run });
    }

    /** Advances the clock in steps of 50 ms; runs the due events, watches, host lists and ticks of each step. */
    advance(durationMs: number, onStep: () => void = () => undefined): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += StepMs) {
            this.clock.advance(StepMs);
            const nowMs = this.clock.monotonicMs();
            for (const { host, run } of this.#takeDue(nowMs)) {
                if (host.isActive) {
                    run();
                }
            }
            for (const host of this.runningHosts.filter(host => !host.isPaused)) {
                if (nowMs % WatchIntervalMs === 0) {
                    this.#postConfigChanges(host);
                }
                if (nowMs % ListIntervalMs === 0) {
                    this.#postHostList(host);
                }
                host.kernel.post({ type: "tick" });
            }
            onStep();
        }
    }

    #takeDue(nowMs: number): { readonly host: KernelTestHost; readonly run: () => void; }[] {
        const due = this.#events.filter(event => event.atMs <= nowMs);
        const notDue = this.#events.filter(event => event.atMs > nowMs);
        this.#events.splice(0, this.#events.length, ...notDue);
        return due;
    }

    #postHostList(host: KernelTestHost): void {
        const outcome = host.isStoreReachable ?
            { status: "changed", hosts: [...this.listedHosts.values()], revision: 1 } as const :
            { status: "unavailable", reason: "cut off" } as const;
        host.kernel.post({ type: "hostsListed", outcome });
    }

    #postConfigChanges(host: KernelTestHost): void {
        if (!host.isStoreReachable) {
            return;
        }
        const changes = this.changeLog.slice(host.watchedVersion).filter(change =>
            change.version <= host.newestVisibleVersion
        );
        const isFirstWatch = host.watchedVersion === 0 && host.version === 0;
        if (changes.length > 0 || isFirstWatch) {
            host.watchedVersion += changes.length;
            host.kernel.post({ type: "configChangesReceived", changes, fromStore: true });
        }
    }
}

function fail(reason: string): never {
    throw new Error(reason);
}
