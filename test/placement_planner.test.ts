import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRoleHistory} from '../src/placement/plan_roles.js';
import {DEFAULT_PLANNER_LIMITS} from '../src/placement/plan_types.js';
import type {Plan, PlanInput} from '../src/placement/plan_types.js';
import {planPlacement} from '../src/placement/planner.js';
import type {ModelState} from '../src/types/peer_messages.js';
import type {Replica} from '../src/types/services.js';
import {
  IDLE_LOAD,
  declareModel,
  readyModel,
  replicaOf,
} from './support/placement_fleet.js';

const DOMAINS = ['hall-north', 'hall-south', 'hall-east'];

function engines(models: readonly ModelState[][]): readonly Replica[] {
  return models.map((states, n) =>
    replicaOf(
      {
        address: `127.0.0.1:${8000 + n}`,
        models: states,
        load: IDLE_LOAD,
        failureDomain: DOMAINS[n % DOMAINS.length],
        fence: 1,
        missesHeartbeats: false,
      },
      0,
    ),
  );
}

function plan(given: Partial<PlanInput>): Plan {
  return planPlacement({
    now: 0,
    fence: 1,
    declarations: declareModel('1', {minReplicas: 2}),
    replicas: [],
    pending: [],
    weightStore: {bytesPerSec: 1e12, activeTransfers: 0, queuedTransfers: 0},
    limits: DEFAULT_PLANNER_LIMITS,
    roles: createRoleHistory(0),
    ...given,
  });
}

function plannedOrders(given: Partial<PlanInput>): readonly string[] {
  return plan(given).orders.map(
    ({action, address, version, role}) =>
      `${action} ${address.slice(-1)} ${version || role}`,
  );
}

describe('loads', () => {
  it('cover the failure domains before they reach the number of replicas', () => {
    const replicas = engines([[], [], [], [], [], []]);
    const declarations = declareModel('1', {
      minReplicas: 4,
      minPerFailureDomain: 1,
    });
    expect(plannedOrders({replicas, declarations})).toEqual([
      'load 0 1',
      'load 1 1',
      'load 2 1',
      'load 3 1',
    ]);
  });

  it('run as many at once as end within the target time', () => {
    const replicas = engines([[], [], [], [], []]);
    const declarations = declareModel('1', {minReplicas: 5});
    const at = (bytesPerSec: number, queuedTransfers = 0) =>
      plannedOrders({
        replicas,
        declarations,
        weightStore: {bytesPerSec, activeTransfers: 0, queuedTransfers},
      }).length;
    // Two loads of 20 GB end within 180 s at 222 MB/s or more.
    expect(at(240e6)).toBe(2);
    expect(at(1e6)).toBe(1);
    expect(at(1e12)).toBe(DEFAULT_PLANNER_LIMITS.maxLoads);
    expect(at(1e12, 1)).toBe(0);
    expect(
      plannedOrders({replicas, declarations, weightStore: undefined}),
    ).toHaveLength(1);
  });

  it('are reported as unmet when there are too few engines', () => {
    const {orders, unmet} = plan({replicas: engines([[]])});
    expect(orders).toHaveLength(1);
    expect(unmet).toEqual([
      {pool: 'onyx-pool', model: 'skylark', wanted: 2, ready: 0, engines: 1},
    ]);
  });
});

