import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call, complete} from '../../demo/caller.js';
import type {CallAsk} from '../../demo/caller.js';
import {
  answerTo,
  getJson,
  promptOf,
  startTestFleet,
  until,
} from '../support/process_fleet.js';
import type {TestFleet} from '../support/process_fleet.js';

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({engines: 1});
});

afterAll(() => fleet.close());

async function serviceTotal(): Promise<number> {
  const url = `${fleet.plan.serviceUrls[0]}/-/counts`;
  return (await getJson<{readonly total: number}>(url)).total;
}

/** A call whose answer's headers matter too. */
async function retryAfterOf(ask: CallAsk) {
  const res = await request(
    `${ask.entryUrl}/v1/services/${ask.pool}${ask.path}`,
    {
      method: ask.method,
      headers: {
        authorization: `Bearer ${ask.key}`,
        'idempotency-key': ask.idempotencyKey ?? '',
        'x-onyxloft-repeatable': 'no',
        'content-type': 'application/json',
      },
      body: ask.body,
    },
  );
  const body = (await res.body.json()) as {
    error: {code: string; ran: string};
  };
  return {
    status: res.statusCode,
    retryAfter: Number(res.headers['retry-after']),
    code: body.error.code,
    ran: body.error.ran,
  };
}

describe('the object API is out', () => {
  // Without the store nobody can tell whether a key was used before. So a call
  // with a key is refused as not run, with a time to come back, and truly does
  // not run; all that may be repeated goes on. When the store is back, the same
  // key runs once.
  it('refuses what needs a claim as not run and serves the rest', async () => {
    const before = await serviceTotal();
    await fleet.fault('object-api', {outage: true});
    const ask = fleet.call({idempotencyKey: 'permit-out'});
    const refused = await retryAfterOf(ask);
    expect(refused).toMatchObject({
      status: 503,
      code: 'store-unavailable',
      ran: 'no',
    });
    expect(refused.retryAfter).toBeGreaterThanOrEqual(1);
    const lookup = fleet.call({method: 'GET', repeatable: true});
    expect((await call(lookup)).status).toBe(200);
    const prompt = promptOf(1, 300);
    const answer = await complete(fleet.ask(prompt));
    expect(answer.text).toBe(answerTo(prompt, 50));
    expect(await serviceTotal()).toBe(before + 1);
    await fleet.fault('object-api', {outage: false});
    await until('the store is back', async () => {
      return (await call(ask)).status === 200;
    });
    expect(await serviceTotal()).toBe(before + 2);
  });

  // The store takes the claim, and its answer is lost on the way. The entry
  // reads back what is stored, finds its own claim and runs the call, once.
  // Asked again with the same key at the other entry, the caller is told of the
  // earlier request; nothing runs a second time.
  it('runs a call once when the answer to its claim is lost', async () => {
    const before = await serviceTotal();
    await fleet.fault('object-api', {loseEvery: 1});
    const ask = fleet.call({idempotencyKey: 'permit-lost'});
    const outcome = await until('the call is answered', async () => {
      const one = await call(ask);
      return one.status === 200 ? one : undefined;
    });
    expect(await serviceTotal()).toBe(before + 1);
    await fleet.fault('object-api', {loseEvery: 0});
    const again = await call({...ask, entryUrl: fleet.entryUrl(2)});
    expect(again.text).toBe(outcome.text);
    expect(await fleet.runs(outcome.requestId)).toBe(1);
    expect(await serviceTotal()).toBe(before + 1);
  });

  // A store that takes connections but never answers must not hold a caller:
  // its time limit is kept, as refused and not run.
  it('keeps the time limit when the store hangs', async () => {
    const before = await serviceTotal();
    await fleet.fault('object-api', {outage: true, hang: true});
    const ask = fleet.call({idempotencyKey: 'permit-hang', timeLimitMs: 4_000});
    const outcome = await call(ask);
    await fleet.fault('object-api', {outage: false, hang: false});
    expect(outcome.ran).toBe('no');
    expect(['store-unavailable', 'deadline-exceeded']).toContain(
      outcome.errorCode,
    );
    expect(await serviceTotal()).toBe(before);
  });
});
