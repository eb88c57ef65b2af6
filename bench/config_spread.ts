/**
 * Time from the acceptance of a configuration to its being in force, with the
 * real services and heartbeats on the virtual clock: store up, slow, and out
 * from the moment of acceptance. Prints JSON; times in milliseconds.
 */
import {CONFIG_EVENTS} from '../src/utils/events.js';
import type {FleetEvent} from '../standins/fleet_process.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';

const DOMAINS = ['hall-north', 'hall-south', 'hall-east'];
const SIZES = [10, 40, 100];
const STORES = ['up', 'slow', 'out'] as const;
const SLOW_MS = 500;
const PATCHES = 12;
const WAIT_MS = 8_000;
const LEAST_ENTRIES = 2;
const PROCESSES_PER_ENTRY = 10;

type StoreState = (typeof STORES)[number];

export interface SpreadResult {
  readonly processes: number;
  readonly entries: number;
  readonly store: StoreState;
  readonly patches: number;
  /** Over all processes but the accepting one, and all patches. */
  readonly processP50Ms: number;
  readonly processP99Ms: number;
  /** Until the last process, over the patches. */
  readonly everywhereP50Ms: number;
  readonly everywhereMaxMs: number;
  /** Processes that did not have the number after `WAIT_MS`. */
  readonly missing: number;
  readonly violations: number;
}

export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return Math.round(sorted[at] ?? -1);
}

function setStore(fleet: MemoryFleet, state: StoreState): void {
  fleet.store.setFaults({
    outage: state === 'out',
    slowMs: state === 'slow' ? SLOW_MS : 0,
  });
}

/** Times from acceptance to adoption, by process. */
function timesOf(
  events: readonly FleetEvent[],
  number: number,
): readonly number[] {
  const of = (spec: {readonly number: number}) =>
    events.filter(
      ({event, fields}) =>
        event.number === spec.number && fields.number === number,
    );
  const [accepted] = of(CONFIG_EVENTS.patchAccepted);
  if (accepted === undefined) return [];
  return of(CONFIG_EVENTS.adopted)
    .filter(({node}) => node !== accepted.node)
    .map(({at}) => at - accepted.at);
}

/** One size and one state of the store. */
export async function spreadOf(
  processes: number,
  store: StoreState,
  patches = PATCHES,
): Promise<SpreadResult> {
  const entries = Math.max(
    LEAST_ENTRIES,
    Math.round(processes / PROCESSES_PER_ENTRY),
  );
  const fleet = createMemoryFleet({
    seed: processes,
    entries,
    engines: processes - entries,
    services: 0,
    failureDomains: DOMAINS,
  });
  await fleet.start();
  const times: number[] = [];
  const lasts: number[] = [];
  let missing = 0;
  for (let weight = 2; weight < patches + 2; weight++) {
    setStore(fleet, store === 'out' ? 'up' : store);
    const base = fleet.entries[0]?.config()?.number ?? 0;
    const entry = Math.floor(fleet.random.next() * entries);
    let accepted = false;
    const patch = JSON.stringify({organisations: {'prairie-sky': {weight}}});
    void fleet.applyPatch(entry, {base, patch}).then(() => {
      accepted = true;
      setStore(fleet, store);
    });
    while (!accepted) await fleet.clock.runFor(1);
    await fleet.clock.runFor(WAIT_MS);
    const reached = timesOf(fleet.events, base + 1);
    times.push(...reached);
    lasts.push(Math.max(...reached));
    missing += processes - 1 - reached.length;
  }
  fleet.stop();
  return {
    processes,
    entries,
    store,
    patches,
    processP50Ms: quantile(times, 0.5),
    processP99Ms: quantile(times, 0.99),
    everywhereP50Ms: quantile(lasts, 0.5),
    everywhereMaxMs: Math.round(Math.max(...lasts)),
    missing,
    violations: fleet.violations.length,
  };
}

/** `args`: sizes in processes. */
export async function benchConfigSpread(
  args: readonly string[],
): Promise<void> {
  const sizes = args.length === 0 ? SIZES : args.map(Number);
  for (const size of sizes) {
    for (const store of STORES) {
      console.log(JSON.stringify(await spreadOf(size, store)));
    }
  }
}
