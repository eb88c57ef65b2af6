/** Small modules of the direct path, each tested alone. */
import {describe, expect, test} from 'vitest';
import {createEventSplitter} from '../../src/direct/streams/event_splitter.js';
import {createStoreEvidence} from '../../src/direct/evidence.js';
import {createReplicaTable} from '../../src/direct/replica_table.js';
import {
  plainCallAssignment,
  createLoadTracker,
} from '../../src/direct/load_tracker.js';
import {packLoads, unpackLoads} from '../../src/direct/load_codec.js';
import {createReplicaHealth} from '../../src/direct/replica_health.js';
import {pickService} from '../../src/direct/route_table.js';
import type {DirectReplica, Route} from '../../src/direct/types.js';
import {createBoundedSink} from '../../src/utils/bounded_sink.js';
import {createMetrics} from '../../src/utils/metrics.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

describe('events of a stream', () => {
  test('are whole wherever the bytes are split', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata';
    for (let cut = 1; cut < text.length; cut++) {
      const splitter = createEventSplitter();
      const events = [text.slice(0, cut), text.slice(cut)].flatMap(piece =>
        splitter.push(Buffer.from(piece)),
      );
      expect(events.map(({id}) => id)).toEqual([1, 2]);
      expect(splitter.pendingBytes()).toBe('id: 3\ndata'.length);
    }
  });
});

describe('evidence for keys', () => {
  test('expires on the monotonic clock, and after a suspension', async () => {
    const clock = createVirtualClock();
    let wallAhead = 0;
    const evidence = createStoreEvidence(
      clock,
      () => clock.now() + wallAhead,
      1_000,
    );
    expect(evidence.isFresh()).toBe(false);
    evidence.confirm(clock.now(), clock.now());
    expect(evidence.isFresh()).toBe(true);
    await clock.advance(500);
    wallAhead = 5_000;
    expect(evidence.isFresh()).toBe(false);
    // Sent before the suspension was noticed, so it proves nothing since then.
    evidence.confirm(clock.now() - 1, clock.now() - 1);
    expect(evidence.isFresh()).toBe(false);
    await clock.advance(1);
    evidence.confirm(clock.now(), clock.now());
    expect(evidence.isFresh()).toBe(true);
    await clock.advance(1_100);
    expect(evidence.isFresh()).toBe(false);
  });
});

describe('the load of a replica', () => {
  test('includes the loads of other entries until their reports expire', async () => {
    const clock = createVirtualClock();
    const changes: string[] = [];
    const book = createLoadTracker(clock, change => changes.push(change));
    const work = book.assign(plainCallAssignment('r', 100));
    book.setPeerLoad('entry-2', [{...book.totalLoad('r'), running: 4}]);
    expect(book.totalLoad('r').running).toBe(5);
    await clock.advance(2_000);
    expect(book.totalLoad('r').running).toBe(1);
    work.end();
    work.end();
    expect(book.totalLoad('r').running).toBe(0);
    expect(changes).toEqual(['more', 'less']);
  });
});

describe('an encoded load', () => {
  test('decodes to the same value, also without a pause objective', () => {
    const loads = [
      {
        replicaId: 'r',
        running: 2,
        tokens: 30,
        readMs: 4,
        readers: [{slackMs: -5, marginMs: 6, weight: 7}],
        writers: [
          {pauseAimMs: Infinity, weight: 8},
          {pauseAimMs: 250, weight: 9},
        ],
      },
    ];
    const sent = JSON.stringify(packLoads(loads));
    expect(unpackLoads(JSON.parse(sent)).extract()).toEqual(loads);
  });
});

describe('replicas', () => {
  const replica = (id: string): DirectReplica => ({
    id,
    name: id,
    startedAt: undefined,
    service: 's',
    address: `${id}:1`,
    failureDomain: 'd',
    places: 1,
    leaving: false,
  });
  const fleetOn = (clock: VirtualClock) =>
    createReplicaTable({
      clock,
      onRemoved: () => undefined,
      onRestarted: () => undefined,
    });
  const ids = (fleet: ReturnType<typeof createReplicaTable>) =>
    fleet.availableFor('s').map(({id}) => id);

  test('that expired in an outage serve for a while, removed ones do not', async () => {
    const clock = createVirtualClock();
    const fleet = fleetOn(clock);
    fleet.replaceAll(new Map([['a', replica('a')]]));
    fleet.storeFailed();
    fleet.replaceAll(new Map());
    expect(ids(fleet)).toEqual(['a']);
    await clock.advance(2_000);
    expect(ids(fleet)).toEqual([]);
    await clock.advance(5_000);
    fleet.replaceAll(new Map([['b', replica('b')]]));
    fleet.applyChanges(new Map([['b', undefined]]));
    expect(ids(fleet)).toEqual([]);
  });

  test('are avoided for longer the more often they fail', async () => {
    const clock = createVirtualClock();
    const health = createReplicaHealth(clock);
    health.failed('a');
    health.failed('a');
    await clock.advance(300);
    expect(health.isSuspect('a')).toBe(true);
    await clock.advance(300);
    expect(health.isSuspect('a')).toBe(false);
  });

  test('that were slow lose that mark with time', async () => {
    const clock = createVirtualClock();
    const health = createReplicaHealth(clock);
    for (let at = 0; at < 10; at++) health.answered('a', 800, 100);
    expect(health.slowness('a')).toBeGreaterThan(5);
    await clock.advance(20_000);
    expect(health.slowness('a')).toBeLessThan(1.6);
  });
});

describe('a split route', () => {
  test('gives each service its share of the requests', () => {
    const route = {
      targets: [
        {service: 'a', weight: 90},
        {service: 'b', weight: 10},
      ],
    } as unknown as Route;
    expect([0, 0.89, 0.9, 0.99].map(at => pickService(route, at))).toEqual([
      'a',
      'a',
      'b',
      'b',
    ]);
  });
});

describe('log lines', () => {
  // The pipe is not read. The process keeps running with a bounded number of
  // lines, prefers failures to other lines, and counts dropped ones.
  test('are bounded when the pipe is not read', () => {
    const metrics = createMetrics();
    const sink = createBoundedSink(metrics, {writeFd: () => undefined});
    const line = (level: string) =>
      `${JSON.stringify({level, text: 'x'.repeat(1_000)})}\n`;
    for (let at = 0; at < 5_000; at++) sink.write(line('info'));
    for (let at = 0; at < 100; at++) sink.write(line('warn'));
    const text = metrics.render();
    expect(text).toContain('lines_dropped_total{kind="other"}');
    expect(text).not.toContain('lines_dropped_total{kind="failure"}');
  });
});
