/** Keeps disturbances from a fleet for a while. */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

export interface Gate {
  /** Then no disturbance is to begin. */
  isClosed(): boolean;
  /** Runs one to its end. */
  run<T>(disturbance: () => Promise<T>): Promise<T>;
  /** Resolves when those that had begun have ended. */
  close(): Promise<void>;
  open(): void;
}

export function createGate(): Gate {
  let isClosed = false;
  let running = 0;
  return {
    isClosed: () => isClosed,
    run: async disturbance => {
      running++;
      try {
        return await disturbance();
      } finally {
        running--;
      }
    },
    close: async () => {
      isClosed = true;
      while (running > 0) await sleep(POLL_MS);
    },
    open: () => {
      isClosed = false;
    },
  };
}
