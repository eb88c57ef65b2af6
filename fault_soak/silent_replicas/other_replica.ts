/**
 * The other engine of a pair, whose first one is sound but for silences. It
 * serves for a while, then is of no use, then makes room for the next one.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import {TIMING} from '../soak_fleet.js';
import {SERVICE_COLD} from '../soak_replica.js';
import type {ReplicaProcess} from './replica_process.js';
import type {SilenceFleet} from './silence_fleet.js';
import {SILENCES_MS} from './silence_shapes.js';

export const OTHER_KINDS = [
  /** Its process is killed and its record stays. */
  'ended-listed',
  /** Its process is killed and its record goes. */
  'ended-removed',
  /** It falls silent for good, and its record goes once it has lapsed. */
  'hung',
  'draining',
  /** Its answers say that it leaves. */
  'leaving',
  'cold',
  'evacuated',
  'full',
  'silent',
] as const;

export type OtherKind = (typeof OTHER_KINDS)[number];

/** It shares its failure domain with no other engine. */
const DOMAIN = 'domain-3';
const COLD_MS = SERVICE_COLD.coldStartS * 1_000;
/** Three heartbeats without one. */
const LAPSE_MS = 3_000;
const SHORTEST_SERVING_MS = 500;
const SERVING_SPREAD_MS = 2_500;
const SHORTEST_USELESS_MS = 4_000;
const USELESS_SPREAD_MS = 3_000;
/** One that leaves serves on for this long, and then ends. */
const RETIRING_MS = TIMING.leavingMs + 4_000;
const POLL_MS = 100;
const SILENCE_GAP_MS = 400;

/** Resolves with how often the other engine became useless in each way. */
export async function troubleOther(
  fleet: SilenceFleet,
  fixed: OtherKind | undefined,
  random: Random,
  isOver: () => boolean,
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = {};
  const retired: Array<Promise<void>> = [];
  for (let number = 1; !isOver(); number++) {
    const drawn = OTHER_KINDS[Math.floor(random.next() * OTHER_KINDS.length)];
    const kind = fixed ?? drawn;
    const servingMs = SHORTEST_SERVING_MS + random.next() * SERVING_SPREAD_MS;
    const uselessMs = SHORTEST_USELESS_MS + random.next() * USELESS_SPREAD_MS;
    const engine = await fleet.startEngine(`pair-${number}`, 'pair', DOMAIN);
    // One that is cold is so from its start.
    if (kind !== 'cold') fleet.list(engine);
    await sleep(servingMs);
    counts[kind] = (counts[kind] ?? 0) + 1;
    await beUseless(fleet, engine, kind, random, uselessMs, isOver);
    retired.push(retire(fleet, engine, isOver));
  }
  await Promise.all(retired);
  return counts;
}

async function beUseless(
  {store, list}: SilenceFleet,
  engine: ReplicaProcess,
  kind: OtherKind,
  random: Random,
  forMs: number,
  isOver: () => boolean,
): Promise<void> {
  const endsAt = performance.now() + forMs;
  const isDone = () => isOver() || performance.now() > endsAt;
  const pass = async (ms = Infinity) => {
    const passedAt = performance.now() + ms;
    while (!isDone() && performance.now() < passedAt) await sleep(POLL_MS);
  };
  switch (kind) {
    case 'ended-listed':
      engine.end();
      return pass();
    case 'ended-removed':
      engine.end();
      store.remove('servers', engine.id);
      return pass();
    case 'hung':
      engine.hang();
      await pass(LAPSE_MS);
      store.remove('servers', engine.id);
      return pass();
    case 'draining':
      list(engine, {state: 'draining'});
      return pass();
    case 'leaving':
      engine.state({'Server-Leaving': '1'});
      return pass();
    case 'cold':
      engine.state({'X-Cold-Ms': String(COLD_MS)});
      list(engine, {coldLeftMs: COLD_MS});
      return pass();
    case 'evacuated':
      store.put('evacuations', DOMAIN, {});
      await pass();
      store.remove('evacuations', DOMAIN);
      return;
    case 'full':
      engine.refuse();
      return pass();
    case 'silent':
      while (!isDone()) {
        engine.pause();
        await sleep(
          SILENCES_MS[Math.floor(random.next() * SILENCES_MS.length)],
        );
        engine.wake();
        await sleep(SILENCE_GAP_MS * (1 + random.next()));
      }
  }
}

/** It leaves in order; one that has ended or hangs is only removed. */
async function retire(
  {store, list}: SilenceFleet,
  engine: ReplicaProcess,
  isOver: () => boolean,
): Promise<void> {
  if (store.get('servers', engine.id) !== undefined) {
    list(engine, {state: 'draining'});
  }
  const endsAt = performance.now() + RETIRING_MS;
  while (!isOver() && performance.now() < endsAt) await sleep(POLL_MS);
  if (isOver()) return;
  store.remove('servers', engine.id);
  engine.end();
}
