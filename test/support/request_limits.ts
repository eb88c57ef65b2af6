/** The bound on arrivals at a replica that names a request limit. */

const WINDOW_MS = 4_000;
/** Share of the limit, and requests beside it, that a window may have. */
const WINDOW_SHARE = 1.5;
const WINDOW_EXTRA = 5;

/** Arrivals that one window may have at a limit of so many a second. */
export function allowedInWindow(perSecond: number): number {
  return WINDOW_SHARE * (WINDOW_MS / 1_000) * perSecond + WINDOW_EXTRA;
}

/** Most arrivals in any window; the times are in ascending order. */
export function mostInWindow(arrivals: readonly number[]): number {
  let first = 0;
  let most = 0;
  arrivals.forEach((at, index) => {
    while (arrivals[first] <= at - WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
