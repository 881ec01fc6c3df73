/** Resources that a process has used, as the operating system counts them. */
import { readdirSync, readFileSync } from "node:fs";

/** Counters of a process since its start. */
export interface ProcessSample {
    readonly atMs: number;
    readonly cpuMs: number;
    readonly residentMb: number;
}

/** Use of a process between two samples. */
export interface ProcessUse {
    readonly cpuPercent: number;
    readonly residentMb: number;
}

/** @returns The counters of a running process. */
export function sampleProcess(processId: number): ProcessSample {
    const folder = `/proc/${processId}`;
    return {
        atMs: performance.now(),
        cpuMs: readCpuMs(folder),
        residentMb: readField(`${folder}/status`, "VmRSS") / 1_024,
    };
}

/** @returns What was used between two samples of a process. */
export function useBetween(first: ProcessSample, last: ProcessSample): ProcessUse {
    const seconds = (last.atMs - first.atMs) / 1_000;
    return {
        cpuPercent: (last.cpuMs - first.cpuMs) / seconds / 10,
        residentMb: last.residentMb,
    };
}

/** The scheduler counts in nanoseconds; the totals of `stat` are too coarse for an idle process. */
function readCpuMs(folder: string): number {
    const threads = readdirSync(`${folder}/task`);
    const nanoseconds = threads.map(thread => {
        try {
            return Number(readFileSync(`${folder}/task/${thread}/schedstat`, "utf8").split(" ")[0]);
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
