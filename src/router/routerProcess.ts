/** The router process: listeners, kernel and gateway. Several can live in one operating system process. */
import type { Socket } from "node:net";
import { type Clock, SystemClock } from "../base/clock.js";
import { Counters, startMetrics } from "../base/counters.js";
import { log } from "../base/log.js";
import { NetworkByteCounter } from "../base/networkByteCounter.js";
import { type Random, SystemRandom } from "../base/random.js";
import { createControllerFactory } from "../features/registry.js";
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
import { OperatorServer } from "./operatorServer.js";
import type { RouterDependencies, RouterDependenciesFactory } from "./routerDependencies.js";
import { RouterEffectRunner } from "./routerEffectRunner.js";
import type { RouterSettings } from "./routerSettings.js";

/** Where a router can be reached, as `IP:port`. */
export interface RouterAddresses {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}

/** What a router is built from beyond its settings. */
export interface RouterOptions {
    readonly createDependencies: RouterDependenciesFactory;
    readonly planRoute: RoutePlanner;
    /** Replaces the controllers of the registry. */
    readonly createControllers?: ControllerFactory;
}

/** Hexadecimal digits of the random part of an incarnation. */
const IncarnationDigits = 6;

/** Longest wait, after the last request has ended, for callers to take their answers. */
const ListenerStopMs = 5_000;

/** A router. */
export class RouterProcess {
    readonly #settings: RouterSettings;
    readonly #options: RouterOptions;
    readonly #clock: Clock = new SystemClock();
    readonly #random: Random = new SystemRandom();
    readonly #counters = new Counters();
    readonly #network = new NetworkByteCounter(socket => !this.#isOperatorSocket(socket));
    readonly #dependencies: RouterDependencies;
    readonly #operator: OperatorServer;
    readonly #client: UndiciUpstreamClient;
    #kernel: Kernel | undefined;
    #runner: RouterEffectRunner | undefined;
    #caller: CallerServer | undefined;
    #poller: LoadPoller | undefined;
    #addresses: RouterAddresses | undefined;
    #tickTimer: NodeJS.Timeout | undefined;
    #stopMetrics: () => void = () => undefined;
    #shutdownDone: () => void = () => undefined;
    /** Settles when the lifecycle controller reports the end of the shutdown. */
    readonly drained: Promise<void>;

