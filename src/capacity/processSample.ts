/** Reads from the operating system which resources a process uses. */
import { readdirSync, readFileSync } from "node:fs";

/** Processor time and memory of a process at one time. */
export interface ProcessSample {
    /** Time of the sample, in milliseconds of the monotonic clock. */
    readonly atMs: number;
    /** Processor time of all threads since their start, in milliseconds. */
    readonly cpuMs: number;
    readonly residentMb: number;
}

/** Resource usage of a process between two samples. */
export interface ProcessUsage {
    /** Mean processor time, in percent of one processor. */
    readonly cpuPercent: number;
    /** Memory at the second sample. */
    readonly residentMb: number;
}

/** @returns Sample of a running process; throws when the process does not exist. */
export function sampleProcess(processId: number): ProcessSample {
    const directory = `/proc/${processId}`;
    return {
        atMs: performance.now(),
        cpuMs: readCpuMs(directory),
        residentMb: readField(`${directory}/status`, "VmRSS") / 1_024,
    };
}

/** @returns Resource usage between two samples of a process. */
export function usageBetween(first: ProcessSample, last: ProcessSample): ProcessUsage {
    const seconds = (last.atMs - first.atMs) / 1_000;
    return {
        cpuPercent: (last.cpuMs - first.cpuMs) / seconds / 10,
        residentMb: last.residentMb,
    };
}

/**
 * Reads processor time from `schedstat`, whose unit is nanoseconds; the totals in `stat` are too coarse for an idle process.
 * Threads that end meanwhile count as 0.
 */
function readCpuMs(directory: string): number {
    const threads = readdirSync(`${directory}/task`);
    const nanoseconds = threads.map(thread => {
        try {
            return Number(readFileSync(`${directory}/task/${thread}/schedstat`, "utf8").split(" ")[0]);
        }
        catch {
            return 0;
        }
    });
    return nanoseconds.reduce((sum, value) => sum + value, 0) / 1e6;
}

function readField(file: string, name: string): number {
    const line = readFileSync(file, "utf8").split("\n").find(text => text.startsWith(`${name}:`)) ?? "";
    return Number(/\d+/.exec(line)?.[0] ?? Number.NaN);
}
