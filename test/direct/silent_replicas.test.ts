/** Sound replicas that fall silent for more than a second and then go on. */
import {afterEach, describe, expect, test} from 'vitest';
import {
  breakOff,
  eventText,
  refuse,
  signed,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {announce, configOf} from '../../standins/users_platform/deployment.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';

const EVENTS = 6;
const SILENT_AFTER = 2;
const SILENCE_MS = 1_200;
/** Time after which the entry looks for another replica on this route. */
const LOOKED_MS = 700;
const WHOLE = Array.from({length: EVENTS}, (_, at) => eventText(at + 1)).join(
  '',
);
const HEADERS = {'X-Token-Usage': '1000,100'};

let fleet: DirectFleet;
afterEach(() => fleet.close());

const stream = () => callEntry(fleet, '/stream/a', {headers: HEADERS});

/** Sends `count` events, is silent, and then sends the others. */
function silentAfter(count: number, silenceMs = SILENCE_MS): Behaviour {
  return (arrival, res) => {
    const begin = () => {
      res.writeHead(200, {
        ...signed(arrival),
        'Content-Type': 'text/event-stream',
      });
    };
    if (count > 0) begin();
    for (let id = 1; id <= count; id++) res.write(eventText(id));
    setTimeout(() => {
      if (count === 0) begin();
      for (let id = count + 1; id <= EVENTS; id++) res.write(eventText(id));
      res.end();
    }, silenceMs);
  };
}

/** The replica that gets the first stream, and what the others get then. */
function firstBehaves(first: Behaviour, others: Behaviour) {
  let chosen: ReplicaStandIn | undefined;
  for (const replica of fleet.pool) {
    replica.behave((...args) => {
      chosen ??= replica;
      (chosen === replica ? first : others)(...args);
    });
  }
  return () => chosen;
}

function expectWhole(answer: CallerAnswer): void {
  expect(answer).toMatchObject({status: 200, body: WHOLE, whole: true});
}

/** Attempts of streams at all replicas. */
const arrivals = () => fleet.pool.flatMap(replica => replica.arrivals);

describe('the only replica of a service falls silent and goes on', () => {
  test.each([
    ['before its head', 0],
    ['between two events', SILENT_AFTER],
    ['before its last event', EVENTS - 1],
  ])('%s, and the stream is whole', async (_, count) => {
    fleet = await startDirectFleet({pool: 1});
    fleet.pool[0].behave(silentAfter(count));
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(1);
  });

  test('more than once, and the stream is whole', async () => {
    fleet = await startDirectFleet({pool: 1});
    fleet.pool[0].behave((arrival, res) => {
      res.writeHead(200, signed(arrival));
      [0, 1_100, 2_200].forEach((ms, at) =>
        setTimeout(() => {
          res.write(eventText(2 * at + 1) + eventText(2 * at + 2));
          if (at === 2) res.end();
        }, ms),
      );
    });
    expectWhole(await stream());
  });

  test('and many streams at once are whole', async () => {
    fleet = await startDirectFleet({pool: 1});
    fleet.pool[0].behave(silentAfter(SILENT_AFTER));
    const answers = await Promise.all(Array.from({length: 20}, stream));
    // The engine has not room for all of them.
    const admitted = answers.filter(({status}) => status !== 503);
    expect(admitted.length).toBeGreaterThan(3);
    admitted.forEach(expectWhole);
  });
});

describe('a replica falls silent and goes on', () => {
  const startPair = async (others: Behaviour) => {
    fleet = await startDirectFleet();
    return firstBehaves(silentAfter(SILENT_AFTER), others);
  };

  test('while the other one refuses, and the stream is whole', async () => {
    await startPair(refuse);
    expectWhole(await stream());
  });

  test('while the other one breaks off, and the stream is whole', async () => {
    await startPair(breakOff);
    expectWhole(await stream());
  });

  test('while the other one answers with an error, and the stream is whole', async () => {
    await startPair((arrival, res) => {
      res.writeHead(500, signed(arrival));
      res.end('failed');
    });
    expectWhole(await stream());
  });

  test('while the other one is silent too, and the stream is whole', async () => {
    await startPair(silentAfter(SILENT_AFTER, 2_000));
    expectWhole(await stream());
  });

  test('while the other one never answers, and the stream is whole', async () => {
    await startPair(() => undefined);
    expectWhole(await stream());
  });

  // The caller got 502 in place of what a replica had answered.
  test('before its head and breaks off, and the caller gets the error of the other one', async () => {
    fleet = await startDirectFleet();
    firstBehaves(
      (_arrival, _res, req) => {
        setTimeout(() => req.socket.resetAndDestroy(), SILENCE_MS);
      },
      (arrival, res) => {
        res.writeHead(500, signed(arrival));
        res.end('failed');
      },
    );
    expect(await stream()).toMatchObject({status: 500, body: 'failed'});
    expect(arrivals()).toHaveLength(2);
  });

  test('while the port of the other one is closed, and the stream is whole', async () => {
    await startPair(refuse);
    const answer = stream();
    await until(() => arrivals().length === 1);
    const other = fleet.pool.find(it => it.arrivals.length === 0);
    other?.crash();
    expectWhole(await answer);
  });

  test('while the other one is leaving, and the stream is whole', async () => {
    await startPair(refuse);
    const answer = stream();
    await until(() => arrivals().length === 1);
    const other = fleet.pool.find(it => it.arrivals.length === 0);
    announce(fleet.store, other as ReplicaStandIn, 'pool', 'draining');
    expectWhole(await answer);
    expect(other?.arrivals).toHaveLength(0);
  });

  test('while no retry is left, and the stream is whole', async () => {
    fleet = await startDirectFleet({
      retries: {ratio: 0, slack: 0, windowS: 10},
    });
    firstBehaves(silentAfter(SILENT_AFTER), streamTo(EVENTS));
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(1);
  });

  test('after the other one had taken over, and each event comes once', async () => {
    await startPair(streamTo(EVENTS));
    expectWhole(await stream());
    await until(() => arrivals().some(({left}) => left));
    expect(arrivals()).toHaveLength(2);
  });

  test('for good after it had superseded the other one, and that one is asked again', async () => {
    fleet = await startDirectFleet();
    let isFirst = true;
    let first: ReplicaStandIn | undefined;
    for (const replica of fleet.pool) {
      replica.behave((arrival, res, req) => {
        first ??= replica;
        const isOther = replica !== first;
        if (isOther && !isFirst) return streamTo(EVENTS)(arrival, res, req);
        if (isOther) {
          isFirst = false;
          return;
        }
        res.writeHead(200, signed(arrival));
        res.write(eventText(1));
        setTimeout(() => res.write(eventText(2)), SILENCE_MS);
      });
    }
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(3);
  });

  test('and the one that took over breaks off, and the first one goes on', async () => {
    fleet = await startDirectFleet();
    firstBehaves(
      (arrival, res, req) => {
        const from = Number(arrival.headers['last-event-id'] ?? 0);
        if (from > 0) return streamTo(EVENTS)(arrival, res, req);
        res.writeHead(200, signed(arrival));
        res.write(eventText(1));
      },
      (arrival, res, req) => {
        res.writeHead(200, signed(arrival));
        res.write(eventText(2));
        setTimeout(() => req.socket.resetAndDestroy(), 50);
      },
    );
    expectWhole(await stream());
  });

  test('before the other one has begun, and the other run is cancelled', async () => {
    await startPair(silentAfter(0, 3_000));
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(2);
    await until(() => arrivals().some(({left}) => left));
  });

  test('on a route that allows one attempt, and the stream is whole', async () => {
    fleet = await startDirectFleet();
    const {routes, ...rest} = configOf(2);
    const single = routes.map(it => ({...it, maxAttempts: 1}));
    fleet.store.put('config', 'main', {...rest, routes: single});
    firstBehaves(silentAfter(SILENT_AFTER), streamTo(EVENTS));
    await new Promise(resolve => setTimeout(resolve, LOOKED_MS));
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(1);
  });
});

describe('a replica falls silent for good', () => {
  test('and the stream goes on at a replica that is listed later', async () => {
    fleet = await startDirectFleet();
    const [early, late] = fleet.pool;
    fleet.store.remove('servers', late.id);
    early.behave((arrival, res) => {
      res.writeHead(200, signed(arrival));
      for (let id = 1; id <= SILENT_AFTER; id++) res.write(eventText(id));
    });
    late.behave(streamTo(EVENTS));
    await new Promise(resolve => setTimeout(resolve, LOOKED_MS));
    const answer = stream();
    await until(() => early.arrivals.length === 1);
    await new Promise(resolve => setTimeout(resolve, LOOKED_MS));
    announce(fleet.store, late, 'pool');
    expectWhole(await answer);
  });

  // A refusal had used up the last attempt, so the stream ended at its time limit.
  test('and the other one, which has refused, is asked again', async () => {
    fleet = await startDirectFleet();
    let refusals = 0;
    firstBehaves(
      (arrival, res) => {
        res.writeHead(200, signed(arrival));
        res.write(eventText(1));
      },
      (...args) => (refusals++ === 0 ? refuse : streamTo(EVENTS))(...args),
    );
    expectWhole(await stream());
    expect(arrivals()).toHaveLength(3);
  });

  test('and another one that always refuses is asked twice', async () => {
    fleet = await startDirectFleet();
    firstBehaves((arrival, res) => {
      res.writeHead(200, signed(arrival));
      res.write(eventText(1));
    }, refuse);
    expect((await stream()).whole).toBe(false);
    expect(arrivals()).toHaveLength(3);
  });

  // The replica that was asked once more no longer counted, so that a third one
  // was reached on a route that allows two.
  test('and no third one is asked when the other one has ended meanwhile', async () => {
    fleet = await startDirectFleet({pool: 3});
    let first: ReplicaStandIn | undefined;
    for (const replica of fleet.pool) {
      replica.behave((arrival, res) => {
        first ??= replica;
        if (replica !== first) return;
        res.writeHead(200, signed(arrival));
        res.write(eventText(1));
        setTimeout(() => res.write(eventText(2)), SILENCE_MS);
      });
    }
    const answer = stream();
    const reached = () => fleet.pool.filter(it => it.arrivals.length > 0);
    await until(() => reached().length === 2);
    const other = reached().find(replica => replica !== first);
    await until(() => other?.arrivals[0].left ?? false);
    other?.crash();
    expect((await answer).whole).toBe(false);
    expect(reached()).toHaveLength(2);
  });

  test('and the connection of its run is closed once another has begun', async () => {
    fleet = await startDirectFleet();
    firstBehaves((arrival, res) => {
      res.writeHead(200, signed(arrival));
      res.write(eventText(1));
    }, streamTo(EVENTS));
    expectWhole(await stream());
    await until(() => arrivals().some(({left}) => left));
  });

  test('and a stream whose caller leaves is cancelled at all replicas', async () => {
    fleet = await startDirectFleet();
    for (const replica of fleet.pool) replica.behave(() => undefined);
    const left = new AbortController();
    const call = callEntry(fleet, '/stream/a', {
      headers: {...HEADERS, 'X-Deadline-Ms': '2000'},
      signal: left.signal,
    });
    call.catch(() => undefined);
    await until(() => arrivals().length === 2);
    left.abort();
    await until(() => arrivals().every(arrival => arrival.left));
  });

  test('and its caller gets 504 when the time is up', async () => {
    fleet = await startDirectFleet({pool: 1});
    fleet.pool[0].behave(() => undefined);
    const {status} = await callEntry(fleet, '/stream/a', {
      headers: {...HEADERS, 'X-Deadline-Ms': '1500'},
    });
    expect(status).toBe(504);
  });
});

describe('a replica falls silent, and then breaks off', () => {
  // Guards against a stream that is cut at once because an earlier search, beside
  // its silent run, had waited in vain.
  test('while the other one is full, and the stream waits for room', async () => {
    fleet = await startDirectFleet({pool: 1});
    const [full] = fleet.pool;
    const large = {'X-Token-Usage': '2000,400'};
    const filling = new AbortController();
    full.behave(streamTo(1_000, 50));
    for (let at = 0; at < 4; at++) {
      const {signal} = filling;
      callEntry(fleet, '/long/a', {headers: large, signal}).catch(() => {});
    }
    await until(() => full.arrivals.length === 4);
    full.behave(streamTo(EVENTS));
    const silent = await startReplica('silent-0');
    silent.behave((arrival, res) => {
      res.writeHead(200, signed(arrival));
      res.write(eventText(1));
    });
    announce(fleet.store, silent, 'pool');
    const {metrics, eventsOf} = fleet.runtime;
    await until(() => metrics.value('onyxloft_direct_replicas', {}) === 4);
    const answer = callEntry(fleet, '/stream/a', {headers: large});
    await until(() => eventsOf(DIRECT_EVENTS.runKept).length > 0);
    silent.crash();
    await until(() => eventsOf(DIRECT_EVENTS.tryFailed).length > 0);
    filling.abort();
    expectWhole(await answer);
    await silent.close();
  });
});
