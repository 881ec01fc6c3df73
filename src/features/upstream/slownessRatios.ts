/** Slowness of upstreams relative to others with the same models. */
import { median } from "./latencyWindow.js";

/** Estimates of one upstream; `undefined` while there are no samples. */
export interface LatencyEstimates {
    readonly firstTokenMs: number | undefined;
    readonly interTokenMs: number | undefined;
    /** Duration per output token of answers that are not streamed. */
    readonly wholeMsPerToken: number | undefined;
}

/** Settings of {@link slownessRatio}. */
export interface SlownessSettings {
    readonly slowFirstTokenRatio: number;
    readonly slowFirstTokenMinExcessMs: number;
    readonly slowInterTokenRatio: number;
    readonly maxSlownessFactor: number;
}

/** Groups larger than this are compared with the median of all, because one member hardly moves it. */
const MaxExactGroupSize = 12;

/**
 * Compares the members of a group of upstreams with the same models.
 * @param group Estimates of the members.
 * @returns For each member the largest ratio to the median of the others that exceeds its threshold, or 1.
 */
export function slownessRatios(group: readonly LatencyEstimates[], settings: SlownessSettings): number[] {
    const shared = group.length > MaxExactGroupSize ? mediansOf(group) : undefined;
    return group.map(own => {
        return slownessRatio(own, shared ?? mediansOf(group.filter(other => other !== own)), settings);
    });
}

/** @returns The median of each estimate over those that have it. */
export function mediansOf(group: readonly LatencyEstimates[]): LatencyEstimates {
    const medianBy = (select: (estimates: LatencyEstimates) => number | undefined) =>
        median(group.map(select).filter(value => value !== undefined));
    return {
        firstTokenMs: medianBy(estimates => estimates.firstTokenMs),
        interTokenMs: medianBy(estimates => estimates.interTokenMs),
        wholeMsPerToken: medianBy(estimates => estimates.wholeMsPerToken),
    };
}

function slownessRatio(own: LatencyEstimates, usual: LatencyEstimates, settings: SlownessSettings): number {
    const firstTokenExcessMs = (own.firstTokenMs ?? 0) - (usual.firstTokenMs ?? Number.POSITIVE_INFINITY);
    const ratios = [
        firstTokenExcessMs >= settings.slowFirstTokenMinExcessMs ?
            exceeding(own.firstTokenMs, usual.firstTokenMs, settings.slowFirstTokenRatio) :
            1,
        exceeding(own.interTokenMs, usual.interTokenMs, settings.slowInterTokenRatio),
        exceeding(own.wholeMsPerToken, usual.wholeMsPerToken, settings.slowInterTokenRatio),
    ];
    return Math.min(Math.max(...ratios), settings.maxSlownessFactor);
}

function exceeding(value: number | undefined, usual: number | undefined, threshold: number): number {
    if (value === undefined || usual === undefined || usual <= 0) {
        return 1;
    }
    return value / usual >= threshold ? value / usual : 1;
}
