/** Drains the front also where it fails and restarts meanwhile. */
import type {Clock} from '../../types/runtime.js';

/** Pause before the front is asked again; the kernel restarts it after 50 ms. */
const ASK_AGAIN_MS = 50;

/**
 * Resolves when `drain` has resolved, or when the grace time is over. A rejection
 * says that the front has failed, which the kernel logs.
 */
export async function repeatDrain(
  clock: Clock,
  graceMs: number,
  drain: () => Promise<void>,
): Promise<void> {
  const endsAt = clock.now() + graceMs;
  while (clock.now() < endsAt) {
    const isDrained = await drain().then(
      () => true,
      () => false,
    );
    if (isDrained) return;
    await new Promise<void>(resolve => void clock.after(ASK_AGAIN_MS, resolve));
  }
}
