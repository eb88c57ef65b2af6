/**
 * Runs all steps, also after one that fails. Returns whether none has failed.
 * It is for what follows an error that has been reported already.
 */
export function runEach(steps: ReadonlyArray<() => void>): boolean {
  let isWell = true;
  for (const step of steps) {
    try {
      step();
    } catch {
      isWell = false;
    }
  }
  return isWell;
}

/**
 * Calls `visit` for all items, also after one that fails, and then throws the
 * first error: one item must not keep the others from theirs.
 */
export function visitAll<T>(
  items: Iterable<T>,
  visit: (item: T) => void,
): void {
  let first: {readonly err: unknown} | undefined;
  for (const item of items) {
    try {
      visit(item);
    } catch (err) {
      first ??= {err};
    }
  }
  if (first !== undefined) throw first.err;
}

/** Runs all steps, also after one that fails, and then throws the first error. */
export function runAll(steps: ReadonlyArray<() => void>): void {
  visitAll(steps, step => step());
}

/**
 * Runs a step once more after an error in it. It is for bookkeeping that nothing
 * else would make up for, such as a count that a drain waits for.
 */
export function runTwice(step: () => void): void {
  if (!runEach([step])) step();
}
