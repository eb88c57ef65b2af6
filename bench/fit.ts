/** Straight lines through measured points, by least squares. */

/** What was varied, and what was read then. */
export type Point = readonly [x: number, y: number];

/** `y = intercept + slope * x`, with how far the points lie off it. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the points' spread that the line explains, 0 to 1. */
  readonly r2: number;
  /** Root mean square distance of the points from the line, in units of y. */
  readonly residual: number;
}

/** Fits a line; points that all have the same x give a slope of 0. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = sum(points.map(([x]) => x)) / count;
  const meanY = sum(points.map(([, y]) => y)) / count;
  const spreadX = sum(points.map(([x]) => (x - meanX) ** 2));
  const spreadY = sum(points.map(([, y]) => (y - meanY) ** 2));
  const joint = sum(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const slope = spreadX === 0 ? 0 : joint / spreadX;
  const intercept = meanY - slope * meanX;
  const missed = sum(points.map(([x, y]) => (y - intercept - slope * x) ** 2));
  return {
    slope,
    intercept,
    r2: spreadY === 0 ? 1 : 1 - missed / spreadY,
    residual: Math.sqrt(missed / count),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