    constructor(settings: RouterSettings, options: RouterOptions) {
        this.#settings = settings;
        this.#options = options;
        this.#dependencies = options.createDependencies({
            clock: this.#clock,
            random: this.#random,
            counters: this.#counters,
            getHostIdentity: () => this.#identity(),
        });
        this.#client = new UndiciUpstreamClient(settings.gateway);
        this.#operator = new OperatorServer(settings.operator, {
            dumpState: () => this.dumpState(),
            readMetrics: () => this.#readMetrics(),
            drain: () => this.drain(),
            readReadiness: () => this.readReadiness(),
        });
        this.drained = new Promise(resolve => {
            this.#shutdownDone = resolve;
        });
    }

    /** @returns Addresses of the listeners. */
    get addresses(): RouterAddresses {
        if (this.#addresses === undefined) {
            throw new Error("the router has not started");
        }
        return this.#addresses;
    }

    /**
     * Opens the listeners and starts the kernel.
     * @throws Error when a listener cannot be opened; those that were opened are closed again.
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
        // The controllers announce the addresses of these listeners, so these listeners are opened first.
        const peerPort = await this.#dependencies.peerTransport.start(event => this.#kernel?.post(event));
        const operatorPort = await this.#operator.start();
        const peer = `${this.#advertised(this.#settings.peer.listenHost)}:${peerPort}`;
        const operatorAddress = `${this.#advertised(operator.host)}:${operatorPort}`;
        const { kernel, port } = this.#createKernel(peer, operatorAddress);
        const listener = new CallerServer({
            kernel,
            controllerClient: port,
            upstreamClient: this.#client,
            clock: this.#clock,
            random: this.#random,
            settings: this.#settings.gateway,
            planRoute: this.#options.planRoute,
        });
        this.#caller = listener;
        const address = await listener.start(caller.host, caller.port);
        this.#addresses = { caller: address, operator: operatorAddress, peer };
        this.#run(kernel);
    }

    /** Begins a graceful shutdown; {@link drained} tells when it is complete. */
    drain(): void {
        this.#kernel?.post({ type: "shutdownRequested" });
    }

    /** Shuts down gracefully: serves until the balancer has noticed, finishes every stream, returns its shares. */
    async stop(): Promise<void> {
        this.drain();
        await withTimeout(this.drained, this.#settings.shutdownTimeoutMs);
        await withTimeout(this.#caller?.stop() ?? Promise.resolve(), ListenerStopMs);
        await this.kill();
        log.info("router stopped", { hostId: this.#settings.hostId });
    }

    /** Stops at once, like a process that is killed: streams break off and nothing is written any more. */
    async kill(): Promise<void> {
        clearInterval(this.#tickTimer);
        this.#stopMetrics();
        this.#runner?.stop();
        this.#poller?.stop();
        for (const watcher of this.#dependencies.watchers) {
            watcher.stop();
        }
        this.#caller?.destroy();
        await Promise.all([
            this.#caller?.stop(),
            this.#operator.stop(),
            this.#client.close(),
            this.#dependencies.peerTransport.stop(),
        ]);
        await this.#dependencies.closePlatformConnections();
        this.#network.stop();
    }

    #isOperatorSocket(socket: Socket): boolean {
        return this.#addresses?.operator.endsWith(`:${socket.localPort}`) ?? false;
    }

    /** @returns Everything the process knows, as JSON. */
    dumpState(): unknown {
        return { hostId: this.#settings.hostId, addresses: this.#addresses, ...(this.#kernel?.dumpState() ?? {}) };
    }

    /** @returns Whether a request admitted now could run, and why not. */
    readReadiness(): { ready: boolean; phase: string; reasons: readonly string[]; } {
        const lifecycle = this.#kernel?.board.lifecycle;
        return lifecycle === undefined ?
            { ready: false, phase: "starting", reasons: ["starting"] } :
            { ready: lifecycle.ready, phase: lifecycle.phase, reasons: lifecycle.reasons };
    }

    /** @returns The kernel, for tests. */
    get kernel(): Kernel {
        if (this.#kernel === undefined) {
            throw new Error("the router has not started");
        }
        return this.#kernel;
    }

    #createKernel(peerAddress: string, operatorAddress: string): { kernel: Kernel; port: ControllerClient; } {
        const { hostId } = this.#settings;
        const incarnation = `${Math.floor(this.#clock.wallMs()).toString(36)}${this.#random.hex(IncarnationDigits)}`;
        const features = withAddresses(this.#settings, peerAddress, operatorAddress);
        const kernel = new Kernel({
            board: createBlackboard(hostId, incarnation),
            clock: this.#clock,
            random: this.#random,
            counters: this.#counters,
            createControllers: this.#options.createControllers ?? createControllerFactory(features),
        });
        const port = new ControllerClient(kernel);
        this.#runner = new RouterEffectRunner({
            store: this.#dependencies.store,
            peerClient: this.#dependencies.peerTransport.client,
            post: event => kernel.post(event),
            notify: notification => this.#notify(port, notification),
            replyToPeer: (exchangeId, reply) => this.#dependencies.peerTransport.reply(exchangeId, reply),
        });
        kernel.setEffectRunner(this.#runner);
        this.#kernel = kernel;
        return { kernel, port };
    }

    /** The operator's own connections are left out, so that reading the counters does not change them. */
    #readMetrics(): Record<string, number> {
        const { receivedBytes, sentBytes } = this.#network.totals();
        this.#counters.set("network.receivedBytes", receivedBytes);
        this.#counters.set("network.sentBytes", sentBytes);
        return this.#counters.snapshot();
    }

    #notify(port: ControllerClient, notification: Notification): void {
        if (notification.type === "shutdownCompleted") {
            this.#shutdownDone();
        }
        port.handleNotification(notification);
    }

    #run(kernel: Kernel): void {
        this.#poller = new LoadPoller(kernel, this.#client, this.#settings.gateway.loadPollMs);
        this.#poller.start();
        for (const watcher of this.#dependencies.watchers) {
            watcher.start({ board: kernel.board, post: event => kernel.post(event) });
        }
        this.#tickTimer = setInterval(() => kernel.post({ type: "tick" }), TickIntervalMs);
        this.#stopMetrics = startMetrics(this.#counters, this.#settings.metrics);
        log.info("router listens", { hostId: this.#settings.hostId, ...this.#addresses });
    }

    #identity(): ListedHost | undefined {
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

    #advertised(listenHost: string): string {
        return this.#settings.advertisedHost === "" ? listenHost : this.#settings.advertisedHost;
    }
}

/** Fills in what the membership feature announces. */
function withAddresses(
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

/** Waits for a promise, but not for ever. */
async function withTimeout(promise: Promise<void>, timeoutMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
        timer = setTimeout(resolve, timeoutMs);
    });
    await Promise.race([promise, timeout]);
    clearTimeout(timer);
}
