/** Runs one deployment with one policy and collects the observations from which the figures are computed. */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { sha256Hex } from "../base/hashing.js";
import { grantBudgetName } from "../features/budget/budgetTypes.js";
import { configChangeKey } from "../features/config/configTypes.js";
import { type LoadRecords, LoadRecordsSchema } from "../load/loadRecord.js";
import { type LoadScenario, LoadScenarioSchema } from "../load/loadScenario.js";
import { HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { DefaultPlatformTimeouts, PlatformClient } from "../platform/platformClient.js";
import { type Execution, ExecutionSchema } from "../standins/upstream/executionLog.js";
import { type BenchDeployment, capacityGroupOf, groupNames, type PhaseRole, resourceEdits } from "./benchDeployment.js";
import { findFreePorts, ProcessGroup, waitForReady } from "./processes.js";
import { type LoadSample, UpstreamSampler } from "./upstreamSampler.js";

/** Maximum time until a process is ready, in milliseconds. */
const StartTimeoutMs = 20_000;
/** Time for the routers to discover each other, in milliseconds, so that each knows its share. */
const GossipMs = 1_500;
/** Time after the last phase for outstanding responses, in milliseconds. */
const DrainMs = 2_000;

/** Options of a run. */
export interface RunOptions {
    /** Name of the run, for logs. */
    readonly label: string;
    /** Admission settings of the routers. */
    readonly admission: Readonly<Record<string, unknown>>;
    /** Factor on the durations of the phases. */
    readonly timeScale: number;
    /** Whether settings and logs are kept. */
    readonly keepFiles: boolean;
    readonly onProgress: (message: string) => void;
}

/** A phase of a run with its scaled times. */
export interface RanPhase {
    readonly name: string;
    readonly role: PhaseRole;
    /** Start and end since the start of the load, in milliseconds. */
    readonly startMs: number;
    readonly endMs: number;
    readonly rampMs: number;
}

/** All observations of a run. */
export interface RunObservations {
    readonly phases: readonly RanPhase[];
    readonly load: LoadRecords;
    readonly samples: readonly LoadSample[];
    /** Executions by upstream name. */
    readonly executions: ReadonlyMap<string, readonly Execution[]>;
    /** Sums of the counters of all routers. */
    readonly counters: Readonly<Record<string, number>>;
}

/** Addresses of a started deployment. */
interface StartedDeployment {
    readonly upstreamUrls: ReadonlyMap<string, string>;
    readonly routerUrls: readonly string[];
    /** URLs of the operator listeners. */
    readonly operatorUrls: readonly string[];
}

/** @returns The API key of a team. */
export function keyOfTeam(team: string): string {
    return `key-${team}`;
}

/** Starts a deployment, runs its load and stops it. Throws when a process does not start or the load generator fails. */
export async function runDeployment(deployment: BenchDeployment, options: RunOptions): Promise<RunObservations> {
    const group = new ProcessGroup();
    try {
        const started = await startDeployment(deployment, options, group);
        return await measure(deployment, options, group, started);
    }
    finally {
        await group.stop(options.keepFiles);
        if (options.keepFiles) {
            options.onProgress(`${options.label}: files are in ${group.directory}`);
        }
    }
}

async function startDeployment(
    deployment: BenchDeployment,
    options: RunOptions,
    group: ProcessGroup,
): Promise<StartedDeployment> {
    const upstreams = deployment.upstreams.flatMap(one => groupNames(one).map(name => ({ name, one })));
    const ports = await findFreePorts(1 + upstreams.length + 3 * deployment.routers);
    const platformUrl = `http://127.0.0.1:${ports[0]}`;
    const zoneDelaysMs = Object.fromEntries(deployment.zones.map(zone => [zone, deployment.platformDelayMs]));
    group.start("toucanPlatform", "platform", { port: ports[0], zoneDelaysMs });
    const upstreamUrls = new Map<string, string>();
    for (const [index, { name, one }] of upstreams.entries()) {
        const port = ports[1 + index]!;
        group.start("toucanUpstream", name, { ...one.settings, name, port });
        upstreamUrls.set(name, `http://127.0.0.1:${port}`);
    }
    await waitForStore(platformUrl);
    await writeInitialState(deployment, platformUrl, upstreamUrls);
    const routerPorts = ports.slice(1 + upstreams.length);
    const routerUrls = Array.from({ length: deployment.routers }, (_, index) => {
        const [caller, operator, peer] = routerPorts.slice(3 * index, 3 * index + 3);
        group.start("toucanRouter", `router${index + 1}`, {
            hostId: `router${index + 1}`,
            zone: deployment.zones[index % deployment.zones.length],
            caller: { port: caller },
            operator: { port: operator },
            peer: { listenPort: peer },
            platform: { url: platformUrl },
            features: { ...deployment.features, admission: options.admission },
        });
        return `http://127.0.0.1:${caller}`;
    });
    await Promise.all([...upstreamUrls.values()].map(url => waitForReady(`${url}/load`, StartTimeoutMs)));
    await Promise.all(routerUrls.map(url => waitForReady(`${url}/readyz`, StartTimeoutMs)));
    await new Promise(resolve => setTimeout(resolve, GossipMs));
    const operatorUrls = routerUrls.map((_, index) => `http://127.0.0.1:${routerPorts[3 * index + 1]}`);
    return { upstreamUrls, routerUrls, operatorUrls };
}

async function waitForStore(url: string): Promise<void> {
    const endMs = performance.now() + StartTimeoutMs;
    while (performance.now() < endMs) {
        const reachable = await fetch(url).then(() => true, () => false);
        if (reachable) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    throw new Error(`the platform at ${url} does not respond`);
}

/** Writes the configuration and the budgets. */
async function writeInitialState(
    deployment: BenchDeployment,
    platformUrl: string,
    upstreamUrls: ReadonlyMap<string, string>,
): Promise<void> {
    const platformClient = new PlatformClient({ url: platformUrl, ...DefaultPlatformTimeouts }, () => undefined);
    const store = new HttpPlatformStore(platformClient);
    const amounts = [
        ...Object.entries(deployment.budgets).map(([name, { paidTokens }]) => [name, paidTokens] as const),
        ...Object.entries(deployment.grants).map(([name, { uses }]) => [grantBudgetName(name), uses] as const),
    ];
    const budgets = amounts.map(([name, paidTokens]) => ({
        key: `budget/${name}`,
        value: { paidTokens, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] },
    }));
    const change = {
        version: 1,
        author: "bench",
        operationId: "bench-1",
        message: "bench deployment",
        atMs: Date.now(),
        changes: resourceEdits(deployment, upstreamUrls, team => sha256Hex(keyOfTeam(team))),
    };
    for (const { key, value } of [...budgets, { key: configChangeKey(1), value: change }]) {
        const outcome = await store.put(key, value, 0);
        if (outcome.status !== "applied") {
            throw new Error(`cannot write ${key}: ${JSON.stringify(outcome)}`);
        }
    }
    await platformClient.close();
}

async function measure(
    deployment: BenchDeployment,
    options: RunOptions,
    group: ProcessGroup,
    { upstreamUrls, routerUrls, operatorUrls }: StartedDeployment,
): Promise<RunObservations> {
    const phases = schedulePhases(deployment, options.timeScale);
    const scenario = scenarioOf(deployment, phases, routerUrls);
    const recordsPath = join(group.directory, "records.json");
    const sampledNames = new Set(
        deployment.upstreams.filter(one => one.settings.type !== "service").flatMap(groupNames),
    );
    const sampler = new UpstreamSampler(new Map([...upstreamUrls].filter(([name]) => sampledNames.has(name))));
    sampler.start();
    const child = group.start("toucanLoad", "load", scenario, ["--records", recordsPath]);
    const exit = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? 1)));
    const startedAtMs = performance.now();
    const faults = phases.filter(phase => phase.role === "slowed").flatMap(phase => [
        scheduleFault(deployment, upstreamUrls, phase.startMs, deployment.slowFactor),
        scheduleFault(deployment, upstreamUrls, phase.endMs, 1),
    ]);
    const lastMs = phases.at(-1)!.endMs + scenario.timeoutMs + DrainMs;
    const code = await Promise.race([
        exit,
        new Promise<number>(resolve => setTimeout(resolve, lastMs, -1).unref()),
    ]);
    sampler.stop();
    await Promise.all(faults);
    if (code !== 0) {
        throw new Error(`${options.label}: toucan-load ended with ${code}; see ${group.directory}`);
    }
    options.onProgress(`${options.label}: done in ${((performance.now() - startedAtMs) / 1_000).toFixed(0)} s`);
    const load = LoadRecordsSchema.parse(JSON.parse(readFileSync(recordsPath, "utf8")));
    const executions = await readExecutions(upstreamUrls);
    return { phases, load, samples: sampler.samples, executions, counters: await readCounters(operatorUrls) };
}

