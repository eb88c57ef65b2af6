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
 * Runs a step and, only if it threw, runs it a second time, whose error is thrown.
 * It is for bookkeeping that must not be lost to one error, and that does no harm
 * when it is done twice: an entry that stays in a set of open requests, for example,
 * would keep a drain from ending.
 */
export function runTwice(step: () => void): void {
  if (!runEach([step])) step();
}
