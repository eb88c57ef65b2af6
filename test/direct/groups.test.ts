/** Prompts that are larger than one engine's memory, read and held by several. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {headerCodec} from '../../platform/header_codec.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {streamTo} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({pool: 4});
  for (const replica of fleet.pool) replica.behave(streamTo(3));
});
afterEach(() => fleet.close());

/** The bound of the fleet's settings, and the bench's slack. */
const FREE_MS = 2_000;
const FREE_SLACK_MS = 500;
/** Beyond the bound, and before silence ends the attempt. */
const FIRST_EVENT_MS = 2_500;
/** Well before the next renewal. */
const AT_ONCE_MS = 300;
/** One engine holds 10,000 tokens. */
const LARGE = {'X-Token-Usage': '18000,100'};
const stream = () => callEntry(fleet, '/stream/a', {headers: LARGE});
const held = () => fleet.pool.reduce((sum, it) => sum + it.held.size, 0);
const orders = () => fleet.pool.flatMap(it => it.orders);

describe('a prompt over the memory of one engine', () => {
  test('runs on a group whose memory is set aside first', async () => {
    expect(await stream()).toMatchObject({status: 200, whole: true});
    const [arrival] = fleet.pool.flatMap(it => it.arrivals);
    const helpers = String(arrival.headers['x-helpers']).split(',');
    const reserved = orders().filter(it => it.operation === 'reserve');
    expect(helpers.map(it => it.split('/')[1]).sort()).toEqual(
      reserved.map(it => it.id).sort(),
    );
  });

  test('leaves no memory set aside when it has ended', async () => {
    await stream();
    await until(() => held() === 0);
  });

  // The caller leaves in the middle; the members' memory is released.
  test('leaves no memory set aside when its caller leaves', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(1_000, 20));
    await callEntry(fleet, '/stream/a', {
      headers: LARGE,
      leaveAt: body => body.includes('id: 1'),
    });
    await until(() => held() === 0);
  });

  // The lead goes dark before its first event. Nothing resets the connection,
  // and the aim of the route lets the entry wait for six seconds. Meanwhile the
  // members hold memory for a request that runs nowhere: it must be free again
  // within the bound on memory after its last use, two seconds here.
  test('holds no memory for longer than the bound when its lead goes dark', async () => {
    for (const replica of fleet.pool) replica.behave(() => undefined);
    const running = callEntry(fleet, '/long/a', {
      headers: {...LARGE, 'X-Deadline-Ms': '9000'},
    }).catch(err => String(err));
    await until(() => held() > 0);
    await until(() => fleet.pool.some(it => it.arrivals.length > 0));
    const first = fleet.pool.flatMap(it => [...it.held.keys()]);
    const isFreed = () =>
      fleet.pool.every(it => first.every(id => !it.held.has(id)));
    await until(isFreed, FREE_MS + FREE_SLACK_MS);
    fleet.pool.forEach(it => it.behave(streamTo(3)));
    await running;
  });

  // The lead lives and never begins; its caller must not wait for it.
  test('goes on elsewhere when its lead lives and never begins', async () => {
    let lead: string | undefined;
    for (const replica of fleet.pool) {
      replica.answerState();
      replica.behave((arrival, res, req) => {
        lead ??= replica.id;
        if (replica.id !== lead) streamTo(3)(arrival, res, req);
      });
    }
    const running = callEntry(fleet, '/long/a', {
      headers: {...LARGE, 'X-Deadline-Ms': '9000'},
    });
    await until(() => lead !== undefined);
    const first = fleet.pool.flatMap(it => [...it.held.keys()]);
    await until(
      () => fleet.pool.every(it => first.every(id => !it.held.has(id))),
      FREE_MS + FREE_SLACK_MS,
    );
    expect(await running).toMatchObject({status: 200, whole: true});
    expect(fleet.runtime.eventsOf(DIRECT_EVENTS.memoryUnused)).toHaveLength(1);
  });

  // A large prompt is read for longer than memory may go unused. The members
  // say that theirs is used, so it is kept until the events come.
  test('keeps memory that is used while the first event is awaited', async () => {
    const used = new Set<string>();
    for (const replica of fleet.pool) {
      replica.answerState(used);
      replica.behave((arrival, res, req) => {
        for (const it of fleet.pool) it.held.forEach((_, id) => used.add(id));
        setTimeout(() => streamTo(3)(arrival, res, req), FIRST_EVENT_MS);
      });
    }
    const headers = {...LARGE, 'X-Deadline-Ms': '9000'};
    const answer = await callEntry(fleet, '/long/a', {headers});
    expect(answer).toMatchObject({status: 200, whole: true});
    expect(fleet.pool.flatMap(it => it.arrivals)).toHaveLength(1);
  });

  // One member refuses. None of the others may be left holding memory for a
  // group that does not run.
  test('is set aside at all members or at none', async () => {
    let refusing: string | undefined;
    for (const replica of fleet.pool) {
      replica.answerOrders(({operation}) => {
        if (operation === 'release') return 200;
        refusing ??= replica.id;
        return replica.id === refusing ? 409 : 200;
      });
    }
    expect((await stream()).status).toBe(200);
    await until(() => held() === 0);
  });

  // The entry fails between reserving and sending.
  test('leaves no memory set aside when the entry fails to send', async () => {
    const broken = await startDirectFleet({
      pool: 4,
      codec: {
        ...headerCodec,
        dispatchHeaders: () => {
          throw new Error('no headers');
        },
      },
    });
    for (const replica of broken.pool) replica.answerState();
    const answer = await callEntry(broken, '/long/a', {headers: LARGE});
    expect(answer.status).toBe(502);
    const heldThere = () => broken.pool.reduce((n, it) => n + it.held.size, 0);
    await until(() => heldThere() === 0, AT_ONCE_MS);
    await broken.close();
  });

  // A release gets no answer. The entry cannot know whether it came through, so
  // it sends it again until one is answered.
  test('is released again when a release is not answered', async () => {
    const seen = new Set<string>();
    for (const replica of fleet.pool) {
      replica.answerOrders(({operation, id}) => {
        if (operation !== 'release' || seen.has(id)) return 200;
        seen.add(id);
        return undefined;
      });
    }
    await stream();
    await until(() => seen.size > 0 && held() === 0);
  });

  // A reservation gets no answer and comes true seconds after its release. The
  // memory would stay set aside for nobody; it is released once more.
  test('is released once more when a reservation comes true late', async () => {
    let lateId: string | undefined;
    for (const replica of fleet.pool) {
      replica.answerOrders(({operation, id}) => {
        lateId ??= id;
        return operation === 'reserve' && id === lateId ? undefined : 200;
      });
    }
    await stream();
    const releases = () =>
      orders().filter(it => it.operation === 'release' && it.id === lateId);
    await until(() => releases().length >= 1);
    const before = releases().length;
    await until(() => releases().length > before);
  });
});
