/** Watches routers and budgets during a chaos run, and collects the evidence at its end. */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type BudgetObject, BudgetObjectSchema, BudgetPrefix } from "../features/budget/budgetTypes.js";
import { BillLineSchema, HostRecordPrefix, HostRecordSchema } from "../features/journal/journalTypes.js";
import type { StoredObject } from "../platform/platformStore.js";
import { ExecutionSchema } from "../standins/upstream/executionLog.js";
import type { ChaosDeployment, RouterSlot } from "./chaosDeployment.js";
import type { BudgetSample, ConfigSample, HostBillLine, UpstreamExecution } from "./chaosTypes.js";

/** Interval of the balancer's health checks and of reading the versions in force. */
const RouterPollMs = 400;
const RouterTimeoutMs = 1_000;
const BudgetPollMs = 500;

const StateSchema = z.object({ board: z.object({ config: z.object({ version: z.number().int() }) }) });
const HostBillsSchema = z.array(BillLineSchema.extend({ hostKey: z.string() }));

/** Observes a run. */
export class ChaosObserver {
    readonly configSamples: ConfigSample[] = [];
    readonly budgetSamples: BudgetSample[] = [];
    readonly #deployment: ChaosDeployment;
    readonly #nowMs: () => number;

    constructor(deployment: ChaosDeployment, nowMs: () => number) {
        this.#deployment = deployment;
        this.#nowMs = nowMs;
    }

    /** Polls until the signal. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            ...this.#deployment.routers.map(router => this.#pollRouter(router, signal)),
            this.#pollBudgets(signal),
        ]);
    }

    /** @returns Versions in force by host id; 0 when a router is not ready or does not answer. */
    async readVersions(): Promise<Record<string, number>> {
        const entries = this.#deployment.routers.map(async router => {
            const ready = await isReady(router);
            return [router.hostId, ready ? await readVersion(router) ?? 0 : 0] as const;
        });
        return Object.fromEntries(await Promise.all(entries));
    }

    /** @returns Newest version in the store. */
    async readStoredVersion(): Promise<number> {
        const keys = (await this.#list("config/change/")).map(object => object.key);
        return keys.length === 0 ? 0 : Number(keys.at(-1)!.split("/").at(-1));
    }

    /** @returns States of all host records, by host key. */
    async readRecordStates(): Promise<Record<string, string>> {
        const objects = await this.#list(HostRecordPrefix);
        return Object.fromEntries(
            objects.map(({ key, value }) => [key.slice(HostRecordPrefix.length), HostRecordSchema.parse(value).state]),
        );
    }

    /** @returns The budgets in the store. */
    async readBudgets(): Promise<Record<string, BudgetObject>> {
        const objects = await this.#list(BudgetPrefix);
        return Object.fromEntries(
            objects.map(({ key, value }) => [key.slice(BudgetPrefix.length), BudgetObjectSchema.parse(value)]),
        );
    }

    /** @returns All bill lines, as the operator tool shows them. */
    async readBills(): Promise<HostBillLine[]> {
        const { exitCode, output } = await this.#deployment.control("bills", "--lines", "--output", "json");
        if (exitCode !== 0) {
            throw new Error(`toucanctl bills ended with exit code ${exitCode}: ${output}`);
        }
        return HostBillsSchema.parse(JSON.parse(output));
    }

    /** @returns Everything that ran at the upstreams. */
    async readExecutions(): Promise<UpstreamExecution[]> {
        const lists = await Promise.all(this.#deployment.upstreams.map(async upstream => {
            const executions = z.array(ExecutionSchema).parse(await this.#deployment.readExecutions(upstream));
            return executions.map(execution => ({ ...execution, upstream: upstream.name }));
        }));
        return lists.flat();
    }

    async #list(prefix: string): Promise<StoredObject[]> {
        const objects: StoredObject[] = [];
        for (;;) {
            const page = await this.#deployment.store.list(prefix, objects.at(-1)?.key ?? "", 1_000);
            if (page.status !== "listed") {
                throw new Error(`cannot list ${prefix}: ${page.reason}`);
            }
            objects.push(...page.objects);
            if (!page.more) {
                return objects;
            }
        }
    }

    async #pollRouter(router: RouterSlot, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const { generation, hostId } = router;
            router.inRotation = await isReady(router);
            const version = await readVersion(router);
            // An answer that overlaps a restart cannot be assigned to a process.
            if (version !== undefined && generation === router.generation) {
                this.configSamples.push({ hostId, generation, version, atMs: this.#nowMs() });
            }
            await sleep(RouterPollMs);
        }
    }

    async #pollBudgets(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                const atMs = this.#nowMs();
                for (const [budget, object] of Object.entries(await this.readBudgets())) {
                    this.budgetSamples.push({ atMs, budget, object });
                }
            }
            catch {
                // The store is out of reach at the moment; the next sample shows its state again.
            }
            await sleep(BudgetPollMs);
        }
    }
}

async function isReady(router: RouterSlot): Promise<boolean> {
    try {
        const answer = await fetch(`${router.callerUrl}/readyz`, { signal: AbortSignal.timeout(RouterTimeoutMs) });
        await answer.body?.cancel();
        return answer.status === 200;
    }
    catch {
        return false;
    }
}

async function readVersion(router: RouterSlot): Promise<number | undefined> {
    try {
        const answer = await fetch(`${router.operatorUrl}/state`, { signal: AbortSignal.timeout(RouterTimeoutMs) });
        return StateSchema.parse(await answer.json()).board.config.version;
    }
    catch {
        return undefined;
    }
}
