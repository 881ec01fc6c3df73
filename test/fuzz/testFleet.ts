/** A fleet of router kernels with a simulated store, network and gateway, driven by simulated time and a seed. */
import { MatchAllSelector } from "../../src/base/labels.js";
import { SeededRandom } from "../../src/base/random.js";
import { BudgetController } from "../../src/features/budget/budgetController.js";
import { BudgetSettingsSchema } from "../../src/features/budget/budgetSettings.js";
import { budgetKey, type BudgetObject } from "../../src/features/budget/budgetTypes.js";
import { JournalController } from "../../src/features/journal/journalController.js";
import { JournalSettingsSchema } from "../../src/features/journal/journalSettings.js";
import { RecoveryController } from "../../src/features/recovery/recoveryController.js";
import { RecoverySettingsSchema } from "../../src/features/recovery/recoverySettings.js";
import type { Controller, ControllerContext } from "../../src/kernel/controller.js";
import { billedTokensOf, FakeGateway } from "./fakeGateway.js";
import { FakeMembership } from "./fakeMembership.js";
import { FaultyStore } from "./faultyStore.js";
import { type HostEnvironment, HostProcess } from "./hostProcess.js";
import { PeerNetwork } from "./peerNetwork.js";
import { Scheduler } from "./scheduler.js";

/** Budget settings with shorter times than the product's, so that a sequence needs less simulated time. */
export const FuzzBudgetSettings = BudgetSettingsSchema.parse({
    drawHorizonMs: 5_000,
    limitHorizonMs: 2_000,
    demandWindowMs: 2_000,
    largestCostWindowMs: 4_000,
    standingShareTokens: 400,
    standingLimitTokens: 100,
    idleReturnMs: 2_000,
    cancelRetryMs: 300,
});
/** Journal settings with shorter times and smaller segments than the product's. */
export const FuzzJournalSettings = JournalSettingsSchema.parse({
    writeIntervalMs: 500,
    recordBytesPerS: 1_000_000,
    segmentBytes: 2_000,
    linesPerWrite: 12,
    closingWaitMs: 2_000,
});
/** Recovery settings with shorter times than the product's. */
export const FuzzRecoverySettings = RecoverySettingsSchema.parse({
    suspicionMs: 2_000,
    readIntervalMs: 700,
    sealerDelayMs: 300,
    searchAgainMs: 10_000,
    retryMs: 200,
});

/** Size, budgets (paid tokens by name) and seed of a fleet, and factories that deliberate faults replace. */
export interface TestFleetOptions {
    readonly seed: number;
    readonly hostCount: number;
    readonly budgets: Readonly<Record<string, number>>;
    /** Whether only home hosts hold standing shares. */
    readonly homesOnly: boolean;
    readonly createControllers?: (context: ControllerContext, homesOnly: boolean) => Controller[];
    readonly createGateway?: (...args: ConstructorParameters<typeof FakeGateway>) => FakeGateway;
}

/** Creates the controllers that account for tokens, with the settings for fuzzing. */
export function createBudgetControllers(context: ControllerContext, homesOnly: boolean): Controller[] {
    const budget = homesOnly ? { ...FuzzBudgetSettings, standingBudgetCount: 0 } : FuzzBudgetSettings;
    return [
        new JournalController(context, FuzzJournalSettings),
        new BudgetController(context, budget),
        new RecoveryController(context, FuzzRecoverySettings),
    ];
}

/** Latency above which the store counts as slow. */
const SlowStoreMs = 50;

/** Time after which a process that does not finish its shutdown is ended by its supervisor. */
const ShutdownTimeoutMs = 15_000;

