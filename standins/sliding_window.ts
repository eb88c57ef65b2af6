/** Counts events in windows that may begin at any time. */

/** Most arrivals in any window; the times are in ascending order. */
export function mostInWindow(
  arrivals: readonly number[],
  windowMs: number,
): number {
  let first = 0;
  let most = 0;
  arrivals.forEach((at, index) => {
    while (arrivals[first] <= at - windowMs) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