/** @returns Phases with the start and end times that result from the time scale. */
function schedulePhases(deployment: BenchDeployment, timeScale: number): RanPhase[] {
    const phases: RanPhase[] = [];
    let startMs = 0;
    for (const [index, { role, durationMs, rampMs, fixed }] of deployment.phases.entries()) {
        const scaledMs = fixed ? durationMs : Math.round(durationMs * timeScale);
        phases.push({ name: `${index}-${role}`, role, startMs, endMs: startMs + scaledMs, rampMs });
        startMs += scaledMs;
    }
    return phases;
}

function scenarioOf(
    deployment: BenchDeployment,
    phases: readonly RanPhase[],
    routers: readonly string[],
): LoadScenario {
    const load = {
        routers,
        timeoutMs: 20_000,
        drainMs: DrainMs,
        classes: Object.fromEntries(
            Object.entries(deployment.classes).map(([name, one]) => [name, { ...one, key: keyOfTeam(one.team) }]),
        ),
        phases: phases.map(({ name, startMs, endMs }, index) => {
            const { rates, rampMs } = deployment.phases[index]!;
            return { name, durationMs: endMs - startMs, rates, rampMs };
        }),
    };
    return LoadScenarioSchema.parse(load);
}

/** Sets the slow factor of the slowed upstreams at a time since the start of the load, in milliseconds. */
async function scheduleFault(
    deployment: BenchDeployment,
    upstreamUrls: ReadonlyMap<string, string>,
    atMs: number,
    slowFactor: number,
): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, atMs + LoadStartMs));
    const names = groupNames(capacityGroupOf(deployment)).slice(0, deployment.slowedCount);
    await Promise.all(
        names.map(name =>
            fetch(`${upstreamUrls.get(name)}/faults`, { method: "POST", body: JSON.stringify({ slowFactor }) })
        ),
    );
}

/**
 * Approximate time that the load generator needs to start, in milliseconds. Faults may be set slightly before or after the start
 * of their phase.
 */
const LoadStartMs = 300;

async function readExecutions(urls: ReadonlyMap<string, string>): Promise<Map<string, Execution[]>> {
    const entries = await Promise.all([...urls].map(async ([name, url]) => {
        const executions: unknown = await (await fetch(`${url}/executions`)).json();
        return [name, z.array(ExecutionSchema).parse(executions)] as const;
    }));
    return new Map(entries);
}

/** Prefixes of the counters that help to explain the figures. */
const CounterPrefixes = ["admission.", "gateway.", "upstream.", "budget."];

async function readCounters(urls: readonly string[]): Promise<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const url of urls) {
        const counters = z.record(z.string(), z.number()).parse(await (await fetch(`${url}/metrics`)).json());
        for (const [name, value] of Object.entries(counters)) {
            if (CounterPrefixes.some(prefix => name.startsWith(prefix))) {
                sums[name] = (sums[name] ?? 0) + value;
            }
        }
    }
    return sums;
}