/** A simulated fleet: hosts that can be killed, paused and restarted, and the store, network and gateway that they use. */
export class TestFleet implements HostEnvironment {
    readonly scheduler = new Scheduler();
    readonly random: SeededRandom;
    readonly store: FaultyStore;
    readonly network: PeerNetwork;
    readonly gateway: FakeGateway;
    /** All processes, including ended ones. */
    readonly processes: HostProcess[] = [];
    readonly hostIds: readonly string[];
    readonly #options: TestFleetOptions;
    readonly #runningProcesses = new Map<string, HostProcess>();
    readonly #memberships = new Map<HostProcess, FakeMembership>();
    /** Requests that were refused although tokens were available and no fault was present. */
    falseRefusalsWithoutFault = 0;
    #lastOperation = 0;

    constructor(options: TestFleetOptions) {
        this.#options = options;
        this.random = new SeededRandom(options.seed);
        this.store = new FaultyStore(this.scheduler, this.random);
        this.network = new PeerNetwork(this.scheduler, this.random, address => this.#runningProcesses.get(address));
        const create = options.createGateway ?? ((...args) => new FakeGateway(...args));
        this.gateway = create(
            this.scheduler,
            (budget, cost) => this.unspentTokens(budget) - this.atRiskTokens(budget) >= cost,
        );
        for (const [budget, tokens] of Object.entries(options.budgets)) {
            this.store.objects.put(
                budgetKey(budget),
                { paidTokens: tokens, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] },
                0,
            );
        }
        this.hostIds = Array.from({ length: options.hostCount }, (_, index) => `h${index}`);
        for (const hostId of this.hostIds) {
            this.restart(hostId);
        }
    }

