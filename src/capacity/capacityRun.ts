/** Measures idle fleets and memory for the capacity tool. */
import { setTimeout as sleep } from "node:timers/promises";
import { CapacityFleet, type StoreCalls } from "./capacityFleet.js";
import { type ProcessUsage, usageBetween } from "./processSample.js";
import { mean, rounded, slopeOf } from "./statistics.js";
import { changeOneTeam, type ConfigurationSize, TargetSize } from "./targetConfiguration.js";

/** Fleet sizes and durations of the measurements. */
export interface CapacityPlan {
    /** Numbers of routers, in increasing order. */
    readonly routerCounts: readonly number[];
    /** Wait after the start of routers until compilers and membership are in a steady state, in milliseconds. */
    readonly settleMs: number;
    /** Duration of the measurement of one fleet, in milliseconds. */
    readonly windowMs: number;
    /** Number of configuration changes whose delay is measured. */
    readonly changeCount: number;
    /** Time after which no larger fleet is started, in milliseconds. */
    readonly deadlineMs: number;
}

/** Plan of the quick mode, which takes less than 2 minutes. */
export const QuickPlan: CapacityPlan = {
    routerCounts: [4, 16, 32],
    settleMs: 8_000,
    windowMs: 6_000,
    changeCount: 3,
    deadlineMs: 65_000,
};

/** Plan of a full run. */
export const FullPlan: CapacityPlan = {
    routerCounts: [4, 8, 16, 32, 64],
    settleMs: 30_000,
    windowMs: 30_000,
    changeCount: 10,
    deadlineMs: 900_000,
};

/** Figures of an idle fleet of one size, per router unless stated otherwise. */
export interface FleetFigures {
    readonly routers: number;
    readonly cpuPercent: number;
    readonly sentBytesPerS: number;
    readonly receivedBytesPerS: number;
    readonly residentMb: number;
    readonly storeReadsPerS: number;
    readonly storeWritesPerS: number;
    readonly storeWatchesPerS: number;
    readonly peerCallsPerS: number;
    /** Payload of peer calls in both directions. */
    readonly peerBytesPerS: number;
    /** Processor time of the platform process for the whole fleet, in percent of one processor. */
    readonly platformCpuPercent: number;
    /** For each change and router, the time from the write until the version is in force. */
    readonly configInForceMs: readonly number[];
}

/** Result, which is the last line of the output. Figures that were not measured are absent. */
export interface CapacityResult {
    readonly idleCpuPercent?: number;
    readonly controlBytesPerS?: number;
    readonly residentMb?: number;
    readonly configInForceP100Ms?: number;
    readonly storeReadsPerHostPerS?: number;
    readonly storeWritesPerHostPerS?: number;
    /** Further figures: increase of a figure per peer, memory per resource, and others. */
    readonly slopes: Readonly<Record<string, number>>;
}

/** Number of routers with which the memory of one kind of resources is measured. */
const MemoryRouterCount = 2;

const MinimumResources: ConfigurationSize = { budgets: 0, teams: 0, upstreams: 1 };
const MeasuredUpstreams = 600;

/**
 * Measures idle fleets of growing size with the budgets and teams of the target.
 * @param report Called with the figures of each fleet.
 */
export async function measureFleets(
    plan: CapacityPlan,
    report: (figures: FleetFigures) => void,
): Promise<FleetFigures[]> {
    const startedMs = performance.now();
    const figures: FleetFigures[] = [];
    const fleet = new CapacityFleet();
    try {
        await fleet.start({ ...TargetSize, upstreams: 1 });
        for (const routers of plan.routerCounts) {
            if (performance.now() - startedMs > plan.deadlineMs) {
                break;
            }
            await fleet.growTo(routers);
            await sleep(plan.settleMs);
            const measured = await measureIdle(fleet, plan);
            figures.push(measured);
            report(measured);
        }
        return figures;
    }
    finally {
        await fleet.stop();
    }
}

async function measureIdle(fleet: CapacityFleet, plan: CapacityPlan): Promise<FleetFigures> {
    const [callsBefore, before] = [await fleet.storeCalls(), await readTotals(fleet)];
    const [first, platformFirst] = [fleet.sample(), fleet.samplePlatform()];
    await sleep(plan.windowMs);
    const [last, platformLast] = [fleet.sample(), fleet.samplePlatform()];
    const [callsAfter, after] = [await fleet.storeCalls(), await readTotals(fleet)];
    const usages = first.map((sample, index) => usageBetween(sample, last[index]!));
    const seconds = plan.windowMs / 1_000;
    const perRouter = (total: number): number => total / fleet.routers.length / seconds;
    const configInForceMs = await measureChanges(fleet, plan.changeCount);
    return {
        routers: fleet.routers.length,
        ...meanUsage(usages),
        storeReadsPerS: perRouter(difference(callsBefore, callsAfter, "reads")),
        storeWritesPerS: perRouter(difference(callsBefore, callsAfter, "writes")),
        storeWatchesPerS: perRouter(difference(callsBefore, callsAfter, "watches")),
        sentBytesPerS: perRouter(after.sentBytes - before.sentBytes),
        receivedBytesPerS: perRouter(after.receivedBytes - before.receivedBytes),
        peerCallsPerS: perRouter(after.peerCalls - before.peerCalls),
        peerBytesPerS: perRouter(after.peerBytes - before.peerBytes),
        platformCpuPercent: usageBetween(platformFirst, platformLast).cpuPercent,
        configInForceMs,
    };
}

