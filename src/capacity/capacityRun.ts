/** The measurements of the capacity tool. */
import { setTimeout as sleep } from "node:timers/promises";
import { CapacityFleet, type StoreCalls } from "./capacityFleet.js";
import { type ProcessUse, useBetween } from "./processSample.js";
import { mean, rounded, slopeOf } from "./statistics.js";
import { changeOneTeam, type ConfigurationSize, TargetSize } from "./targetConfiguration.js";

/** How long and how much is measured. */
export interface CapacityPlan {
    /** Fleet sizes, growing. */
    readonly routerCounts: readonly number[];
    /** Wait after the start of routers, until the compilers and the membership have settled. */
    readonly settleMs: number;
    readonly windowMs: number;
    readonly changeCount: number;
    /** No larger fleet is started after this time. */
    readonly deadlineMs: number;
}

/** Plan of the quick mode: under 2 minutes. */
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

/** Figures of an idle fleet of one size, per router. */
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
    /** Payloads of the peer calls, both directions. */
    readonly peerBytesPerS: number;
    /** Processor time of the platform's process, for the whole fleet. */
    readonly platformCpuPercent: number;
    readonly configInForceMs: readonly number[];
}

/** The last line of the output. Figures that were not measured are left out. */
export interface CapacityResult {
    readonly idleCpuPercent?: number;
    readonly controlBytesPerS?: number;
    readonly residentMb?: number;
    readonly configInForceP100Ms?: number;
    readonly storeReadsPerHostPerS?: number;
    readonly storeWritesPerHostPerS?: number;
    readonly slopes: Readonly<Record<string, number>>;
}

/** Routers with which the memory of a part of the configuration is measured. */
const MemoryRouterCount = 2;

const NoResources: ConfigurationSize = { budgets: 0, teams: 0, upstreams: 1 };
const UpstreamTarget = 600;

/** Measures idle fleets of growing size with the target's budgets and teams. */
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
    const uses = first.map((sample, index) => useBetween(sample, last[index]!));
    const seconds = plan.windowMs / 1_000;
    const perRouter = (total: number): number => total / fleet.routers.length / seconds;
    const configInForceMs = await measureChanges(fleet, plan.changeCount);
    return {
        routers: fleet.routers.length,
        ...meanUse(uses),
        storeReadsPerS: perRouter(difference(callsBefore, callsAfter, "reads")),
        storeWritesPerS: perRouter(difference(callsBefore, callsAfter, "writes")),
        storeWatchesPerS: perRouter(difference(callsBefore, callsAfter, "watches")),
        sentBytesPerS: perRouter(after.sentBytes - before.sentBytes),
        receivedBytesPerS: perRouter(after.receivedBytes - before.receivedBytes),
        peerCallsPerS: perRouter(after.peerCalls - before.peerCalls),
        peerBytesPerS: perRouter(after.peerBytes - before.peerBytes),
        platformCpuPercent: useBetween(platformFirst, platformLast).cpuPercent,
        configInForceMs,
    };
}

function meanUse(uses: readonly ProcessUse[]): Omit<ProcessUse, never> {
    return {
        cpuPercent: mean(uses.map(use => use.cpuPercent)),
        residentMb: mean(uses.map(use => use.residentMb)),
    };
}

function difference(before: StoreCalls, after: StoreCalls, kind: keyof StoreCalls): number {
    return after[kind] - before[kind];
}

/** Counters of all routers, added up. */
interface FleetTotals {
    readonly peerCalls: number;
    /** Payload of peer calls in both directions. */
    readonly peerBytes: number;
    /** Payload of all TCP connections but the operators'. */
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

/** @returns For each change and router, the time from the write to the version being in force. */
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

/** @returns Memory per budget, team and upstream in bytes, from routers with one kind of resources each. */
export async function measureMemory(settleMs: number): Promise<Record<string, number>> {
    const sizes: Readonly<Record<string, ConfigurationSize>> = {
        none: NoResources,
        Budget: { ...NoResources, budgets: TargetSize.budgets },
        Team: { ...NoResources, teams: TargetSize.teams },
        Upstream: { ...NoResources, upstreams: UpstreamTarget },
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
        bytesPerUpstream: bytesPer("Upstream", UpstreamTarget),
    };
}

/** @returns The result: absolute figures of the largest fleet, and what each further peer adds. */
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