    /** @returns Names of the budgets. */
    get budgets(): string[] {
        return Object.keys(this.#options.budgets);
    }

    /** @returns The running process of a host. */
    processOf(hostId: string): HostProcess | undefined {
        return this.#runningProcesses.get(hostId);
    }

    /** Starts a process on a host that has none. */
    restart(hostId: string): void {
        if (this.#runningProcesses.has(hostId)) {
            return;
        }
        const seed = this.random.integer(1_000_000);
        const process = new HostProcess(
            hostId,
            `${this.processes.length}`,
            seed,
            this,
            context => (this.#options.createControllers ?? createBudgetControllers)(context, this.#options.homesOnly),
        );
        const { config, lifecycle } = process.board;
        const resource = { labels: {}, teams: MatchAllSelector };
        config.version = 1;
        config.resources = { ...config.resources, budgets: new Map(this.budgets.map(name => [name, resource])) };
        lifecycle.phase = "serving";
        this.processes.push(process);
        this.#runningProcesses.set(hostId, process);
        this.#memberships.set(process, new FakeMembership());
    }

    /** Ends the process of a host without a shutdown. */
    kill(hostId: string): void {
        this.#endProcess(this.#runningProcesses.get(hostId), "killed");
    }

    /** Starts a graceful shutdown. */
    shutdown(hostId: string): void {
        const process = this.#runningProcesses.get(hostId);
        if (process?.board.lifecycle.phase === "serving") {
            process.board.lifecycle.phase = "draining";
            this.scheduler.after(ShutdownTimeoutMs, () => this.#endProcess(process, "killed"));
        }
    }

    /** Pays tokens into a budget, as an operator that reaches the store does. */
    topUp(budget: string, tokens: number): void {
        const stored = this.store.objects.get(budgetKey(budget));
        if (stored.status === "found" && !this.store.faults.outage) {
            const object = stored.object.value as BudgetObject;
            const topUp = { operationId: `t${++this.#lastOperation}`, tokens, atMs: 0 };
            const value = { ...object, paidTokens: object.paidTokens + tokens, topUps: [...object.topUps, topUp] };
            this.store.objects.put(budgetKey(budget), value, stored.object.version);
        }
    }

    /** @returns Paid tokens of a budget. */
    paidTokens(budget: string): number {
        const stored = this.store.objects.get(budgetKey(budget));
        return stored.status === "found" ? (stored.object.value as BudgetObject).paidTokens : 0;
    }

    /** @returns Paid tokens that were neither spent nor reserved by a request in flight. */
    unspentTokens(budget: string): number {
        let tokens = this.paidTokens(budget);
        for (const request of this.gateway.requests.values()) {
            if (request.budget === budget) {
                tokens -= request.state === "running" ? request.costTokens : billedTokensOf(request);
            }
        }
        return tokens;
    }

    /** @returns Tokens that dead hosts may have spent: no other host may spend them. */
    atRiskTokens(budget: string): number {
        const stored = this.store.objects.get(budgetKey(budget));
        const atRisk = stored.status === "found" ? (stored.object.value as BudgetObject).atRiskTokens : {};
        return Object.values(atRisk).reduce((sum, tokens) => sum + tokens, 0);
    }

    /** Ends all faults, starts missing hosts again, and waits until everything has settled. */
    healAndWait(durationMs = 40_000): void {
        Object.assign(this.store.faults, {
            outage: false,
            latencyMs: 2,
            lostResponseRatio: 0,
            lateWriteRatio: 0,
            staleReadRatio: 0,
        });
        this.store.disconnectedHosts.clear();
        this.network.heal();
        this.network.lostReplyRatio = 0;
        // The second start is for hosts whose shutdown was still under way.
        for (let round = 0; round < 2; round++) {
            this.hostIds.forEach(hostId => this.restart(hostId));
            this.scheduler.advance(durationMs / 2);
        }
    }

    handleNotification: HostEnvironment["handleNotification"] = (process, notification) => {
        this.gateway.handleNotification(notification);
        if (
            notification.type === "reservationDecided" && !this.#hasFault && process.board.lifecycle.phase === "serving"
        ) {
            const request = this.gateway.requests.get(notification.reservationId);
            this.falseRefusalsWithoutFault += request?.falselyRefused === true ? 1 : 0;
        }
    };

    get #hasFault(): boolean {
        const { faults, disconnectedHosts } = this.store;
        const hasLosses = faults.lostResponseRatio + faults.lateWriteRatio + faults.staleReadRatio > 0;
        const isSlow = faults.outage || faults.latencyMs > SlowStoreMs;
        const isPartitioned = disconnectedHosts.size > 0 || this.network.hasPartitions ||
            this.network.lostReplyRatio > 0;
        const isIncomplete = this.#runningProcesses.size < this.hostIds.length;
        return hasLosses || isSlow || isPartitioned || isIncomplete ||
            [...this.#runningProcesses.values()].some(process => process.isPaused);
    }

    beforeTick: HostEnvironment["beforeTick"] = process => {
        const reachable = [...this.#runningProcesses.values()].filter(other =>
            other !== process && !other.isPaused && !this.network.isPartitioned(process.hostId, other.hostId)
        );
        const showReplaced = this.#options.seed % 2 === 0;
        this.#memberships.get(process)!.update(process, reachable, showReplaced, this.scheduler.nowMs);
        this.#advanceShutdown(process);
    };

    #advanceShutdown(process: HostProcess): void {
        const { idempotency, lifecycle, recovery } = process.board;
        const inFlight = [...this.gateway.requests.values()].some(request =>
            request.process === process && (request.state === "waiting" || request.state === "running")
        );
        if (lifecycle.phase === "draining" && !inFlight && idempotency.unsettledClaims === 0) {
            lifecycle.phase = "closing";
        }
        else if (lifecycle.phase === "closing" && recovery.ownSharesReturned) {
            this.#endProcess(process, "closed");
        }
    }

    #endProcess(process: HostProcess | undefined, end: "closed" | "killed"): void {
        if (process === undefined || !process.isAlive) {
            return;
        }
        process.end = end;
        this.#runningProcesses.delete(process.hostId);
        for (const request of this.gateway.requests.values()) {
            if (request.process === process && request.state === "waiting") {
                request.state = "refused";
            }
        }
    }
}
