/** Collects points into the slopes file: series of points, each with its line. */
import {cpus, loadavg, totalmem} from 'node:os';
import {fitLine} from './fit.js';
import type {Line, Point} from './fit.js';

/** Who pays: a process of a role, or the platform's object API. */
export type Payer = 'entry' | 'side' | 'object-api';

/** One figure against what was varied. */
export interface Series {
  readonly payer: Payer;
  readonly figure: string;
  readonly unit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** All figures of one sweep. */
export interface Sweep {
  readonly name: string;
  /** What was varied, and its unit. */
  readonly varied: string;
  /** What stayed the same. */
  readonly fixed: string;
  readonly series: readonly Series[];
}

export interface Machine {
  readonly cpu: string;
  readonly cores: number;
  readonly memoryGb: number;
  readonly node: string;
  /** Mean number of runnable processes over five minutes, at the end. */
  readonly load: number;
}

/** What the slopes file holds. */
export interface SlopesFile {
  readonly command: string;
  readonly machine: Machine;
  readonly sweeps: readonly Sweep[];
}

export interface Recorder {
  note(payer: Payer, figure: string, unit: string, point: Point): void;
  sweep(): Sweep;
}

export function createRecorder(
  name: string,
  varied: string,
  fixed: string,
): Recorder {
  const series = new Map<string, Omit<Series, 'line'>>();
  return {
    note: (payer, figure, unit, point) => {
      const key = `${payer} ${figure}`;
      const points = [...(series.get(key)?.points ?? []), round(point)];
      series.set(key, {payer, figure, unit, points});
      console.log(
        `${name}: ${varied} ${point[0]}: ${key} ${point[1].toFixed(3)} ${unit}`,
      );
    },
    sweep: () => ({
      name,
      varied,
      fixed,
      series: [...series.values()].map(one => ({
        ...one,
        line: fitLine(one.points),
      })),
    }),
  };
}

/** What was measured is no finer than this. */
function round([x, y]: Point): Point {
  return [x, Number(y.toPrecision(5))];
}

export function thisMachine(): Machine {
  return {
    cpu: cpus()[0]?.model ?? 'unknown',
    cores: cpus().length,
    memoryGb: Math.round(totalmem() / 1e9),
    node: process.version,
    load: loadavg()[1] ?? Number.NaN,
  };
}
