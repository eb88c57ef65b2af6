import {afterEach, describe, expect, it} from 'vitest';
import type {ConfigAccepted, ConfigRejection} from '../src/types/services.js';
import {CONFIG_EVENTS} from '../src/utils/events.js';
import {PATCH, createConfigCluster} from './support/config_cluster.js';
import type {ConfigCluster} from './support/config_cluster.js';

let cluster: ConfigCluster;

afterEach(() => cluster.stop());

async function start(nodes: number, seed = 1) {
  cluster = createConfigCluster(seed);
  for (let n = 0; n < nodes; n++) await cluster.addNode();
  await cluster.clock.runFor(3_000);
  return cluster.nodes;
}

function weightPatch(id: string, weight: number) {
  return `{"organisations":{"${id}":{"weight":${weight}}}}`;
}

function rejectionOf(outcome: {
  swap(): {unsafeCoerce(): ConfigRejection};
}): ConfigRejection {
  return outcome.swap().unsafeCoerce();
}

function headNumber(): number {
  return cluster.core
    .peek('config/head')
    .map(({value}) => (JSON.parse(value) as {number: number}).number)
    .orDefault(0);
}

describe('applying a patch', () => {
  it('starts at base 0 and returns numbers, history and old versions', async () => {
    const [node] = await start(1);
    expect(node.inForce()?.number).toBe(0);
    const first = await cluster.apply(node, {});
    const second = await cluster.apply(node, {
      patchId: 'patch-2',
      base: 1,
      patch: weightPatch('prairie-sky', 3),
    });
    expect(first.unsafeCoerce().number).toBe(1);
    expect(second.unsafeCoerce()).toEqual({
      number: 2,
      changedPaths: ['/organisations/prairie-sky/weight'],
      dryRun: false,
    });
    const history = await cluster.history(node);
    expect(history.unsafeCoerce().map(line => line.patchId)).toEqual([
      'patch-2',
      'patch-1',
    ]);
    const old = await cluster.show(node, 1);
    expect(old.unsafeCoerce().declarations.organisations).toMatchObject([
      {id: 'prairie-sky', weight: 1},
    ]);
    expect(node.recording.metrics.value('onyxloft_config_number', {})).toBe(2);
  });

  it('changes nothing in a dry run or when the patch is rejected', async () => {
    const [node] = await start(1);
    const dry = await cluster.apply(node, {dryRun: true});
    expect(dry.unsafeCoerce()).toMatchObject({
      changedPaths: ['/organisations/prairie-sky'],
      dryRun: true,
    });
    const faulty = await cluster.apply(node, {patch: weightPatch('x', -1)});
    expect(rejectionOf(faulty).faults).toMatchObject([
      {path: '/organisations/x/weight'},
    ]);
    await cluster.apply(node, {});
    const late = rejectionOf(await cluster.apply(node, {patchId: 'late'}));
    expect(late).toMatchObject({head: 1, error: {code: 'conflict', ran: 'no'}});
    expect(late.error.message).toMatch(/based on number 0, but number 1/);
    expect(headNumber()).toBe(1);
  });

  // Operators send different patches on one base through several entries at
  // once. One must be accepted, and each of the others gets a conflict.
  it('accepts one of several concurrent patches on the same base', async () => {
    const nodes = await start(4);
    for (let base = 0; base < 10; base++) {
      const outcomes = await cluster.runUntilSettled(
        Promise.all(
          nodes.map((node, n) =>
            cluster.apply(node, {
              base,
              patchId: `race-${base}-${n}`,
              patch: weightPatch(`org-${n}`, base + 1),
            }),
          ),
        ),
      );
      const won = outcomes.filter(outcome => outcome.isRight());
      expect(won).toHaveLength(1);
      expect(headNumber()).toBe(base + 1);
      const lost = outcomes.filter(outcome => outcome.isLeft());
      expect(
        lost.every(outcome => rejectionOf(outcome).error.code === 'conflict'),
      ).toBe(true);
      await cluster.clock.runFor(5_000);
    }
  });

  // The reply to the head's update is lost, so the retry conflicts with its own
  // write. Reported as a conflict, the change would get a second number.
  it('returns its number after the reply of the store was lost', async () => {
    const [node] = await start(1);
    // The last write of a first patch is the head; its reply is lost.
    const documents = await countWrites({});
    cluster.core.setFaults({loseEvery: documents});
    const outcome = await cluster.apply(node, {});
    cluster.core.setFaults({loseEvery: 0});
    expect(outcome.unsafeCoerce().number).toBe(1);
    expect(headNumber()).toBe(1);
  });

  // Replies are lost at random. The client repeats the patch with the same id
  // at any entry until it gets a number.
  it('gives a repeated patch one number', async () => {
    const nodes = await start(3);
    cluster.core.setFaults({loseProbability: 0.4});
    for (let base = 0; base < 20; base++) {
      const patch = {
        base,
        patchId: `repeated-${base}`,
        patch: weightPatch('prairie-sky', base + 2),
      };
      const told: ConfigAccepted[] = [];
      for (let tries = 0; told.length < 2; tries++) {
        expect(tries).toBeLessThan(50);
        const node = nodes[(base + told.length) % nodes.length];
        const outcome = await cluster.apply(node, patch);
        outcome.ifRight(accepted => told.push(accepted));
      }
      expect(told.map(({number}) => number)).toEqual([base + 1, base + 1]);
      expect(headNumber()).toBe(base + 1);
    }
  });

  it('reports whether a patch may have been accepted during a store outage', async () => {
    const [node] = await start(1);
    cluster.core.setFaults({outage: true});
    const refused = rejectionOf(await cluster.apply(node, {}));
    expect(refused.error).toMatchObject({code: 'store-unavailable', ran: 'no'});
    cluster.core.setFaults({outage: false});

    // The process loses the store right after the head's update took effect.
    const asked = cluster.apply(node, {});
    while (headNumber() === 0) await cluster.clock.step();
    node.store.setCut(true);
    const unknown = rejectionOf(await asked);
    expect(unknown.error).toMatchObject({
      code: 'store-unavailable',
      ran: 'unknown',
    });
    expect(unknown.error.message).toMatch(/may have been accepted as number 1/);
    expect(node.recording.eventsOf(CONFIG_EVENTS.patchUnknown)).toHaveLength(1);
    node.store.setCut(false);
    const repeated = await cluster.apply(node, {});
    expect(repeated.unsafeCoerce().number).toBe(1);
  });
});

/** Counts the writes of a first patch, in a separate cluster. */
async function countWrites(patch: Partial<typeof PATCH>): Promise<number> {
  const trial = createConfigCluster();
  const node = await trial.addNode();
  await trial.clock.runFor(3_000);
  await trial.apply(node, patch);
  await trial.stop();
  return trial.core
    .counts()
    .filter(({kind}) => kind === 'create' || kind === 'update')
    .reduce((sum, {calls}) => sum + calls, 0);
}
