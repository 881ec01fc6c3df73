import { describe, expect, it } from "vitest";
import { type FleetFigures, summarise } from "./capacityRun.js";
import { sampleProcess, usageBetween } from "./processSample.js";

const figures: FleetFigures = {
    routers: 4,
    cpuPercent: 1,
    sentBytesPerS: 1_000,
    receivedBytesPerS: 900,
    residentMb: 100,
    storeReadsPerS: 0.1,
    storeWritesPerS: 0.5,
    storeWatchesPerS: 0.04,
    peerCallsPerS: 1,
    peerBytesPerS: 1_200,
    platformCpuPercent: 1,
    configInForceMs: [5, 9],
};

describe("capacity figures", () => {
    it("come from the largest fleet, with watches counted as reads (guards against a busy store that appears idle)", () => {
        const result = summarise([figures, { ...figures, routers: 8, cpuPercent: 1.4, configInForceMs: [7] }], {});
        expect(result).toMatchObject({ idleCpuPercent: 1.4, controlBytesPerS: 1_900, configInForceP100Ms: 9 });
        expect(result.storeReadsPerHostPerS).toBeCloseTo(0.14);
        expect(result.slopes["cpuPercentPerPeer"]).toBeCloseTo(0.1);
    });

    it("are absent when they were not measured (guards against figures without a measurement)", () => {
        expect(summarise([], { emptyResidentMb: 80 })).toEqual({ slopes: { emptyResidentMb: 80 } });
        expect(summarise([figures], {}).slopes).not.toHaveProperty("cpuPercentPerPeer");
        expect(summarise([{ ...figures, configInForceMs: [] }], {})).not.toHaveProperty("configInForceP100Ms");
    });

    it("count the processor time of a process (guards against a processor time that is always zero)", () => {
        const first = sampleProcess(process.pid);
        const deadlineMs = performance.now() + 60;
        while (performance.now() < deadlineMs) {
            Math.sqrt(deadlineMs);
        }
        const usage = usageBetween(first, sampleProcess(process.pid));
        expect(usage.cpuPercent).toBeGreaterThan(5);
        expect(usage.residentMb).toBeGreaterThan(20);
    });
});
