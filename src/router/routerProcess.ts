/** The router process: listeners, kernel and gateway. Several can live in one operating system process. */
import type { Socket } from "node:net";
import { type Clock, SystemClock } from "../base/clock.js";
import { Counters, startMetrics } from "../base/counters.js";
import { log } from "../base/log.js";
import { NetworkByteCounter } from "../base/networkByteCounter.js";
import { type Random, SystemRandom } from "../base/random.js";
import { createControllerFactory } from "../features/registry.js";
import { getCallerMemoryBytes } from "../gateway/callerLimits.js";
import { CallerServer } from "../gateway/callerServer.js";
import type { RoutePlanner } from "../gateway/gatewayTypes.js";
import { LoadPoller } from "../gateway/loadPoller.js";
import { UndiciUpstreamClient } from "../gateway/undiciUpstreamClient.js";
import { createBlackboard } from "../kernel/blackboard.js";
import { ControllerClient } from "../kernel/controllerClient.js";
import type { Notification } from "../kernel/effects.js";
import { TickIntervalMs } from "../kernel/events.js";
import { type ControllerFactory, Kernel } from "../kernel/kernel.js";
import type { ListedHost } from "../platform/platformStore.js";
import { CallerMemory } from "../scheduling/callerMemory.js";
import { ParseScheduler } from "../scheduling/parseScheduler.js";
import { OperatorServer } from "./operatorServer.js";
import type { RouterDependencies, RouterDependenciesFactory } from "./routerDependencies.js";
import { RouterEffectRunner } from "./routerEffectRunner.js";
import type { RouterSettings } from "./routerSettings.js";

/** Addresses of a router's listeners, as `IP:port`. */
export interface RouterAddresses {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}

/** Collaborators of {@link RouterProcess} that are not part of its settings. */
export interface RouterOptions {
    readonly createDependencies: RouterDependenciesFactory;
    readonly planRoute: RoutePlanner;
    /** Creates the controllers; the default is those of the feature registry. */
    readonly createControllers?: ControllerFactory;
}

/** Number of hexadecimal digits of the random part of an incarnation. */
const IncarnationDigits = 6;

/** Maximum wait for callers to receive their responses after the last request has ended. */
const ListenerStopMs = 5_000;

/** One router: owns the listeners, the kernel, the effect runner and the watchers, and starts and stops them in order. */
export class RouterProcess {
    readonly #settings: RouterSettings;
    readonly #options: RouterOptions;
    readonly #clock: Clock = new SystemClock();
    readonly #random: Random = new SystemRandom();
    readonly #counters = new Counters();
    readonly #networkByteCounter = new NetworkByteCounter(socket => !this.#isOperatorSocket(socket));
    readonly #callerMemory: CallerMemory;
    readonly #parsing: ParseScheduler;
    readonly #dependencies: RouterDependencies;
    readonly #operatorServer: OperatorServer;
    readonly #upstreamClient: UndiciUpstreamClient;
    #kernel: Kernel | undefined;
    #effectRunner: RouterEffectRunner | undefined;
    #callerServer: CallerServer | undefined;
    #loadPoller: LoadPoller | undefined;
    #addresses: RouterAddresses | undefined;
    #tickTimer: NodeJS.Timeout | undefined;
    #stopMetrics: () => void = () => undefined;
    #resolveDrained: () => void = () => undefined;
    /** Resolves when the lifecycle controller reports that the shutdown is complete. */
    readonly drained: Promise<void>;

