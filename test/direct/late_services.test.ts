/** Replicas that register before the configuration names their service. */
import {expect, test} from 'vitest';
import {createColdReplicas} from '../../src/direct/cold/cold_replicas.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const COLD_START = {durationMs: 3_000, perSecond: 26};
const REGISTERED_BEFORE_MS = 1_000;

const REPLICA: DirectReplica = {
  id: 'a@1',
  name: 'a',
  startedAt: 1,
  service: 'new',
  address: '10.0.0.1:80',
  failureDomain: 'domain-1',
  places: 4,
  leaving: false,
  cold: {kind: 'none'},
};

// Guards against new replicas that get the load of warm ones, because the
// service's cold start was not known yet when their first record came.
test('a replica whose service is named later is presumed cold for the rest of its start', () => {
  const clock = createVirtualClock();
  const {log, metrics} = createRecordingRuntime().runtime;
  const cold = createColdReplicas({
    clock,
    log,
    metrics,
    settings: {overFactor: 1.5, slack: 5},
    onCold: () => undefined,
  });
  cold.listed(new Map(), true);
  cold.listed(new Map([['a', REPLICA]]), false);
  clock.advance(REGISTERED_BEFORE_MS);
  cold.setServices(new Map([['new', {coldStart: COLD_START}]]));
  expect(cold.limitOf('a@1')).toBe(COLD_START.perSecond);
  expect(cold.leftMs('a@1')).toBe(COLD_START.durationMs - REGISTERED_BEFORE_MS);
});
