/** When entries were started, ended or paused, as that excuses some promises. */
import type {SoakFleet} from './soak_fleet.js';

const LOOK_MS = 20;

export interface Disturbance {
  /** Whether the entry was disturbed between the times, or just at them. */
  isDisturbed(entry: number, from: number, to: number): boolean;
  stop(): void;
}

export function watchDisturbance(fleet: SoakFleet): Disturbance {
  /** Times at which an entry was not undisturbed, by entry. */
  const disturbed = fleet.entries.map((): number[] => []);
  const timer = setInterval(() => {
    const now = performance.now();
    fleet.entries.forEach((entry, at) => {
      if (!entry.isUndisturbedSince(now - LOOK_MS)) disturbed[at].push(now);
    });
  }, LOOK_MS);
  return {
    isDisturbed: (entry, from, to) =>
      disturbed[entry].some(time => time > from && time <= to + LOOK_MS),
    stop: () => clearInterval(timer),
  };
}
