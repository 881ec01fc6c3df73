/** The host's monotonic clock, which all processes since one boot of the host share. */

const NsPerMs = 1_000_000n;

/** @returns Time since an arbitrary moment before the boot of the host, in milliseconds. */
export function steadyMs(): number {
    return Number(process.hrtime.bigint() / NsPerMs);
}
