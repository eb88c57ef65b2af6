/**
 * The load of an entry as it travels in a datagram: lists in place of named
 * fields, whole numbers. An entry sends it at each change to every other one,
 * and names were three quarters of its bytes.
 */
import type {ReplicaLoad} from './load_book.js';

type PackedLoad = readonly [
  replicaId: string,
  running: number,
  tokens: number,
  readMs: number,
  readers: readonly (readonly [number, number, number])[],
  writers: readonly (readonly [number, number])[],
];

/** Stands for no limit on a pause, which JSON has no number for. */
const NO_PAUSE_AIM = -1;

export function packLoads(
  loads: readonly ReplicaLoad[],
): readonly PackedLoad[] {
  return loads.map(load => [
    load.replicaId,
    load.running,
    Math.round(load.tokens),
    Math.round(load.readMs),
    load.readers.map(({slackMs, marginMs, weight}) => [
      Math.round(slackMs),
      Math.round(marginMs),
      Math.round(weight),
    ]),
    load.writers.map(({pauseAimMs, weight}) => [
      Number.isFinite(pauseAimMs) ? pauseAimMs : NO_PAUSE_AIM,
      Math.round(weight),
    ]),
  ]);
}

export function unpackLoads(
  packed: readonly PackedLoad[],
): readonly ReplicaLoad[] {
  return packed.map(
    ([replicaId, running, tokens, readMs, readers, writers]) => ({
      replicaId,
      running,
      tokens,
      readMs,
      readers: readers.map(([slackMs, marginMs, weight]) => ({
        slackMs,
        marginMs,
        weight,
      })),
      writers: writers.map(([pauseAimMs, weight]) => ({
        pauseAimMs: pauseAimMs === NO_PAUSE_AIM ? Infinity : pauseAimMs,
        weight,
      })),
    }),
  );
}
