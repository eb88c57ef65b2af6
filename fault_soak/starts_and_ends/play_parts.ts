/** The command line of a soak whose parts are played at once, or one of them. */
import {parseArgs} from 'node:util';
import {maybeNamed, playSeeds} from '../play_seeds.js';

export interface PartsShape<P extends string> {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  readonly durationMs: number;
  /** @default all of them */
  readonly only?: P;
  /** Folder of a build. @default this repository is built */
  readonly program?: string;
  /** Where the build, settings and logs are written. */
  readonly dir: string;
}

export interface PartsSoak<P extends string> {
  readonly name: string;
  readonly parts: readonly P[];
  /** Length of a run, unless the command line gives one. */
  readonly minutes: string;
  run(
    shape: PartsShape<P>,
  ): Promise<{readonly violations: readonly string[]} & object>;
}

export async function playParts<P extends string>(
  soak: PartsSoak<P>,
): Promise<void> {
  const {values} = parseArgs({
    options: {
      seed: {type: 'string', default: '1'},
      seeds: {type: 'string', default: '1'},
      processes: {type: 'string', default: '3'},
      minutes: {type: 'string', default: soak.minutes},
      only: {type: 'string'},
      program: {type: 'string'},
    },
  });
  const only = maybeNamed(soak.parts, values.only);
  await playSeeds({
    name: soak.name,
    values,
    play: async (seed, dir) => {
      const {violations, ...figures} = await soak.run({
        seed,
        processes: Number(values.processes),
        durationMs: Number(values.minutes) * 60_000,
        only,
        program: values.program,
        dir,
      });
      return {figures, broken: violations.map(it => `BROKEN ${it}`)};
    },
  });
}
