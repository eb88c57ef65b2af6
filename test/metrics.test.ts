/** Metrics, log lines and invariant checks of a process. */
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import {describe, expect, test} from 'vitest';
import {INVARIANT_EVENTS} from '../src/utils/events.js';
import {createProcessInvariant} from '../src/utils/invariant.js';
import {createLogger} from '../src/utils/logger.js';
import {createMetrics} from '../src/utils/metrics.js';

describe('metrics', () => {
  test('the text format shows counters, gauges and quantiles', async () => {
    const metrics = createMetrics();
    metrics.count('onyxloft_refusals_total', {reason: 'full'});
    metrics.count('onyxloft_refusals_total', {reason: 'say "no"\n'}, 2);
    metrics.gauge('onyxloft_config_number', {}, 7);
    for (let ms = 1; ms <= 100; ms++) {
      metrics.observe('onyxloft_first_token_ms', {class: 'short'}, ms);
    }
    metrics.observe('onyxloft_first_token_ms', {class: 'short'}, NaN);
    await expect(metrics.render()).toMatchFileSnapshot('golden/metrics.txt');
  });

  test('label sets beyond the limit share one overflow series and are counted', () => {
    const metrics = createMetrics({maxLabelSets: 2});
    for (let i = 0; i < 10; i++) metrics.count('calls_total', {peer: `p${i}`});
    const lines = metrics.render();
    expect(lines).toContain('calls_total{overflow="true"} 8');
    expect(lines).toContain(
      'onyxloft_metrics_overflow_total{metric="calls_total"} 8',
    );
    expect(lines).not.toContain('p2');
  });
});

describe('log and invariants', () => {
  test('a violated invariant is logged once and counted once', async () => {
    const stream = new PassThrough();
    const written = text(stream);
    const logger = createLogger({node: 'side-1', stream});
    const metrics = createMetrics();
    const invariant = createProcessInvariant(logger.log, metrics);
    invariant(true, 'memory-owned', {});
    invariant(false, 'memory-owned', {node: 'engine-2', tokens: 5});
    await logger.close();
    stream.end();
    const lines = (await written).trim().split('\n');
    expect(lines).toHaveLength(1);
    const {time, ...rest} = JSON.parse(lines[0] ?? '') as {time: string};
    expect(Date.parse(time)).not.toBeNaN();
    expect(rest).toEqual({
      level: 'error',
      event: INVARIANT_EVENTS.violated.number,
      name: 'invariant-violated',
      node: 'side-1',
      invariant: 'memory-owned',
      'field.node': 'engine-2',
      tokens: 5,
    });
    expect(metrics.render()).toContain(
      'onyxloft_invariant_violations_total{invariant="memory-owned"} 1',
    );
  });
});
