/** Compares the latencies of upstreams with those of others that offer the same models. */
import { median } from "./latencyWindow.js";

/** Latency estimates of one upstream in milliseconds; `undefined` while there are no samples. */
export interface LatencyEstimates {
    readonly firstTokenMs: number | undefined;
    readonly interTokenMs: number | undefined;
    /** Duration per output token of responses that are not streamed; the whole duration for calls to plain services. */
    readonly wholeMsPerToken: number | undefined;
}

/** Thresholds and maximum of slowness ratios; see the upstream settings. */
export interface SlownessSettings {
    readonly slowFirstTokenRatio: number;
    readonly slowFirstTokenMinExcessMs: number;
    readonly slowInterTokenRatio: number;
    readonly maxSlownessFactor: number;
}

/** In larger groups each member is compared with the median of all members, itself included; one hardly changes it. */
const MaxExactGroupSize = 12;

/**
 * Compares the members of a group of upstreams that offer the same models.
 * @param group Estimates of the members.
 * @returns For each member its largest ratio to the median of the others, of the ratios that reach their threshold; 1 if none
 * does.
 */
export function slownessRatios(group: readonly LatencyEstimates[], settings: SlownessSettings): number[] {
    const groupMedians = group.length > MaxExactGroupSize ? mediansOf(group) : undefined;
    return group.map(own => {
        return slownessRatio(own, groupMedians ?? mediansOf(group.filter(other => other !== own)), settings);
    });
}

/** @returns The median of each estimate over the members that have one. */
export function mediansOf(group: readonly LatencyEstimates[]): LatencyEstimates {
    const medianBy = (select: (estimates: LatencyEstimates) => number | undefined) =>
        median(group.map(select).filter(value => value !== undefined));
    return {
        firstTokenMs: medianBy(estimates => estimates.firstTokenMs),
        interTokenMs: medianBy(estimates => estimates.interTokenMs),
        wholeMsPerToken: medianBy(estimates => estimates.wholeMsPerToken),
    };
}

function slownessRatio(own: LatencyEstimates, typical: LatencyEstimates, settings: SlownessSettings): number {
    const firstTokenExcessMs = (own.firstTokenMs ?? 0) - (typical.firstTokenMs ?? Number.POSITIVE_INFINITY);
    const ratios = [
        firstTokenExcessMs >= settings.slowFirstTokenMinExcessMs ?
            ratioAboveThreshold(own.firstTokenMs, typical.firstTokenMs, settings.slowFirstTokenRatio) :
            1,
        ratioAboveThreshold(own.interTokenMs, typical.interTokenMs, settings.slowInterTokenRatio),
        ratioAboveThreshold(own.wholeMsPerToken, typical.wholeMsPerToken, settings.slowInterTokenRatio),
    ];
    return Math.min(Math.max(...ratios), settings.maxSlownessFactor);
}

/** @returns The ratio of a value to the typical one if it reaches the threshold, or 1. */
function ratioAboveThreshold(value: number | undefined, typical: number | undefined, threshold: number): number {
    if (value === undefined || typical === undefined || typical <= 0) {
        return 1;
    }
    return value / typical >= threshold ? value / typical : 1;
}
