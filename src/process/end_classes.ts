/**
 * The classes of the ends of a process, with their exit codes. The page
 * `docs/operators/process-ends.md` lists them with the ends that leave no line.
 */

/**
 * Exit codes by class. Node uses 1 to 13 itself and 128 and more for signals;
 * 1 is the code of an uncaught error there too.
 */
export const END_CODES = {
  /** A signal asked for the end, and no request was cut by a fault. */
  stopped: 0,
  'uncaught-error': 1,
  /** The environment names no settings file. */
  'no-settings': 2,
  /** The services could not be created. */
  'start-failed': 20,
  /** The drain did not end in the grace time. */
  'drain-limit': 21,
  /** Nothing was left that the process could wait for. */
  'no-work': 23,
} as const;

export type EndClass = keyof typeof END_CODES;
