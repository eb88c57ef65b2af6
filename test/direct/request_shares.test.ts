/** The share of an organisation that one request counts against. */
import {expect, test} from 'vitest';
import type {Exchange} from '../../src/direct/exchange.js';
import {createRequestShares} from '../../src/direct/shares/request_shares.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';

const ENGINE_MS = 100;

/** What the shares read of a request. */
function createExchange(signal: AbortSignal) {
  const route = {name: 'stream', priority: 1, aimMs: 300};
  const exchange = {
    id: 'req-1',
    service: 'pool',
    route,
    owner: {organisation: 'org-1', priority: undefined},
    facts: {promptTokens: 100, maxTokens: 10},
    body: Buffer.alloc(0),
    digest: () => 'digest',
    arrivedAt: 0,
    signal,
  };
  return exchange as typeof exchange & Exchange;
}

// Guards against an organisation that pays at a service that it does not use.
test('a request that went to another service before it ran counts there alone', () => {
  const {runtime} = createRecordingRuntime();
  const shares = createRequestShares({
    ...runtime,
    node: 'entry-1',
    settings: {},
  });
  const abort = new AbortController();
  const exchange = createExchange(abort.signal);
  shares.open(exchange, ENGINE_MS);
  exchange.service = 'other';
  shares.open(exchange, ENGINE_MS).placed(0);
  abort.abort();
  const report = JSON.stringify(shares.nextReport());
  expect(report).toContain('other');
  expect(report).not.toContain('pool');
});
