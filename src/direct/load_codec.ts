/**
 * Encodes an entry's load for a datagram, as arrays of whole numbers instead of
 * named fields. An entry sends its load to every other entry at each change,
 * and field names made up three quarters of those bytes.
 */
import {Just, Nothing} from 'purify-ts/Maybe';
import type {Maybe} from 'purify-ts/Maybe';
import type {ReplicaLoad} from './replica_load.js';

type PackedLoad = readonly [
  replicaId: string,
  running: number,
  tokens: number,
  readMs: number,
  readers: readonly (readonly [number, number, number])[],
  writers: readonly (readonly [number, number])[],
];

/**
 * Encodes the absence of a limit on pauses, since JSON has no number for
 * infinity.
 */
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

/**
 * Returns Nothing when any part of the value has another form than `packLoads`
 * gives it.
 */
export function unpackLoads(packed: unknown): Maybe<readonly ReplicaLoad[]> {
  return Array.isArray(packed) && packed.every(isPackedLoad)
    ? Just(packed.map(unpackLoad))
    : Nothing;
}

function unpackLoad([
  replicaId,
  running,
  tokens,
  readMs,
  readers,
  writers,
]: PackedLoad): ReplicaLoad {
  return {
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
  };
}

function isPackedLoad(value: unknown): value is PackedLoad {
  if (!Array.isArray(value) || value.length !== 6) return false;
  const [replicaId, running, tokens, readMs, readers, writers] =
    value as unknown[];
  return (
    typeof replicaId === 'string' &&
    [running, tokens, readMs].every(isNonNegative) &&
    isListOfTuples(readers, 3) &&
    isListOfTuples(writers, 2)
  );
}

function isNonNegative(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}

/** Whether the value is an array of number arrays that all have this length. */
function isListOfTuples(value: unknown, length: number): boolean {
  return (
    Array.isArray(value) &&
    value.every(
      each =>
        Array.isArray(each) &&
        each.length === length &&
        each.every(one => typeof one === 'number'),
    )
  );
}
