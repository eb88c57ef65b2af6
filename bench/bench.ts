/** Runs one bench by name: `npm run bench -- NAME [options]`. */
import {benchPolicy} from './policy.js';

type Bench = (args: readonly string[]) => Promise<void>;

const BENCHES: ReadonlyMap<string, Bench> = new Map([['policy', benchPolicy]]);

const [name = '', ...args] = process.argv.slice(2);
const bench = BENCHES.get(name);
if (bench === undefined) {
  console.error(
    `no bench "${name}"; there are: ${[...BENCHES.keys()].join(', ')}`,
  );
  process.exitCode = 2;
} else {
  await bench(args);
}
