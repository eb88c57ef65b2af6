/** Plans faults at random times, whose gaps are exponentially distributed. */
import type {Random} from '../../src/types/runtime.js';
import type {Fault, PlannedFault} from '../faults.js';

/** `draw` is called for each time in turn and gives the fault of that time. */
export function planAtRandom(
  random: Random,
  meanGapMs: number,
  durationMs: number,
  draw: () => Fault,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * meanGapMs;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    plan.push({atMs, fault: draw()});
  }
  return plan;
}
