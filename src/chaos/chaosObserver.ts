/** Samples routers and budgets during a chaos run, and reads the evidence at its end. */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { type BudgetObject, BudgetObjectSchema, BudgetPrefix } from "../features/budget/budgetTypes.js";
import { BillLineSchema, HostRecordPrefix, HostRecordSchema } from "../features/journal/journalTypes.js";
import type { StoredObject } from "../platform/platformStore.js";
import { ExecutionSchema } from "../standins/upstream/executionLog.js";
import type { ChaosDeployment, RouterSlot } from "./chaosDeployment.js";
import type { BudgetSample, ConfigSample, HostBillLine, UpstreamExecution } from "./chaosTypes.js";

/** Interval of the balancer's health checks and of reading the configuration versions in force, in milliseconds. */
const RouterPollMs = 400;
/** Timeout of one request to a router, in milliseconds. */
const RouterTimeoutMs = 1_000;
/** Interval of reading the budgets, in milliseconds. */
const BudgetPollMs = 500;

const StateSchema = z.object({ board: z.object({ config: z.object({ version: z.number().int() }) }) });
const HostBillsSchema = z.array(BillLineSchema.extend({ hostKey: z.string() }));

/** Samples the state of a run and reads its evidence. Methods that read from the store throw when it does not respond. */
export class ChaosObserver {
    readonly configSamples: ConfigSample[] = [];
    readonly budgetSamples: BudgetSample[] = [];
    readonly #deployment: ChaosDeployment;
    readonly #nowMs: () => number;

    constructor(deployment: ChaosDeployment, nowMs: () => number) {
        this.#deployment = deployment;
        this.#nowMs = nowMs;
    }

    /** Polls routers and budgets until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            ...this.#deployment.routers.map(router => this.#pollRouter(router, signal)),
            this.#pollBudgets(signal),
        ]);
    }

    /** @returns Configuration versions in force by host id; 0 when a router is not ready or does not respond. */
    async readVersions(): Promise<Record<string, number>> {
        const entries = this.#deployment.routers.map(async router => {
            const ready = await isReady(router);
            return [router.hostId, ready ? await readVersion(router) ?? 0 : 0] as const;
        });
        return Object.fromEntries(await Promise.all(entries));
    }

    /** @returns Newest configuration version in the store; 0 when there is none. */
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

    /** @returns Budgets in the store by name. */
    async readBudgets(): Promise<Record<string, BudgetObject>> {
        const objects = await this.#list(BudgetPrefix);
        return Object.fromEntries(
            objects.map(({ key, value }) => [key.slice(BudgetPrefix.length), BudgetObjectSchema.parse(value)]),
        );
    }

    /** @returns All bill lines that the operator tool prints; throws when it fails. */
    async readBills(): Promise<HostBillLine[]> {
        const { exitCode, output } = await this.#deployment.control("bills", "--lines", "--output", "json");
        if (exitCode !== 0) {
            throw new Error(`toucanctl bills ended with exit code ${exitCode}: ${output}`);
        }
        return HostBillsSchema.parse(JSON.parse(output));
    }

    /** @returns All executions at the upstreams. */
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
            // A response that overlaps a restart cannot be attributed to a process.
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
                // The store cannot be reached at the moment; the next poll reads the budgets again.
            }
            await sleep(BudgetPollMs);
        }
    }
}

async function isReady(router: RouterSlot): Promise<boolean> {
    try {
        const response = await fetch(`${router.callerUrl}/readyz`, { signal: AbortSignal.timeout(RouterTimeoutMs) });
        await response.body?.cancel();
        return response.status === 200;
    }
    catch {
        return false;
    }
}

async function readVersion(router: RouterSlot): Promise<number | undefined> {
    try {
        const response = await fetch(`${router.operatorUrl}/state`, { signal: AbortSignal.timeout(RouterTimeoutMs) });
        return StateSchema.parse(await response.json()).board.config.version;
    }
    catch {
        return undefined;
    }
}
