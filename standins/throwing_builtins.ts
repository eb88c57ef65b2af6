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
}

/** Text to write in front of the file that is run. */
export function throwingBuiltins(options: ThrowingBuiltins): string {
  return `(${install.toString()})(${JSON.stringify(options)});\n`;
}

/** Marks the errors in the process's lines. */
export const THROWN = 'thrown by a built-in function';

// Runs in the process under test, so it uses nothing from outside.
function install({program, afterMs, gapMs, each}: ThrowingBuiltins): void {
  const STACK_LINES = 12;
  const apply = Reflect.apply;
  const now = performance.now.bind(performance);
  const {includes, split} = String.prototype;
  const {has, add} = Set.prototype;
  const test = RegExp.prototype.test;
  const pattern = each === undefined ? undefined : new RegExp(each);
  const thrown = new Set<string>();
  const startAt = now() + afterMs;
  let lastAt = 0;
  let isLooking = false;

  const isDue = (name: string): boolean => {
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = STACK_LINES;
    const stack = new Error().stack ?? '';
    Error.stackTraceLimit = limit;
    const lines = apply(split, stack, ['\n']) as string[];
    // The message, this function, and the wrapper.
    const caller = lines[3] ?? '';
    if (!(apply(includes, caller, [program]) as boolean)) return false;
    if (pattern !== undefined) return apply(test, pattern, [stack]) as boolean;
    const place = `${name} ${caller}`;
    if (apply(has, thrown, [place]) as boolean) return false;
    apply(add, thrown, [place]);
    return true;
  };
  const wrap = (owner: object, name: string): void => {
    const fields = owner as Record<string, unknown>;
    const fn = fields[name] as (...args: unknown[]) => unknown;
    fields[name] = function throwing(this: unknown, ...args: unknown[]) {
      const at = isLooking ? 0 : now();
      if (at >= startAt && at - lastAt >= gapMs) {
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
