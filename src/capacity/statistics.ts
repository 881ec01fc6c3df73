/** Statistics of measured figures. */

/** @returns The arithmetic mean; NaN for no values. */
export function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** @returns The slope of the least-squares line through the points; `undefined` with fewer than two different x. */
export function slopeOf(points: readonly { readonly x: number; readonly y: number; }[]): number | undefined {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    return spread > 0 ? points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / spread : undefined;
}

/** @returns The value with three significant digits. */
export function rounded(value: number): number {
    return Number(value.toPrecision(3));
}
