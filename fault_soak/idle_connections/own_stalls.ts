/**
 * Times in which the soak's own process stood still. Its callers and links were
 * late then, so what they saw tells nothing of times.
 */
import type {Span} from '../silent_replicas/replica_process.js';

const LOOK_MS = 20;
/** Shorter stalls are within the slack of the judge. */
const SHORTEST_MS = 100;

export interface OwnStalls {
  /** Whether it stood still at some moment between the times. */
  hadAny(from: number, to: number): boolean;
  stop(): void;
}

export function watchOwnStalls(): OwnStalls {
  const stalls: Span[] = [];
  let lookedAt = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - lookedAt - LOOK_MS > SHORTEST_MS) {
      stalls.push({from: lookedAt, to: now});
    }
    lookedAt = now;
  }, LOOK_MS);
  return {
    hadAny: (from, to) => stalls.some(it => it.from <= to && it.to >= from),
    stop: () => clearInterval(timer),
  };
}
