/** A fitted line `y = intercept + slope * x`; `fit` is the share of the variance that it explains (R²). */
type Line = {readonly slope: number; readonly intercept: number; readonly fit: number};

/** Fits a line to points by the method of least squares. */
export function fitLine(points: ReadonlyArray<readonly [number, number]>): Line {
	const count = points.length;
	const meanX = sum(points.map(([x]) => x)) / count;
	const meanY = sum(points.map(([, y]) => y)) / count;
	const xx = sum(points.map(([x]) => (x - meanX) ** 2));
	const xy = sum(points.map(([x, y]) => (x - meanX) * (y - meanY)));
	const yy = sum(points.map(([, y]) => (y - meanY) ** 2));
	const slope = xx === 0 ? 0 : xy / xx;
	return {slope, intercept: meanY - (slope * meanX), fit: xx === 0 || yy === 0 ? 1 : (xy ** 2) / (xx * yy)};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