describe('unloads', () => {
  const old = readyModel('1');
  const next = readyModel('2');
  const declarations = declareModel('2', {minReplicas: 2});

  it('wait until the old version is ready elsewhere', () => {
    const rolling = engines([[old, next], [old]]);
    expect(plannedOrders({declarations, replicas: rolling})).toEqual([
      'load 1 2',
      'unload 0 1',
    ]);
    const last = engines([[old, next], []]);
    expect(plannedOrders({declarations, replicas: last})).toEqual(['load 1 2']);
    const met = engines([[old, next], [next]]);
    expect(plannedOrders({declarations, replicas: met})).toEqual([
      'unload 0 1',
    ]);
  });

  it('do not rely on engines that a previous placer may still change', () => {
    const [first, second] = engines([
      [old, next],
      [old, next],
    ]);
    const one = [first, {...second, fence: 0}];
    expect(plannedOrders({declarations, replicas: one})).toEqual([
      'unload 1 1',
    ]);
    const none = [first, second].map(engine => ({...engine, fence: 0}));
    expect(plannedOrders({declarations, replicas: none})).toEqual([]);
  });

  it('never take the last ready replica of a version in use', () => {
    const state = fc.constantFrom<readonly ModelState[]>(
      [],
      [old],
      [next],
      [old, next],
      [old, {...next, ready: false}],
    );
    const report = fc.record({
      models: state,
      isStale: fc.boolean(),
      fence: fc.constantFrom(0, 1),
      replicaState: fc.constantFrom<Replica['state']>('live', 'suspect'),
    });
    fc.assert(
      fc.property(
        fc.array(report, {minLength: 1, maxLength: 7}),
        fc.nat({max: 8}),
        (reports, minReplicas) => {
          const replicas = engines(reports.map(({models}) => [...models])).map(
            (replica, n) => ({
              ...replica,
              fence: reports[n].fence,
              state: reports[n].replicaState,
              loadAt: reports[n].isStale ? -60_000 : 0,
            }),
          );
          const wished = declareModel('2', {minReplicas});
          const {orders} = plan({declarations: wished, replicas});
          for (const {action, address, version} of orders) {
            if (action !== 'unload') continue;
            const reliable = replicas.filter(
              item =>
                item.address !== address &&
                item.state === 'live' &&
                item.fence === 1 &&
                item.loadAt === 0,
            );
            const readyElsewhere = (wanted: string) =>
              reliable.filter(({models}) =>
                models.some(m => m.version === wanted && m.ready),
              ).length;
            const isReplaced = readyElsewhere('2') + 1 >= minReplicas;
            expect(readyElsewhere(version) > 0 || isReplaced).toBe(true);
          }
        },
      ),
      {seed: 11, numRuns: 2_000},
    );
  });
});

describe('roles', () => {
  const SIX = engines(Array.from({length: 6}, () => [readyModel('1')]));
  const declarations = declareModel('1', {minReplicas: 1});

  /**
   * Runs the planner over a changing workload mix, applies its orders, and counts
   * the role changes.
   */
  function changesOf(
    seconds: number,
    shortShareAt: (second: number) => number,
  ): number {
    const backlog = 50_000;
    let roles = createRoleHistory(0);
    let replicas = SIX;
    let changes = 0;
    for (let second = 0; second < seconds; second++) {
      const now = second * 1_000;
      const shortBacklogTokens = backlog * shortShareAt(second);
      replicas = replicas.map(replica => ({
        ...replica,
        loadAt: now,
        load: {...IDLE_LOAD, prefillBacklogTokens: backlog, shortBacklogTokens},
      }));
      const made = plan({now, declarations, replicas, roles});
      roles = made.roles;
      for (const {address, role} of made.orders) {
        changes += 1;
        replicas = replicas.map(replica =>
          replica.address === address
            ? {...replica, models: [{...readyModel('1'), role}]}
            : replica,
        );
      }
    }
    return changes;
  }

  it('follow a lasting change of the workload mix, one engine at a time', () => {
    // Half of the work is long: 3 of 6 engines for long prompts, and half of the
    // others for short ones.
    expect(changesOf(600, () => 0.5)).toBe(4);
  });

  it('do not change back and forth with a mix that oscillates', () => {
    const swinging = changesOf(1_800, s => (s % 20 < 10 ? 0.95 : 0.05));
    expect(swinging).toBeLessThanOrEqual(4);
  });

  it('stay as they are in a pool without waiting work', () => {
    expect(plannedOrders({now: 200_000, replicas: SIX, declarations})).toEqual(
      [],
    );
  });
});