function meanUsage(usages: readonly ProcessUsage[]): Omit<ProcessUsage, never> {
    return {
        cpuPercent: mean(usages.map(use => use.cpuPercent)),
        residentMb: mean(usages.map(use => use.residentMb)),
    };
}

function difference(before: StoreCalls, after: StoreCalls, kind: keyof StoreCalls): number {
    return after[kind] - before[kind];
}

/** Sums of the counters of all routers. */
interface FleetTotals {
    readonly peerCalls: number;
    /** Payload of peer calls in both directions. */
    readonly peerBytes: number;
    /** Payload of all TCP connections except those of operators. */
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

async function readTotals(fleet: CapacityFleet): Promise<FleetTotals> {
    const metrics = await Promise.all(fleet.routers.map(router => fleet.metricsOf(router)));
    const sum = (matches: (name: string) => boolean): number =>
        metrics.flatMap(entry => Object.entries(entry)).filter(([name]) => matches(name))
            .reduce((total, [, value]) => total + value, 0);
    return {
        peerCalls: sum(name => name.startsWith("peer.client.calls.")),
        peerBytes: sum(name => /^peer\.(client|server)\.(sent|received)Bytes$/.test(name)),
        sentBytes: sum(name => name === "network.sentBytes"),
        receivedBytes: sum(name => name === "network.receivedBytes"),
    };
}

/** @returns For each change and router, the time from the write until the version is in force, in milliseconds. */
async function measureChanges(fleet: CapacityFleet, changeCount: number): Promise<number[]> {
    const durationsMs: number[] = [];
    for (let index = 0; index < changeCount; index++) {
        const version = await changeOneTeam(fleet.store);
        const startedMs = performance.now();
        await Promise.all(fleet.routers.map(async router => {
            await fleet.awaitVersion(router, version);
            durationsMs.push(performance.now() - startedMs);
        }));
    }
    return durationsMs;
}

/**
 * Measures memory with routers that have one kind of resources each.
 * @returns Memory per budget, team and upstream in bytes, and memory without resources in MB.
 */
export async function measureMemory(settleMs: number): Promise<Record<string, number>> {
    const sizes: Readonly<Record<string, ConfigurationSize>> = {
        none: MinimumResources,
        Budget: { ...MinimumResources, budgets: TargetSize.budgets },
        Team: { ...MinimumResources, teams: TargetSize.teams },
        Upstream: { ...MinimumResources, upstreams: MeasuredUpstreams },
    };
    const residentMb: Record<string, number> = {};
    await Promise.all(
        Object.entries(sizes).map(async ([kind, size]) => {
            const fleet = new CapacityFleet();
            try {
                await fleet.start(size);
                await fleet.growTo(MemoryRouterCount, false);
                const version = await changeOneTeam(fleet.store);
                await Promise.all(fleet.routers.map(router => fleet.awaitVersion(router, version)));
                await sleep(settleMs);
                residentMb[kind] = mean(fleet.sample().map(sample => sample.residentMb));
            }
            finally {
                await fleet.stop();
            }
        }),
    );
    const bytesPer = (kind: string, count: number): number =>
        rounded((residentMb[kind]! - residentMb["none"]!) * 1_048_576 / count);
    return {
        emptyResidentMb: rounded(residentMb["none"]!),
        bytesPerBudget: bytesPer("Budget", TargetSize.budgets),
        bytesPerTeam: bytesPer("Team", TargetSize.teams),
        bytesPerUpstream: bytesPer("Upstream", MeasuredUpstreams),
    };
}

/** @returns Result: absolute figures of the largest fleet, and the increase per further peer. */
export function summarise(figures: readonly FleetFigures[], memory: Record<string, number>): CapacityResult {
    const largest = figures.at(-1);
    const slopes: Record<string, number> = { ...memory };
    const addSlope = (name: string, valueOf: (entry: FleetFigures) => number): void => {
        const slope = slopeOf(figures.map(entry => ({ x: entry.routers, y: valueOf(entry) })));
        if (slope !== undefined) {
            slopes[name] = rounded(slope);
        }
    };
    addSlope("cpuPercentPerPeer", entry => entry.cpuPercent);
    addSlope("sentBytesPerSPerPeer", entry => entry.sentBytesPerS);
    addSlope("receivedBytesPerSPerPeer", entry => entry.receivedBytesPerS);
    addSlope("residentBytesPerPeer", entry => entry.residentMb * 1_048_576);
    addSlope("storeReadsPerSPerPeer", entry => entry.storeReadsPerS);
    addSlope("storeWritesPerSPerPeer", entry => entry.storeWritesPerS);
    addSlope("platformCpuPercentPerRouter", entry => entry.platformCpuPercent);
    if (largest === undefined) {
        return { slopes };
    }
    const { routers, storeWatchesPerS, peerCallsPerS, peerBytesPerS } = largest;
    Object.assign(slopes, {
        measuredRouters: routers,
        storeWatchesPerHostPerS: rounded(storeWatchesPerS),
        peerCallsPerHostPerS: rounded(peerCallsPerS),
        peerPayloadBytesPerS: rounded(peerBytesPerS),
    });
    return {
        idleCpuPercent: rounded(largest.cpuPercent),
        controlBytesPerS: rounded(largest.sentBytesPerS + largest.receivedBytesPerS),
        residentMb: rounded(largest.residentMb),
        ...(largest.configInForceMs.length === 0 ? {} : {
            configInForceP100Ms: rounded(Math.max(...figures.flatMap(entry => entry.configInForceMs))),
        }),
        storeReadsPerHostPerS: rounded(largest.storeReadsPerS + storeWatchesPerS),
        storeWritesPerHostPerS: rounded(largest.storeWritesPerS),
        slopes,
    };
}
