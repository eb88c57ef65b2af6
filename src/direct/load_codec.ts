/**
 * Encodes an entry's load for a datagram, as arrays instead of objects, and
 * checks and decodes it. An entry sends its load to every other entry at each
 * change. In objects, the names of the fields made up three quarters of the
 * bytes of these datagrams.
 */
import {Just, Nothing} from 'purify-ts/Maybe';
import type {Maybe} from 'purify-ts/Maybe';
import type {ReplicaLoad} from './replica_load.js';

/**
 * A `ReplicaLoad` as an array. `readMs` is prefill time that is still to be
 * done. `readers` are requests in prefill, each as [slackMs, marginMs, weight].
 * `writers` are groups of requests in decode, each as [pauseAimMs, weight]. The
 * other fields are those of `ReplicaLoad` and of its items. `packLoads` rounds
 * all numbers except `running` and `pauseAimMs` to whole ones.
 */
type PackedLoad = readonly [
  replicaId: string,
  running: number,
  tokens: number,
  readMs: number,
  readers: readonly (readonly [number, number, number])[],
  writers: readonly (readonly [number, number])[],
];

/**
 * Stands for an infinite `pauseAimMs`, which means that there is no pause
 * objective. JSON cannot represent infinity.
 */
const NO_PAUSE_AIM = -1;

/** Encodes loads for `unpackLoads`. */
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
 * Decodes the result of `packLoads`. Returns Nothing if the value is not an
 * array, or if a load in it has the wrong length, a value of the wrong type or
 * a negative `running`, `tokens` or `readMs`. Fractions are accepted. In
 * `readers` and `writers`, negative numbers are accepted too.
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
  return Number.isFinite(value) && Number(value) >= 0;
}

/** Whether the value is an array of number arrays that all have this length. */
function isListOfTuples(value: unknown, length: number): boolean {
  return (
    Array.isArray(value) &&
    value.every(
      tuple =>
        Array.isArray(tuple) &&
        tuple.length === length &&
        tuple.every(item => typeof item === 'number'),
    )
  );
}