    constructor(settings: RouterSettings, options: RouterOptions) {
        this.#settings = settings;
        this.#options = options;
        this.#dependencies = options.createDependencies({
            clock: this.#clock,
            random: this.#random,
            counters: this.#counters,
            getHostIdentity: () => this.#getHostIdentity(),
        });
        this.#upstreamClient = new UndiciUpstreamClient(settings.gateway);
        this.#callerMemory = new CallerMemory(getCallerMemoryBytes(settings.gateway), this.#clock);
        this.#parsing = new ParseScheduler(this.#clock, settings.gateway);
        const collaborators = {
            memory: this.#callerMemory,
            parsing: this.#parsing,
            clock: this.#clock,
            counters: this.#counters,
        };
        this.#operatorServer = new OperatorServer(settings.operator, collaborators, {
            dumpState: () => this.dumpState(),
            readMetrics: () => this.#readMetrics(),
            drain: () => this.drain(),
            readReadiness: () => this.readReadiness(),
        });
        this.drained = new Promise(resolve => {
            this.#resolveDrained = resolve;
        });
    }

    /**
     * @returns Addresses of the listeners.
     * @throws Error when the router has not started.
     */
    get addresses(): RouterAddresses {
        if (this.#addresses === undefined) {
            throw new Error("the router has not started");
        }
        return this.#addresses;
    }

    /**
     * Opens the listeners and starts the kernel.
     * @throws Error when a listener cannot be opened; listeners that are already open are closed first.
     */
    async start(): Promise<void> {
        try {
            await this.#open();
        }
        catch (error) {
            await this.kill();
            throw error;
        }
    }

    async #open(): Promise<void> {
        const { caller, operator } = this.#settings;
        // The controllers announce the addresses of the peer and operator listeners, so these are opened first.
        const peerPort = await this.#dependencies.peerTransport.start(event => this.#kernel?.post(event));
        const operatorPort = await this.#operatorServer.start();
        const peerAddress = `${this.#getAdvertisedHost(this.#settings.peer.listenHost)}:${peerPort}`;
        const operatorAddress = `${this.#getAdvertisedHost(operator.host)}:${operatorPort}`;
        const { kernel, controllerClient } = this.#createKernel(peerAddress, operatorAddress);
        const callerServer = new CallerServer({
            kernel,
            controllerClient,
            upstreamClient: this.#upstreamClient,
            callerMemory: this.#callerMemory,
            parsing: this.#parsing,
            clock: this.#clock,
            random: this.#random,
            settings: this.#settings.gateway,
            planRoute: this.#options.planRoute,
        });
        this.#callerServer = callerServer;
        const address = await callerServer.start(caller.host, caller.port);
        this.#addresses = { caller: address, operator: operatorAddress, peer: peerAddress };
        this.#startBackgroundWork(kernel);
    }

    /** Begins a graceful shutdown; {@link drained} resolves when it is complete. */
    drain(): void {
        this.#kernel?.post({ type: "shutdownRequested" });
    }

    /**
     * Shuts down gracefully within `shutdownTimeoutMs`: serves until the balancer has stopped sending requests, finishes the
     * streams and returns the budget shares. Streams that take too long are cut early enough to return the shares.
     */
    async stop(): Promise<void> {
        const timeoutMs = this.#settings.shutdownTimeoutMs;
        const endsAtMs = this.#clock.monotonicMs() + timeoutMs;
        this.#kernel?.post({ type: "shutdownRequested", timeoutMs });
        await withTimeout(this.drained, timeoutMs);
        const listenerStopMs = Math.max(0, Math.min(ListenerStopMs, endsAtMs - this.#clock.monotonicMs()));
        await withTimeout(this.#callerServer?.stop() ?? Promise.resolve(), listenerStopMs);
        await this.kill();
        log.info("router stopped", { hostId: this.#settings.hostId });
    }

    /** Stops at once, like a killed process: streams are interrupted and nothing more is written. */
    async kill(): Promise<void> {
        clearInterval(this.#tickTimer);
        this.#stopMetrics();
        this.#effectRunner?.stop();
        this.#loadPoller?.stop();
        for (const watcher of this.#dependencies.watchers) {
            watcher.stop();
        }
        this.#callerServer?.destroy();
        await Promise.all([
            this.#callerServer?.stop(),
            this.#operatorServer.stop(),
            this.#upstreamClient.close(),
            this.#dependencies.peerTransport.stop(),
        ]);
        await this.#dependencies.closePlatformConnections();
        this.#networkByteCounter.stop();
    }

    #isOperatorSocket(socket: Socket): boolean {
        return this.#addresses?.operator.endsWith(`:${socket.localPort}`) ?? false;
    }

    /** @returns The complete state of the process, as a JSON value. */
    dumpState(): unknown {
        return { hostId: this.#settings.hostId, addresses: this.#addresses, ...(this.#kernel?.dumpState() ?? {}) };
    }

    /** @returns Whether a request could run now, and the reasons if not. */
    readReadiness(): { ready: boolean; phase: string; reasons: readonly string[]; } {
        const lifecycle = this.#kernel?.board.lifecycle;
        return lifecycle === undefined ?
            { ready: false, phase: "starting", reasons: ["starting"] } :
            { ready: lifecycle.ready, phase: lifecycle.phase, reasons: lifecycle.reasons };
    }

    /**
     * @returns The kernel, for tests.
     * @throws Error when the router has not started.
     */
    get kernel(): Kernel {
        if (this.#kernel === undefined) {
            throw new Error("the router has not started");
        }
        return this.#kernel;
    }

    #createKernel(
        peerAddress: string,
        operatorAddress: string,
    ): { kernel: Kernel; controllerClient: ControllerClient; } {
        const { hostId } = this.#settings;
        const incarnation = `${Math.floor(this.#clock.wallMs()).toString(36)}${this.#random.hex(IncarnationDigits)}`;
        const features = addAnnouncedAddresses(this.#settings, peerAddress, operatorAddress);
        const kernel = new Kernel({
            board: createBlackboard(hostId, incarnation),
            clock: this.#clock,
            random: this.#random,
            counters: this.#counters,
            createControllers: this.#options.createControllers ?? createControllerFactory(features),
        });
        const controllerClient = new ControllerClient(kernel);
        this.#effectRunner = new RouterEffectRunner({
            store: this.#dependencies.store,
            peerClient: this.#dependencies.peerTransport.client,
            post: event => kernel.post(event),
            notify: notification => this.#notify(controllerClient, notification),
            replyToPeer: (exchangeId, reply) => this.#dependencies.peerTransport.reply(exchangeId, reply),
        });
        kernel.setEffectRunner(this.#effectRunner);
        this.#kernel = kernel;
        return { kernel, controllerClient };
    }

    /** The operators' connections are not counted, so that reading the counters does not change them. */
    #readMetrics(): Record<string, number> {
        const { receivedBytes, sentBytes } = this.#networkByteCounter.totals();
        this.#counters.set("network.receivedBytes", receivedBytes);
        this.#counters.set("network.sentBytes", sentBytes);
        this.#counters.set("callerMemory.heldBytes", this.#callerMemory.heldBytes);
        this.#counters.set("callerMemory.evicted", this.#callerMemory.evictedCount);
        this.#counters.set("parsing.waiting", this.#parsing.waitingCount);
        this.#counters.set("parsing.evicted", this.#parsing.evictedCount);
        return this.#counters.snapshot();
    }

    #notify(controllerClient: ControllerClient, notification: Notification): void {
        if (notification.type === "shutdownCompleted") {
            this.#resolveDrained();
        }
        else if (notification.type === "requestsLimited") {
            this.#callerServer?.limitWaits();
        }
        else if (notification.type === "requestsEnded") {
            this.#callerServer?.interruptRequests();
        }
        controllerClient.handleNotification(notification);
    }

    #startBackgroundWork(kernel: Kernel): void {
        this.#loadPoller = new LoadPoller(kernel, this.#upstreamClient, this.#settings.gateway.loadPollMs);
        this.#loadPoller.start();
        for (const watcher of this.#dependencies.watchers) {
            watcher.start({ board: kernel.board, post: event => kernel.post(event) });
        }
        this.#tickTimer = setInterval(() => {
            kernel.post({ type: "tick" });
            this.#callerMemory.evictStalled(this.#settings.gateway.scarceMemoryStallMs);
        }, TickIntervalMs);
        this.#stopMetrics = startMetrics(this.#counters, this.#settings.metrics);
        log.info("router listens", { hostId: this.#settings.hostId, ...this.#addresses });
    }

    #getHostIdentity(): ListedHost | undefined {
        if (this.#addresses === undefined || this.#kernel === undefined) {
            return undefined;
        }
        const { phase } = this.#kernel.board.lifecycle;
        return {
            hostId: this.#settings.hostId,
            zone: this.#settings.zone,
            peerAddress: this.#addresses.peer,
            operatorAddress: this.#addresses.operator,
            state: phase === "starting" || phase === "serving" ? "live" : "leaving",
        };
    }

    #getAdvertisedHost(listenHost: string): string {
        return this.#settings.advertisedHost === "" ? listenHost : this.#settings.advertisedHost;
    }
}

/** @returns The feature settings with the zone and the addresses that the membership feature announces. */
function addAnnouncedAddresses(
    settings: RouterSettings,
    peerAddress: string,
    operatorAddress: string,
): RouterSettings["features"] {
    const features = settings.features as Record<string, unknown>;
    if (features["membership"] === undefined) {
        return settings.features;
    }
    const membership = { ...features["membership"] as object, zone: settings.zone, peerAddress, operatorAddress };
    return { ...features, membership } as unknown as RouterSettings["features"];
}

/** Waits until the promise settles, but no longer than the timeout. */
async function withTimeout(promise: Promise<void>, timeoutMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
        timer = setTimeout(resolve, timeoutMs);
    });
    await Promise.race([promise, timeout]);
    clearTimeout(timer);
}
