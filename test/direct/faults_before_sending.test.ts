/** Errors of the entry itself before a request was sent to a replica. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {headerCodec} from '../../platform/header_codec.js';
import type {HeaderCodec} from '../../src/direct/types.js';
import {answerWell} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const FAULTY = {'X-Faulty': 'yes'};
/** No answer comes later than this. */
const ANSWERED_WITHIN_MS = 3_000;

let fleet: DirectFleet;
afterEach(() => fleet.close());

/** A codec that throws for requests with the header `X-Faulty`. */
const faultyCodec = (at: 'readRequest' | 'dispatchHeaders'): HeaderCodec => ({
  ...headerCodec,
  readRequest: headers => {
    if (at === 'readRequest' && headers['x-faulty'] !== undefined) {
      throw new Error('the header cannot be read');
    }
    return headerCodec.readRequest(headers);
  },
  canName: headerCodec.canName,
  dispatchHeaders: (raw, facts) => {
    if (at === 'dispatchHeaders' && raw.includes('X-Faulty')) {
      throw new Error('the headers cannot be built');
    }
    return headerCodec.dispatchHeaders(raw, facts);
  },
});

describe('a request at which the entry meets an error of its own', () => {
  // Guards against a whole request that gets neither an answer nor a refusal,
  // and against an error that ends the process.
  test.each([
    ['before it is admitted', 'readRequest'],
    ['when it is to be sent', 'dispatchHeaders'],
  ] as const)('is refused as not run: %s', async (_when, at) => {
    fleet = await startDirectFleet({codec: faultyCodec(at)});
    for (const path of ['/once/a', '/stream/a']) {
      const headers = {...FAULTY, 'X-Token-Usage': '100,10'};
      const signal = AbortSignal.timeout(ANSWERED_WITHIN_MS);
      const answer = await callEntry(fleet, path, {headers, signal});
      expect(answer.status).toBe(503);
    }
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
    const arrivals = [...fleet.desk, ...fleet.pool].flatMap(it => it.arrivals);
    expect(arrivals).toHaveLength(1);
  });
});

describe('requests at an entry whose front end fails', () => {
  /** One call that a replica has, and one whose body is under way. */
  const openTwo = async () => {
    const sent = callEntry(fleet, '/once/a');
    await until(() => fleet.desk.some(it => it.arrivals.length > 0));
    const unread = callEntry(fleet, '/once/b', {
      headers: {'Content-Length': '9'},
      body: 'a part',
    });
    await sleep(100);
    return Promise.allSettled([sent, unread]);
  };
  const statusesOf = (
    answers: ReadonlyArray<PromiseSettledResult<{readonly status: number}>>,
  ) =>
    answers.map(it =>
      it.status === 'fulfilled' ? it.value.status : 'no answer',
    );

  // Guards against requests that get neither an answer nor a refusal when the
  // service that accepts them ends.
  test('are refused or ended with an unknown outcome', async () => {
    fleet = await startDirectFleet();
    fleet.desk.forEach(it => it.behave(() => undefined));
    const answers = openTwo();
    await until(() => fleet.desk.some(it => it.arrivals.length > 0));
    await sleep(200);
    await fleet.entry.kernel.stop();
    expect(statusesOf(await answers)).toEqual([502, 503]);
  });

  // Guards against an error at one message between services that ends the
  // requests of all callers.
  test('get their answers where it fails at a message only', async () => {
    fleet = await startDirectFleet();
    const held: Array<() => void> = [];
    fleet.desk.forEach(it =>
      it.behave((...run) => void held.push(() => answerWell(...run))),
    );
    const sent = callEntry(fleet, '/once/a');
    await until(() => held.length > 0);
    const broken = {kind: 'replicas', replicas: undefined} as never;
    fleet.entry.kernel.send('direct', broken);
    const asked = fleet.entry.kernel.ask('direct', () => broken);
    await expect(asked).rejects.toThrow('failed at "replicas"');
    held.forEach(answer => answer());
    expect((await sent).status).toBe(200);
    fleet.desk.forEach(it => it.behave(answerWell));
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
  });
});
