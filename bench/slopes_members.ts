/**
 * What following others costs while no request runs: by replicas that an
 * entry follows, by entries that follow a side, and by hosts listed.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import type {FleetShape} from '../demo/fleet_plan.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {
  countsBetween,
  daemonsOf,
  memoryOf,
  placerOf,
  ratesOf,
  storeCounts,
} from './slopes_readings.js';
import {createRecorder} from './slopes_record.js';
import type {Payer, Recorder, Sweep} from './slopes_record.js';

/** Lets code be compiled and connections settle. */
const WARM_UP_MS = 10_000;
const INTERVAL_MS = 10_000;

export type WithFleet = <T>(
  shape: FleetShape,
  use: (fleet: Fleet) => Promise<T>,
) => Promise<T>;

export function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

/** Reads what a quiet fleet costs each process of a role. */
export async function noteQuiet(
  fleet: Fleet,
  recorder: Recorder,
  roles: readonly Exclude<Payer, 'object-api'>[],
  x: number,
): Promise<void> {
  await sleep(WARM_UP_MS);
  const named = roles.map(role => [role, daemonsOf(fleet, role)] as const);
  const names = named.flatMap(([, ofRole]) => ofRole);
  const counted = await storeCounts(fleet);
  const rates = await ratesOf(fleet, names, () => sleep(INTERVAL_MS));
  const calls = countsBetween(counted, await storeCounts(fleet));
  const placer = await placerOf(fleet, daemonsOf(fleet, 'entry'));
  const ofPlacer = rates[names.indexOf(placer ?? '')];
  if (ofPlacer !== undefined) {
    const put = (figure: string, unit: string, y: number) =>
      recorder.note('entry', `${figure} of the placer`, unit, [x, y]);
    put('processor', '% of a core', ofPlacer.cpuPercent);
    put('control bytes', 'B/s', ofPlacer.controlBytes);
  }
  for (const [role, all] of named) {
    // The placer asks all sides besides; it is one entry of hundreds.
    const ofRole = all.filter(name => name !== placer);
    const own = rates.filter((_, i) => ofRole.includes(names[i] ?? ''));
    const of = (read: (rate: (typeof own)[number]) => number) =>
      mean(own.map(read));
    const put = (figure: string, unit: string, y: number) =>
      recorder.note(role, figure, unit, [x, y]);
    put(
      'processor',
      '% of a core',
      of(it => it.cpuPercent),
    );
    put(
      'control bytes',
      'B/s',
      of(it => it.controlBytes),
    );
    put(
      'all bytes',
      'B/s',
      of(it => it.allBytes),
    );
    const read = await memoryOf(fleet, ofRole.at(-1) ?? '');
    put('heap', 'MB', read.heapMb);
    put('buffers', 'MB', read.buffersMb);
    put('resident', 'MB', read.rssMb);
  }
  for (const [name, count] of calls) {
    recorder.note('object-api', `calls: ${name}`, '1/s', [
      x,
      (count / INTERVAL_MS) * 1000,
    ]);
  }
}

export async function sweepReplicas(withFleet: WithFleet): Promise<Sweep> {
  const recorder = createRecorder(
    'replicas',
    'replicas followed by an entry',
    '2 entries, no requests',
  );
  for (const engines of [4, 12, 24]) {
    const shape = {...DEMO_SHAPE, entries: 2, engines, services: 0};
    await withFleet(shape, fleet =>
      noteQuiet(fleet, recorder, ['entry'], engines),
    );
  }
  return recorder.sweep();
}

export async function sweepEntries(withFleet: WithFleet): Promise<Sweep> {
  const recorder = createRecorder(
    'entries',
    'entries that follow a side',
    '4 sides, no requests',
  );
  for (const entries of [4, 8, 16]) {
    const shape = {...DEMO_SHAPE, entries, engines: 4, services: 0};
    await withFleet(shape, fleet =>
      noteQuiet(fleet, recorder, ['side'], entries),
    );
  }
  return recorder.sweep();
}

/** Share of entries among the hosts of the target: 370 of 970. */
const ENTRY_SHARE = 370 / 970;

/** Lists the fleet's own daemons again and again under further addresses. */
async function listAliases(fleet: Fleet, hosts: number): Promise<void> {
  const {hosts: real, hostListUrl} = fleet.plan;
  const entries = real.filter(({pool}) => pool === 'entry');
  const sides = real.filter(({pool}) => pool !== 'entry');
  for (let i = 0; i < hosts - real.length; i++) {
    const from = i % 100 < ENTRY_SHARE * 100 ? entries : sides;
    const host = from[i % from.length];
    if (host === undefined) continue;
    const last = 2 + Math.floor(i / from.length);
    const address = host.address.replace('127.0.0.1', `127.0.1.${last}`);
    const name = `${host.host}-again-${i}`;
    const res = await request(`${hostListUrl}/v1/hosts/${name}`, {
      method: 'PUT',
      body: JSON.stringify({...host, host: name, address}),
    });
    await res.body.dump();
  }
}

export async function sweepHosts(withFleet: WithFleet): Promise<Sweep> {
  const recorder = createRecorder(
    'hosts',
    'hosts listed',
    '24 replicas and 8 entries followed, no requests; 8 processes listed ' +
      'under many loopback addresses',
  );
  const shape = {
    ...DEMO_SHAPE,
    entries: 4,
    engines: 4,
    services: 0,
    listenOnAll: true,
  };
  for (const hosts of [100, 400, 970]) {
    await withFleet(shape, async fleet => {
      await listAliases(fleet, hosts);
      await noteQuiet(fleet, recorder, ['entry'], hosts);
    });
  }
  return recorder.sweep();
}
