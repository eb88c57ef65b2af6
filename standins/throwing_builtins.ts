/**
 * A text that runs before the program and lets built-in functions throw where the
 * program's own code calls them: an error of the program itself, at any place.
 */

export interface ThrowingBuiltins {
  /** File of the program, as stacks name it. */
  readonly program: string;
  /** Time before the first error, in milliseconds. */
  readonly afterMs: number;
  /** Shortest time between two errors, in milliseconds. */
  readonly gapMs: number;
  /**
   * Only calls with a matching function in their stack throw, and each time; a
   * text of a regular expression. @default each place throws once
   */
  readonly each?: string;
  /** Time after which no call throws, in milliseconds. @default never */
  readonly untilMs?: number;
  /** Share of the calls that are considered. @default all of them */
  readonly share?: number;
  /** Of what is drawn where only a share is considered. */
  readonly seed?: number;
  /** File that gets a line for each error: its time of day and its place. */
  readonly record?: string;
}

/** Text to write in front of the file that is run. */
export function throwingBuiltins(options: ThrowingBuiltins): string {
  return `(${install.toString()})(${JSON.stringify(options)}, require('node:fs'));\n`;
}

/** Marks the errors in the process's lines. */
export const THROWN = 'thrown by a built-in function';

// Runs in the process under test, so it uses nothing from outside.
function install(
  options: ThrowingBuiltins,
  {appendFileSync}: {appendFileSync(path: string, text: string): void},
): void {
  const {program, afterMs, gapMs, each, record} = options;
  const {untilMs = Infinity, share = 1, seed = 0} = options;
  const STACK_LINES = 12;
  // Lines of the stack that a record shows, and records in a file at most.
  const RECORDED_LINES = 5;
  const MOST_RECORDS = 2_000;
  const apply = Reflect.apply;
  const now = performance.now.bind(performance);
  const wallNow = Date.now;
  const {includes, split, trim} = String.prototype;
  const {slice, join} = Array.prototype;
  const {imul} = Math;
  const {has, add} = Set.prototype;
  const test = RegExp.prototype.test;
  const pattern = each === undefined ? undefined : new RegExp(each);
  const thrown = new Set<string>();
  const startAt = now() + afterMs;
  let lastAt = 0;
  let isLooking = false;
  let records = 0;
  // A generator of its own, so that the program's random numbers stay as they are.
  let state = seed | 0;
  const draw = (): number => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  const write = (name: string, lines: string[]): void => {
    if (record === undefined || ++records > MOST_RECORDS) return;
    const shown = apply(slice, lines, [3, 3 + RECORDED_LINES]) as string[];
    const trimmed: string[] = [];
    for (const line of shown) {
      trimmed[trimmed.length] = apply(trim, line, []) as string;
    }
    const text = apply(join, trimmed, [' < ']) as string;
    appendFileSync(record, `${wallNow()} ${name} ${text}\n`);
  };

  const isDue = (name: string): boolean => {
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = STACK_LINES;
    const stack = new Error().stack ?? '';
    Error.stackTraceLimit = limit;
    const lines = apply(split, stack, ['\n']) as string[];
    // The message, this function, and the wrapper.
    const caller = lines[3] ?? '';
    if (!(apply(includes, caller, [program]) as boolean)) return false;
    if (pattern === undefined) {
      const place = `${name} ${caller}`;
      if (apply(has, thrown, [place]) as boolean) return false;
      apply(add, thrown, [place]);
    } else if (!(apply(test, pattern, [stack]) as boolean)) return false;
    write(name, lines);
    return true;
  };
  const wrap = (owner: object, name: string): void => {
    const fields = owner as Record<string, unknown>;
    const fn = fields[name] as (...args: unknown[]) => unknown;
    fields[name] = function throwing(this: unknown, ...args: unknown[]) {
      const at = isLooking ? 0 : now();
      const isTime = at >= startAt && at < untilMs && at - lastAt >= gapMs;
      if (isTime && (share >= 1 || draw() < share)) {
        isLooking = true;
        let due = false;
        try {
          due = isDue(name);
        } finally {
          isLooking = false;
        }
        if (due) {
          lastAt = at;
          throw new Error('thrown by a built-in function');
        }
      }
      return apply(fn, this, args) as unknown;
    };
  };
  const wrapAll = (owner: object, names: readonly string[]): void => {
    for (const name of names) wrap(owner, name);
  };
  wrapAll(Map.prototype, ['get', 'set', 'delete', 'has', 'keys', 'values']);
  wrapAll(Set.prototype, ['add', 'delete', 'has']);
  wrapAll(Math, ['min', 'max', 'round', 'ceil', 'floor']);
  wrapAll(Object, ['entries', 'keys', 'values', 'fromEntries']);
  wrapAll(JSON, ['stringify', 'parse']);
  wrapAll(Buffer, ['concat', 'from', 'byteLength']);
  wrapAll(String.prototype, ['slice', 'split', 'toLowerCase', 'startsWith']);
  wrapAll(Array.prototype, [
    'map',
    'filter',
    'push',
    'find',
    'some',
    'every',
    'reduce',
    'sort',
    'slice',
    'join',
    'forEach',
    'shift',
    'includes',
    'flatMap',
  ]);
}
