/** When entries adopted versions of the configuration, by their logs. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';

const ADOPTED = '"direct-config-adopted"';

/** Steady time of each version's adoption. */
export function readAdoptions(
  dir: string,
  entry: string,
): ReadonlyMap<number, number> {
  const lines = readFileSync(join(dir, `${entry}.log`), 'utf8').split('\n');
  const adopted = lines
    .filter(line => line.includes(ADOPTED))
    .map(line => JSON.parse(line) as {time: string; version: number})
    .map(({time, version}) => {
      const at = Date.parse(time) - performance.timeOrigin;
      return [version, at] as const;
    });
  // A process that starts again adopts the newest version once more.
  return new Map(adopted.reverse());
}
