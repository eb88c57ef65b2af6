/** Plays the seeds of a soak one after the other and reports what broke. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const EXIT_USAGE = 2;

/** What came of one seed. */
export interface SeedResult {
  /** Written as one line of JSON. */
  readonly figures: object;
  /** A line for each broken promise; none where all were kept. */
  readonly broken: readonly string[];
}

export interface SeedsOptions {
  /** Name of the soak, for the folder of its settings and logs. */
  readonly name: string;
  /** First seed and number of seeds, as they were given. */
  readonly values: {readonly seed: string; readonly seeds: string};
  play(seed: number, dir: string): Promise<SeedResult>;
}

/**
 * Sets the exit code to 1 when a promise was broken. The logs of such a seed are
 * kept.
 */
export async function playSeeds(options: SeedsOptions): Promise<void> {
  // The processes of a run are ended when this one exits, which a signal alone
  // would not bring about.
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  const first = Number(options.values.seed);
  const count = Number(options.values.seeds);
  for (let seed = first; seed < first + count; seed++) {
    if (!(await playSeed(options, seed))) process.exitCode = 1;
  }
}

async function playSeed(
  {name, play}: SeedsOptions,
  seed: number,
): Promise<boolean> {
  const dir = mkdtempSync(join(tmpdir(), `${name}-${seed}-`));
  const {figures, broken} = await play(seed, dir);
  print(JSON.stringify(figures));
  for (const line of broken) print(`  ${line}`);
  if (broken.length === 0) rmSync(dir, {recursive: true});
  else print(`  logs in ${dir}`);
  return broken.length === 0;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** One of the known names; ends the program for any other one. */
export function named<T extends string>(known: readonly T[], name: string): T {
  const found = known.find(it => it === name);
  if (found !== undefined) return found;
  process.stderr.write(`no "${name}"; there are: ${known.join(', ')}\n`);
  process.exit(EXIT_USAGE);
}

export function maybeNamed<T extends string>(
  known: readonly T[],
  name: string | undefined,
): T | undefined {
  return name === undefined ? undefined : named(known, name);
}

export function maybeNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}
