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
