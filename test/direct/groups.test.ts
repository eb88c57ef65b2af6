/** Prompts larger than one engine's memory, served by a group of engines. */
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

/** The bound on unused memory in the fleet's settings, and a tolerance. */
const FREE_MS = 2_000;
const FREE_SLACK_MS = 500;
/** Later than the bound, and earlier than the end of a silent attempt. */
const FIRST_EVENT_MS = 2_500;
/** Shorter than the time to the next renewal. */
const AT_ONCE_MS = 300;
/** Prompt and answer tokens; one engine has memory for 10,000 tokens. */
const LARGE = {'X-Token-Usage': '18000,100'};
const stream = () => callEntry(fleet, '/stream/a', {headers: LARGE});
const held = () => fleet.pool.reduce((sum, it) => sum + it.held.size, 0);
const orders = () => fleet.pool.flatMap(it => it.orders);

describe('a prompt larger than the memory of one engine', () => {
  test('runs on a group whose memory is reserved first', async () => {
    expect(await stream()).toMatchObject({status: 200, whole: true});
    const [arrival] = fleet.pool.flatMap(it => it.arrivals);
    const helpers = String(arrival.headers['x-helpers']).split(',');
    const reserved = orders().filter(it => it.operation === 'reserve');
    expect(helpers.map(it => it.split('/')[1]).sort()).toEqual(
      reserved.map(it => it.id).sort(),
    );
  });

  test('leaves no memory reserved when it has ended', async () => {
    await stream();
    await until(() => held() === 0);
  });

  // The caller leaves in the middle of the stream.
  test('leaves no memory reserved when its caller leaves', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(1_000, 20));
    await callEntry(fleet, '/stream/a', {
      headers: LARGE,
      leaveAt: body => body.includes('id: 1'),
    });
    await until(() => held() === 0);
  });

  // Without a reset the entry waits six seconds for the first event. Memory must
  // be free within the bound of two seconds after its last use.
  test('holds no memory beyond the bound when its lead is unreachable', async () => {
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

  // The lead is alive but never starts the request.
  test('moves to another replica when a live lead never starts it', async () => {
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

  // The prefill takes longer than the bound on unused memory, and the members
  // report that their memory is used.
  test('keeps its used memory until the first event', async () => {
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

  // One member refuses, so the others must not keep memory for the group.
  test('reserves memory at all members or at none', async () => {
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

  // The entry fails after the reservation and before the dispatch.
  test('leaves no memory reserved when the entry fails to send', async () => {
    const broken = await startDirectFleet({
      pool: 4,
      codec: {
        ...headerCodec,
        canName: () => true,
        dispatchHeaders: () => {
          throw new Error('no headers');
        },
      },
    });
    for (const replica of broken.pool) replica.answerState();
    const answer = await callEntry(broken, '/long/a', {headers: LARGE});
    expect(answer.status).toBe(503);
    const heldThere = () => broken.pool.reduce((n, it) => n + it.held.size, 0);
    await until(() => heldThere() === 0, AT_ONCE_MS);
    await broken.close();
  });

  // The entry cannot know whether an unanswered release was executed.
  test('sends a release again that is not answered', async () => {
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

  // An unanswered reservation may be executed seconds after its release and
  // would then hold memory that nobody uses.
  test('repeats the release after an unanswered reservation', async () => {
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
