import {describe, expect, it} from 'vitest';
import {createHostListCore} from '../standins/host_list_core.js';
import {createObjectStoreCore} from '../standins/object_store_core.js';
import {createWeightStoreCore} from '../standins/weight_store_core.js';
import {createTestRuntime} from './support/test_runtime.js';

describe('stand-in object store', () => {
  it('never gives a key a version that it had before', async () => {
    const {clock, random} = createTestRuntime();
    const core = createObjectStoreCore({clock, random, latencyMs: 0});
    const made = (await core.create('k', '1', 'config')).unsafeCoerce();
    await core.remove('k', made.version, 'config');
    await core.create('k', '2', 'config');
    const old = await core.update('k', '3', made.version, 'config');
    expect(old.isLeft()).toBe(true);
  });

  it('serves stale reads as of the time given', async () => {
    const {clock, random} = createTestRuntime();
    const core = createObjectStoreCore({clock, random, latencyMs: 0});
    const {version} = (await core.create('k', 'old', 'config')).unsafeCoerce();
    await clock.runFor(100);
    await core.update('k', 'new', version, 'config');
    await clock.runFor(40);
    const valueAt = async (staleMs: number) => {
      core.setFaults({staleMs});
      const read = (await core.get('k', 'config')).unsafeCoerce();
      return read.extract()?.value;
    };
    expect(await valueAt(30)).toBe('new');
    expect(await valueAt(60)).toBe('old');
    expect(await valueAt(200)).toBe(undefined);
  });

  it('counts a waiting watch as one call', async () => {
    const {clock, random} = createTestRuntime();
    const core = createObjectStoreCore({clock, random});
    const watched = core.watch('k', 0, 30_000, 'config');
    await clock.runFor(31_000);
    expect((await watched).unsafeCoerce().isNothing()).toBe(true);
    expect(core.counts()).toEqual([
      {purpose: 'config', kind: 'watch', calls: 1},
    ]);
  });
});

describe('stand-in host list', () => {
  it('shows each change after its lag', async () => {
    const {clock} = createTestRuntime();
    const core = createHostListCore(clock);
    core.setFaults({lagMs: 1_000});
    const rest = {address: '127.0.0.1:1', failureDomain: 'd', pool: 'p'};
    core.put({host: 'h', state: 'live', ...rest});
    await clock.runFor(500);
    core.leave('h');
    const states = () => core.read()?.hosts.map(host => host.state);
    expect(states()).toEqual([]);
    await clock.runFor(500);
    expect(states()).toEqual(['live']);
    await clock.runFor(500);
    expect(states()).toEqual(['leaving']);
  });
});

describe('stand-in weight store', () => {
  it('shares its rate among transfers and queues the rest', async () => {
    const {clock} = createTestRuntime();
    const options = {clock, bytesPerSec: 1_000, maxActive: 2};
    const core = createWeightStoreCore(options);
    const endedAt: Record<string, number> = {};
    for (const [version, bytes] of [
      ['a', 1_000],
      ['b', 2_000],
      ['c', 500],
    ] as const) {
      const transfer = core.start({model: 'm', version, bytes});
      void core.whenOver(transfer?.id ?? '').then(() => {
        endedAt[version] = Math.round(clock.now());
      });
    }
    await clock.runFor(10_000);
    // a and b share until a ends; then b and c do; then b has all.
    expect(endedAt).toEqual({a: 2_000, c: 3_000, b: 3_500});
  });
});
